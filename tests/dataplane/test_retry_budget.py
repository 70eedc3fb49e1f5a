"""Guards against repeats that multiply along a chain of calls."""

from turmericrouter_dataplane.policy.retry_budget import RetryBudget


def make_budget(hosts: int = 16) -> RetryBudget:
    budget = RetryBudget(ratio=0.2, slack=49.0)
    budget.set_host_count(hosts)
    return budget


def test_repeats_of_four_levels_stay_within_the_ratio_and_slack() -> None:
    # All levels fail all the time; a repeat at one level repeats the calls
    # of those below it.
    requests = 10_000
    repeats = 0.0
    for _ in range(3):
        budget = make_budget(1)
        own = 0
        for _ in range(requests):
            budget.record_first_attempt('crew')
            own += budget.take('crew')
        repeats += own
    assert repeats <= 0.2 * requests + 3 * 49


def test_slack_is_shared_between_hosts() -> None:
    hosts = 16
    total = 0
    for _ in range(hosts):
        budget = make_budget(hosts)
        budget.record_first_attempt('crew')
        while budget.take('crew'):
            total += 1
    assert total <= 49


def test_service_without_requests_gets_no_repeats() -> None:
    assert not make_budget().take('crew')

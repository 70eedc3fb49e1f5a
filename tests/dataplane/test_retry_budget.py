"""Guards against retries that multiply along a call chain."""

from turmericrouter_dataplane.policy.retry_budget import RetryBudget


def make_budget(hosts: int = 16) -> RetryBudget:
    budget = RetryBudget(ratio=0.2, slack=49.0)
    budget.set_host_count(hosts)
    return budget


def test_retries_of_four_levels_stay_within_the_ratio_and_slack() -> None:
    # All levels fail all the time; a retry at one level repeats the calls
    # of the levels below it.
    requests = 10_000
    retries = 0.0
    for _ in range(3):
        budget = make_budget(1)
        own = 0
        for _ in range(requests):
            budget.record_first_attempt('crew')
            own += budget.take('crew')
        retries += own
    assert retries <= 0.2 * requests + 3 * 49


def test_slack_is_shared_between_hosts() -> None:
    hosts = 16
    total = 0
    for _ in range(hosts):
        budget = make_budget(hosts)
        budget.record_first_attempt('crew')
        while budget.take('crew'):
            total += 1
    assert total <= 49


def test_service_without_requests_gets_no_retries() -> None:
    assert not make_budget().take('crew')

"""Guards against Retry-After values that exceed the latency objective."""

from turmericrouter_dataplane.policy import retry_after


def test_caller_over_its_limit_can_still_be_in_time() -> None:
    for objective_s in (0.3, 1.5):
        for random_fraction in (0.0, 0.5, 1.0):
            wait_s = retry_after.after_quota_refusal(
                2.0, objective_s, random_fraction
            )
            assert 0.0 < wait_s <= objective_s / 2


def test_callers_over_their_limit_are_spread() -> None:
    first = retry_after.after_quota_refusal(0.05, 1.0, 0.0)
    last = retry_after.after_quota_refusal(0.05, 1.0, 1.0)
    assert first == 0.05
    assert last - first > 0.3


def test_callers_without_room_do_not_come_back_at_once() -> None:
    assert retry_after.after_overload(0.0) >= 0.25
    assert retry_after.after_overload(1.0) <= 1.0

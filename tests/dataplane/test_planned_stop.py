"""Guards against requests that a stop takes but cannot serve."""

import pytest

from turmericrouter_dataplane.policy.planned_stop import StopGuard
from turmericrouter_dataplane.policy.planned_stop import StopTimes


def make_guard() -> tuple[StopGuard, StopTimes]:
    """Return a guard in a stop that began at 100 s, and its times."""
    times = StopTimes.plan(100.0, 6.0)
    guard = StopGuard()
    guard.begin(times)
    return guard, times


def takes(
    guard: StopGuard,
    now: float,
    *,
    remaining_s: float = 5.0,
    service_time_s: float = 1.0,
    is_local: bool = False,
) -> bool:
    return guard.takes(
        now,
        is_local=is_local,
        expires_at=now + remaining_s,
        service_time_s=service_time_s,
    )


def test_without_a_stop_all_is_taken_with_its_own_limit() -> None:
    """Guards against requests that are refused or shortened for no stop."""
    guard = StopGuard()
    assert takes(guard, 100.0, remaining_s=1e6, service_time_s=1e6)
    assert guard.limit(1e6) == 1e6
    assert guard.refused == 0


def test_stop_ends_before_the_process_is_killed() -> None:
    """Guards against a stop that the platform ends by killing the process."""
    times = StopTimes.plan(100.0, 6.0)
    assert times == StopTimes(100.0, 102.6, 104.75, 105.0, 0.1, 105.6)


@pytest.mark.parametrize('stop_within_s', [0.1, 0.5, 1.0, 2.0, 4.0, 60.0])
def test_times_follow_each_other_in_a_stop_of_any_length(
    stop_within_s: float,
) -> None:
    """Guards against a short stop that ends before it has begun."""
    times = StopTimes.plan(0.0, stop_within_s)
    assert (
        0.0
        < times.notice_ends_at
        < times.answers_due_at
        < times.ends_at
        < times.ends_at + times.late_refusal_s
        < times.sent_by
        < stop_within_s
    )
    assert times.ends_at >= stop_within_s * 5 / 6
    assert times.notice_ends_at <= 2.6


def test_limit_ends_before_connections_close() -> None:
    """Guards against a target that is cut while it works."""
    guard, times = make_guard()
    assert guard.limit(110.0) == times.answers_due_at < times.ends_at
    assert guard.limit(103.0) == 103.0


@pytest.mark.parametrize(
    ('left_s', 'remaining_s', 'is_taken'),
    [
        (1.1, 5.0, True),
        (0.9, 5.0, False),
        (0.9, 0.8, True),
        (-0.1, 0.8, False),
        (-0.1, -0.2, False),
    ],
)
def test_taken_if_the_stop_leaves_the_time_that_it_needs(
    left_s: float, remaining_s: float, is_taken: bool
) -> None:
    """Guards against a request that is passed on and stopped halfway."""
    guard, times = make_guard()
    now = times.answers_due_at - left_s
    assert takes(guard, now, remaining_s=remaining_s) is is_taken
    assert guard.refused == (not is_taken)


def test_taken_request_is_not_sent_once_it_has_waited_too_long() -> None:
    """Guards against a request that is sent after the end of a stop."""
    guard, times = make_guard()

    def may_send(left_s: float) -> bool:
        return guard.may_send(
            times.answers_due_at - left_s,
            expires_at=times.ends_at + 1.0,
            service_time_s=1.0,
        )

    guard.end_notice()
    assert may_send(1.1)
    assert not may_send(0.9)
    guard.close()
    assert not may_send(1.1)
    assert guard.refused == 2


def test_only_local_requests_are_taken_after_the_notice() -> None:
    """Guards against new work that holds up a stop, or cut nested calls."""
    guard, times = make_guard()
    now = times.notice_ends_at
    guard.end_notice()
    assert takes(guard, now, is_local=True)
    assert not takes(guard, now)
    guard.close()
    assert not takes(guard, now, is_local=True)
    assert guard.refused == 2

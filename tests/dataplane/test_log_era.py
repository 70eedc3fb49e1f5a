"""Guards against offsets and answers that are used across a loss."""

from turmericrouter_dataplane.policy.log_era import LogEra
from turmericrouter_dataplane.policy.log_era import LogPosition
from turmericrouter_dataplane.policy.log_era import RecordedHosts
from turmericrouter_dataplane.policy.log_era import UNKNOWN_ERA


def test_first_era_is_no_loss() -> None:
    """Guards against a start that takes the present era for a new one."""
    era = LogEra()
    assert not era.observe(UNKNOWN_ERA)
    assert not era.observe(4)
    assert era.observe(5)
    assert not era.observe(4)
    assert era.current == 5


def test_answers_of_an_earlier_era_are_stale() -> None:
    """Guards against late answers; one without an era is never late."""
    era = LogEra()
    assert not era.is_stale(0)
    era.observe(2)
    assert era.is_stale(1)
    assert not era.is_stale(2)
    assert not era.is_stale(UNKNOWN_ERA)


def test_offset_holds_in_its_era_only() -> None:
    """Guards against an offset that means other records now."""
    era = LogEra()
    assert era.holds(LogPosition(7, era.resolve(UNKNOWN_ERA)))
    era.observe(2)
    position = LogPosition(7, era.resolve(2))
    assert era.holds(position)
    era.observe(3)
    assert not era.holds(position)


def test_host_without_a_record_is_gone_if_nothing_was_lost() -> None:
    """Guards against hosts that stay for good in a log without a loss."""
    recorded = RecordedHosts()
    assert recorded.find_removed(frozenset('a'), 0, 'b', 0.0) == ['b']


def test_host_without_a_record_is_gone_long_after_a_return() -> None:
    """Guards against hosts that stay for good after a return."""
    recorded = RecordedHosts()
    assert not recorded.find_removed(frozenset('a'), 1, 'b', 0.0)
    assert not recorded.find_removed(frozenset('a'), 1, 'b', 500.0)
    assert recorded.find_removed(frozenset('a'), 1, 'b', 601.0) == ['b']

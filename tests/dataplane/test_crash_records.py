"""Guards against poison requests that crash one target after another."""

from turmericrouter_dataplane.policy.crash_records import CrashRecords


def test_third_crashed_target_blocks_a_request() -> None:
    records = CrashRecords()
    for number, target in enumerate(('a', 'b', 'b', 'c')):
        assert not records.is_blocked(7, number)
        records.add(7, target, number)
    assert records.is_blocked(7, 4.0)
    assert not records.is_blocked(8, 4.0)


def test_answer_and_time_unblock() -> None:
    records = CrashRecords()
    for target in 'abc':
        records.add(7, target, 0.0)
        records.add(8, target, 0.0)
    records.clear(7)
    assert not records.is_blocked(7, 1.0)
    assert records.is_blocked(8, 1.0)
    assert not records.is_blocked(8, 1000.0)

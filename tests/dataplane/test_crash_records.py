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


def test_full_table_keeps_the_request_that_is_added_to() -> None:
    """Guards against a request that is forgotten at its next crash."""
    records = CrashRecords()
    records.add(0, 'a', 0.0)
    records.add(0, 'b', 1.0)
    for digest in range(1, 10_000):
        records.add(digest, 'a', 2.0)
    records.add(0, 'c', 3.0)
    assert records.is_blocked(0, 4.0)

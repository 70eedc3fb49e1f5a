"""Guards against a request that crashes one target after the other."""

from turmericrouter_dataplane.policy.crash_marks import CrashMarks


def test_third_crashed_target_blocks_a_request() -> None:
    marks = CrashMarks()
    for number, target in enumerate(('a', 'b', 'b', 'c')):
        assert not marks.is_blocked(7, number)
        marks.add(7, target, number)
    assert marks.is_blocked(7, 4.0)
    assert not marks.is_blocked(8, 4.0)


def test_answer_and_time_unblock() -> None:
    marks = CrashMarks()
    for target in 'abc':
        marks.add(7, target, 0.0)
        marks.add(8, target, 0.0)
    marks.clear(7)
    assert not marks.is_blocked(7, 1.0)
    assert marks.is_blocked(8, 1.0)
    assert not marks.is_blocked(8, 1000.0)

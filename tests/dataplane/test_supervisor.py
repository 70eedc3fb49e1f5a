"""Guards against background work that an error ends for good."""

import asyncio
from typing import Any

import pytest

from recording_log import RecordingLog
from turmericrouter_dataplane import supervisor


def test_failed_work_is_logged_and_started_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(supervisor, 'RESTART_DELAY_S', 0.0)
    log: Any = RecordingLog()
    starts = 0
    is_running = asyncio.Event()

    async def work() -> None:
        nonlocal starts
        starts += 1
        if starts < 3:
            raise KeyError('unexpected')
        is_running.set()
        await asyncio.sleep(60.0)

    async def play() -> None:
        task = asyncio.create_task(supervisor.supervise('sync', work, log))
        async with asyncio.timeout(5.0):
            await is_running.wait()
        task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await task

    asyncio.run(play())
    assert starts == 3
    assert [event for event, _ in log.events] == ['task_failed'] * 2
    assert log.events[0][1]['task'] == 'sync'

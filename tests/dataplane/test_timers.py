"""Guards against wake-ups that multiply, and callbacks that are lost."""

import asyncio
import time

import pytest

from turmericrouter_dataplane import timers
from turmericrouter_dataplane.timers import TimerService


def make(errors: list[str] | None = None) -> TimerService:
    found = errors if errors is not None else []
    return TimerService(lambda name, error: found.append(name))


def test_subscribing_inside_a_callback_adds_no_wake_up(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def work() -> None:
        service = make()
        armed = 0
        arm = service._arm

        def count() -> None:
            nonlocal armed
            armed += 1
            arm()

        monkeypatch.setattr(service, '_arm', count)
        for _ in range(5):
            service.every(0.001, lambda: None, name='often')
        begin = time.monotonic()
        await asyncio.sleep(0.5)
        ticks = (time.monotonic() - begin) / timers.TICK_S
        assert armed <= ticks + 2
        service.stop()

    asyncio.run(work())


def test_deadlines_come_in_order_unless_cancelled() -> None:
    async def work() -> None:
        service = make()
        called: list[str] = []
        now = service.now()
        service.at(now + 0.06, lambda: called.append('second'))
        service.at(now + 0.01, lambda: called.append('first'))
        service.at(now + 0.03, lambda: called.append('never')).cancel()
        async with asyncio.timeout(5.0):
            while len(called) < 2:
                await asyncio.sleep(0.01)
        assert called == ['first', 'second']
        service.stop()

    asyncio.run(work())


def test_failing_subscriber_is_reported_and_called_again() -> None:
    async def work() -> None:
        errors: list[str] = []
        service = make(errors)

        def fail() -> None:
            raise ValueError

        service.every(0.01, fail, name='broken')
        async with asyncio.timeout(5.0):
            while len(errors) < 2:
                await asyncio.sleep(0.01)
        assert set(errors) == {'broken'}
        service.stop()

    asyncio.run(work())

"""Guards against wake-ups that multiply, and lost callbacks."""

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

        def count(when: float) -> None:
            nonlocal armed
            armed += 1
            arm(when)

        monkeypatch.setattr(service, '_arm', count)
        for _ in range(5):
            service.every(0.001, lambda: None, name='often')
        begin = time.monotonic()
        await asyncio.sleep(0.5)
        ticks = (time.monotonic() - begin) / timers.TICK_S
        assert armed <= ticks + 2
        service.stop()

    asyncio.run(work())


def test_idle_service_wakes_up_for_deadlines_only(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A wake-up each tick took a third of an idle daemon's work."""

    async def work() -> None:
        service = make()
        ticks = 0
        tick = service._tick

        def count() -> None:
            nonlocal ticks
            ticks += 1
            tick()

        monkeypatch.setattr(service, '_tick', count)
        called: list[str] = []
        now = service.now()
        service.at(now + 60.0, lambda: called.append('late'))
        service.at(now + 0.3, lambda: called.append('soon'))
        service.at(now + 0.25, lambda: called.append('never')).cancel()
        async with asyncio.timeout(5.0):
            while not called:
                await asyncio.sleep(0.01)
        assert called == ['soon']
        assert ticks <= 2
        service.stop()

    asyncio.run(work())


def test_earlier_deadline_is_met_although_a_later_one_came_first() -> None:
    async def work() -> None:
        service = make()
        called: list[str] = []
        now = service.now()
        service.at(now + 60.0, lambda: called.append('late'))
        service.at(now + 0.05, lambda: called.append('soon'))
        async with asyncio.timeout(5.0):
            while not called:
                await asyncio.sleep(0.01)
        assert called == ['soon']
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

"""Guards against a stop that ends before its answers have been sent."""

import asyncio
import math
import time
import types
from typing import Any

import pytest

from turmericrouter_dataplane.decision_log import DecisionLog
from turmericrouter_dataplane.drain import Drain
from turmericrouter_dataplane.http_server import HttpServer
from turmericrouter_dataplane.policy.planned_stop import CutRequests
from turmericrouter_dataplane.policy.planned_stop import StopGuard
from turmericrouter_dataplane.policy.planned_stop import StopTimes
from turmericrouter_dataplane.timers import TimerService

_STOP_WITHIN_S = 3.0
_NOTICE_S = StopTimes.plan(0.0, _STOP_WITHIN_S).notice_ends_at
_SEND_MARGIN_S = _STOP_WITHIN_S - StopTimes.plan(0.0, _STOP_WITHIN_S).sent_by
# Longer than the stop takes without slow readers.
_READ_AFTER_S = 2.2


class _SlowReaders:
    """Callers or peers that have read everything after a time.

    Args:
        read_after_s: Time from now until they have read it.
        close_after_s: Time from the end of their links until they close them.
    """

    def __init__(
        self, read_after_s: float, close_after_s: float = 0.0
    ) -> None:
        self._read_at = time.monotonic() + read_after_s
        self._close_after_s = close_after_s
        self._close_at = math.inf

    @property
    def has_unsent_data(self) -> bool:
        return time.monotonic() < self._read_at

    @property
    def has_open_links(self) -> bool:
        return time.monotonic() < self._close_at

    def finish(self) -> None:
        self._close_at = time.monotonic() + self._close_after_s

    has_unread_answers = has_unsent_data


def _stop(
    *, callers_s: float = 0.0, peers_s: float = 0.0, links_s: float = 0.0
) -> float:
    """Return the seconds that a stop without work takes.

    Args:
        callers_s: When callers have read their answers.
        peers_s: When peers have read their outcomes.
        links_s: Time from the end of the links until peers close them.
    """

    async def work() -> float:
        timers = TimerService(lambda name, error: None)
        slow_callers = _SlowReaders(callers_s)

        class _Callers(HttpServer):
            @property
            def has_unread_answers(self) -> bool:
                return slow_callers.has_unread_answers

        idle: Any = types.SimpleNamespace(
            in_flight=0,
            is_idle=True,
            stop_guard=StopGuard(),
            answer_all=lambda: CutRequests(0, 0.0),
        )
        drain = Drain(
            callers=_Callers(idle),
            peers=types.SimpleNamespace(leave=lambda: None),
            links=_SlowReaders(peers_s, links_s),
            dispatcher=idle,
            gate=idle,
            timers=timers,
            log=DecisionLog('host'),
        )
        started_at = time.monotonic()
        await drain.run('SIGTERM', _STOP_WITHIN_S)
        timers.stop()
        return time.monotonic() - started_at

    return asyncio.run(work())


def test_stop_waits_until_peers_have_read_their_outcomes() -> None:
    """Guards against outcomes that end with the process."""
    assert _stop(peers_s=_READ_AFTER_S) > _READ_AFTER_S


def test_stop_waits_until_callers_have_read_their_answers() -> None:
    """Guards against answers that end with the process."""
    assert _stop(callers_s=_READ_AFTER_S) > _READ_AFTER_S


def test_stop_waits_until_peers_have_closed_their_links() -> None:
    """Guards against a reset of what a peer has not received yet."""
    wait_s = 0.4
    assert _stop(links_s=wait_s) > _NOTICE_S + wait_s


@pytest.mark.parametrize('reader', ['callers_s', 'peers_s', 'links_s'])
def test_stop_does_not_wait_for_readers_beyond_its_time(reader: str) -> None:
    """Guards against a reader that makes the platform kill the process."""
    limit_s = _STOP_WITHIN_S - _SEND_MARGIN_S / 2
    assert _stop(**{reader: 10.0}) < limit_s

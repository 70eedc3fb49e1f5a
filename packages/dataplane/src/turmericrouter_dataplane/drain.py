"""Planned stop of a daemon that cuts off no request."""

import asyncio
from typing import Protocol

from turmericrouter_dataplane.decision_log import DecisionLog
from turmericrouter_dataplane.dispatcher import Dispatcher
from turmericrouter_dataplane.gate import Gate
from turmericrouter_dataplane.http_server import HttpServer
from turmericrouter_dataplane.intake import Intake
from turmericrouter_dataplane.timers import TimerService

# Callers are routed to the daemon until two readiness checks have failed.
_NOTICE_S = 2.6
_IDLE_CHECK_PERIOD_S = 0.05
# Requests that cross the end of the service are still refused for this time.
_LINGER_S = 0.1
# Time kept for closing connections before the process is killed.
_CLOSE_MARGIN_S = 1.0
# The part of that time that is kept when callers and peers read slowly.
_SEND_MARGIN_S = 0.4


class Peers(Protocol):
    """The other hosts."""

    def leave(self) -> None:
        """Tell all peers that this host leaves."""


class Links(Protocol):
    """The links that peers have opened."""

    @property
    def has_unsent_data(self) -> bool:
        """Return whether outcomes wait for the peers to read."""


class Drain:
    """Stops the request path in steps; see `run`.

    Args:
        callers: Server of the callers.
        peers: Other hosts.
        links: Links on which peers get their outcomes.
        dispatcher: Serves the callers.
        gate: Serves the peers.
        timers: Timer service.
        log: Decision log.
    """

    def __init__(
        self,
        *,
        callers: HttpServer,
        peers: Peers,
        links: Links,
        dispatcher: Dispatcher,
        gate: Gate,
        timers: TimerService,
        log: DecisionLog,
    ) -> None:
        self._callers = callers
        self._peers = peers
        self._links = links
        self._dispatcher = dispatcher
        self._gate = gate
        self._timers = timers
        self._log = log

    @property
    def _is_idle(self) -> bool:
        return not self._dispatcher.in_flight and self._gate.is_idle

    async def run(self, cause: str, stop_within_s: float) -> None:
        """Serve until callers and peers have noticed, then until idle.

        New requests are refused from then on, before the last ones have
        their answers. Peers keep their links until this returns.

        Args:
            cause: Signal that stops the daemon, for the log.
            stop_within_s: Time until the process must have ended.
        """
        started_at = self._timers.now()
        self._log.event(
            'stopping', signal=cause, in_flight=self._dispatcher.in_flight
        )
        self._callers.is_leaving = True
        self._peers.leave()
        ends_at = started_at + stop_within_s - _CLOSE_MARGIN_S
        await self._sleep_until(min(started_at + _NOTICE_S, ends_at))
        # Requests that run at the target still need their nested calls.
        self._dispatcher.intake = Intake.NESTED_ONLY
        while self._timers.now() < ends_at:
            if self._is_idle:
                break
            await asyncio.sleep(_IDLE_CHECK_PERIOD_S)
        self._dispatcher.intake = Intake.CLOSED
        self._gate.is_closed = True
        self._callers.stop_listening()
        self._callers.close_idle(0.0)
        await asyncio.sleep(_LINGER_S)
        self._callers.refuse_unfinished()
        await self._send_answers(started_at + stop_within_s - _SEND_MARGIN_S)
        self._callers.close_idle(0.0)
        self._log.event(
            'stopped',
            after_s=round(self._timers.now() - started_at, 2),
            in_flight=self._dispatcher.in_flight,
        )

    async def _send_answers(self, until_s: float) -> None:
        """Wait until callers and peers have read what was written."""
        while self._timers.now() < until_s:
            if not (
                self._callers.has_unread_answers or self._links.has_unsent_data
            ):
                break
            await asyncio.sleep(_IDLE_CHECK_PERIOD_S)

    async def _sleep_until(self, time_s: float) -> None:
        await asyncio.sleep(max(0.0, time_s - self._timers.now()))

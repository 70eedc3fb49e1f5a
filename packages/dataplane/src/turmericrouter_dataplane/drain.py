"""Planned stop of a daemon that cuts off no request."""

import asyncio
from collections.abc import Callable
from typing import Protocol

from turmericrouter_dataplane.decision_log import DecisionLog
from turmericrouter_dataplane.dispatcher import Dispatcher
from turmericrouter_dataplane.gate import Gate
from turmericrouter_dataplane.http_server import HttpServer
from turmericrouter_dataplane.policy.planned_stop import StopTimes
from turmericrouter_dataplane.timers import TimerService

_IDLE_CHECK_PERIOD_S = 0.05
# Peers close a finished link as soon as they have read it. A link that stays
# open is waited for only this long after its last outcome was sent.
_LINK_CLOSE_TIMEOUT_S = 1.0


class Peers(Protocol):
    """The other hosts."""

    def leave(self) -> None:
        """Tell all peers that this host leaves."""


class Links(Protocol):
    """The links that peers have opened."""

    @property
    def has_unsent_data(self) -> bool:
        """Return whether outcomes wait for the peers to read."""

    @property
    def has_open_links(self) -> bool:
        """Return whether peers still have links to this host."""

    def finish(self) -> None:
        """Send nothing more, so that peers close their links."""


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

        What is sent to a target meanwhile has a time limit within the stop,
        and what is too late for that is refused. All new requests are refused
        before the last ones have their answers; those that have none at the
        end are told whether they may have run. Callers and peers then get
        time to read that and to close their connections.

        Args:
            cause: Signal that stops the daemon, for the log.
            stop_within_s: Time until the process must have ended.
        """
        times = StopTimes.plan(self._timers.now(), stop_within_s)
        self._log.event(
            'stopping', signal=cause, in_flight=self._dispatcher.in_flight
        )
        self._callers.is_leaving = True
        guards = (self._dispatcher.stop_guard, self._gate.stop_guard)
        for guard in guards:
            guard.begin(times)
        self._peers.leave()
        await self._sleep_until(times.notice_ends_at)
        for guard in guards:
            guard.end_notice()
        await self._wait_while(lambda: not self._is_idle, times.ends_at)
        for guard in guards:
            guard.close()
        self._callers.stop_listening()
        # Callers come first, so that the gate counts only those of peers.
        cut = self._dispatcher.answer_all()
        peers_cut = self._gate.answer_all()
        self._callers.close_idle(0.0)
        await asyncio.sleep(times.late_refusal_s)
        self._callers.refuse_unfinished()
        await asyncio.gather(
            self._wait_while(
                lambda: self._callers.has_unread_answers, times.sent_by
            ),
            self._finish_links(times.sent_by),
        )
        self._callers.close_idle(0.0)
        self._log.event(
            'stopped',
            after_s=round(self._timers.now() - times.started_at, 2),
            refused=self._dispatcher.stop_guard.refused,
            gate_refused=self._gate.stop_guard.refused,
            cut=cut.count,
            oldest_cut_s=cut.oldest_s,
            gate_cut=peers_cut.count,
            oldest_gate_cut_s=peers_cut.oldest_s,
        )

    async def _finish_links(self, until_s: float) -> None:
        """Wait until peers have read their outcomes and closed their links."""
        self._links.finish()
        await self._wait_while(lambda: self._links.has_unsent_data, until_s)
        until_s = min(until_s, self._timers.now() + _LINK_CLOSE_TIMEOUT_S)
        await self._wait_while(lambda: self._links.has_open_links, until_s)

    async def _wait_while(
        self, is_unfinished: Callable[[], bool], until_s: float
    ) -> None:
        while self._timers.now() < until_s:
            if not is_unfinished():
                return
            await asyncio.sleep(_IDLE_CHECK_PERIOD_S)

    async def _sleep_until(self, time_s: float) -> None:
        await asyncio.sleep(max(0.0, time_s - self._timers.now()))

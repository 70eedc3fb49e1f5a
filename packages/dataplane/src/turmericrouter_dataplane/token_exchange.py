"""Moves spare tokens of a workspace between hosts on demand.

The shares of a host are small where a workspace's rate is, so a few requests
together exceed them although the fleet has tokens left. A host that runs out
asks some others; tokens move, so their sum stays within the limit.
"""

from collections.abc import Callable
import dataclasses
import random

from turmericrouter_dataplane.frames import TokenRequest
from turmericrouter_dataplane.links import Link
from turmericrouter_dataplane.policy.workspace_quota import WorkspaceQuota
from turmericrouter_dataplane.timers import TimerService

# A request waits at most this long for tokens of other hosts.
_WAIT_S = 0.04
_NEAR_HOSTS = 3
_FAR_HOSTS = 2
# Tokens beyond the waiting requests, as seconds of the own demand.
_AHEAD_S = 0.3
_FIRST_PAUSE_S = 0.1
_LONGEST_PAUSE_S = 0.8

Resume = Callable[[bool], None]


@dataclasses.dataclass(slots=True)
class _Asked:
    """State of one workspace that has run out of tokens."""

    waiting: list[Resume] = dataclasses.field(default_factory=list)
    replies_due: int = 0
    received: int = 0
    round: int = 0
    pause_s: float = _FIRST_PAUSE_S
    not_before: float = 0.0


class TokenExchange:
    """Asks other hosts for tokens, and holds requests meanwhile.

    Args:
        quota: Allowances of workspaces.
        timers: Timer service.
        links: Returns open links to hosts of the own failure domain and to
            others.
        rng: Source of random choices.
    """

    def __init__(
        self,
        quota: WorkspaceQuota,
        timers: TimerService,
        links: Callable[[], tuple[list[Link], list[Link]]],
        rng: random.Random,
    ) -> None:
        self._quota = quota
        self._timers = timers
        self._links = links
        self._rng = rng
        self._asked: dict[str, _Asked] = {}

    def wait(self, workspace: str, resume: Resume) -> bool:
        """Hold a request until there is a token or hope is lost.

        Args:
            workspace: Workspace of the request.
            resume: Called once, with whether a token was taken.

        Returns:
            Whether the request is held; if not, no host has tokens.
        """
        state = self._asked.setdefault(workspace, _Asked())
        if state.replies_due:
            state.waiting.append(resume)
            return True
        if self._timers.now() < state.not_before:
            return False
        near, far = self._links()
        links = self._sample(near, _NEAR_HOSTS) + self._sample(far, _FAR_HOSTS)
        if not links:
            return False
        state.waiting.append(resume)
        self._ask(workspace, state, links)
        return True

    def grant(self, workspace: str, tokens: int) -> None:
        """Take in the reply of a host."""
        now = self._timers.now()
        self._quota.receive(workspace, tokens, now)
        state = self._asked.get(workspace)
        if state is None or not state.replies_due:
            return
        state.replies_due -= 1
        state.received += tokens
        while state.waiting and self._quota.take(workspace, now):
            state.waiting.pop(0)(True)
        if not state.replies_due:
            self._end_round(state, now)

    def _sample(self, links: list[Link], count: int) -> list[Link]:
        return self._rng.sample(links, min(count, len(links)))

    def _ask(self, workspace: str, state: _Asked, links: list[Link]) -> None:
        demand = self._quota.demand(workspace)
        wanted = 1 + int(demand * _AHEAD_S)
        state.received = 0
        state.replies_due = len(links)
        state.round += 1
        number = state.round
        request = TokenRequest(workspace, wanted)
        for link in links:
            link.send(request)
        self._timers.at(
            self._timers.now() + _WAIT_S,
            lambda: self._run_out(state, number),
        )

    def _run_out(self, state: _Asked, number: int) -> None:
        if state.replies_due and state.round == number:
            state.replies_due = 0
            self._end_round(state, self._timers.now())

    def _end_round(self, state: _Asked, now: float) -> None:
        if state.received:
            state.pause_s = _FIRST_PAUSE_S
            state.not_before = 0.0
        else:
            state.not_before = now + state.pause_s
            state.pause_s = min(_LONGEST_PAUSE_S, 2 * state.pause_s)
        waiting, state.waiting = state.waiting, []
        for resume in waiting:
            resume(False)

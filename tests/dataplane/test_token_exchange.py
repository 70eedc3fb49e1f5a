"""Guards against requests that wait for an owner that does not answer."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import random
from typing import Any

from dataplane_values import make_workspace
from turmericrouter_dataplane.frames import TokenGrant
from turmericrouter_dataplane.frames import TokenRequest
from turmericrouter_dataplane.policy.workspace_quota import ReachableHosts
from turmericrouter_dataplane.policy.workspace_quota import WorkspaceQuota
from turmericrouter_dataplane.timers import TimerService
from turmericrouter_dataplane.token_exchange import TokenExchange


class FakeLink:
    """Keeps what is sent."""

    def __init__(self) -> None:
        self.sent: list[TokenRequest] = []
        self.probes = 0

    def probe(self, now: float) -> None:
        self.probes += 1

    def send(self, frame: TokenRequest) -> None:
        self.sent.append(frame)


class Bench:
    """An exchange whose workspace `east` is owned by another host."""

    def __init__(self, *, is_linked: bool = True) -> None:
        self.link = FakeLink()
        self.quota = WorkspaceQuota('own', random.Random(1))
        reach = ReachableHosts(frozenset({'far'}), 1.0, 2)
        self.quota.set_reachable(reach, TimerService.now() - 10.0)
        self.quota.configure((make_workspace(),), TimerService.now() - 10.0)
        link: Any = self.link if is_linked else None
        self.exchange = TokenExchange(
            self.quota,
            TimerService(lambda name, error: None),
            lambda host: link,
            'own',
        )
        self.results: list[bool] = []

    def take(self) -> None:
        self.exchange.take(
            'east', lambda is_taken, wait_s: self.results.append(is_taken)
        )


def play(scenario: Callable[[], Awaitable[None]]) -> None:
    async def work() -> None:
        await scenario()

    asyncio.run(work())


def test_owner_decides() -> None:
    async def scenario() -> None:
        bench = Bench()
        bench.take()
        bench.take()
        assert not bench.results
        first, second = bench.link.sent
        bench.exchange.handle_grant(TokenGrant(second.correlation, 0, 100))
        bench.exchange.handle_grant(TokenGrant(first.correlation, 1, 0))
        assert bench.results == [False, True]

    play(scenario)


def test_silent_owner_is_not_waited_for() -> None:
    async def scenario() -> None:
        bench = Bench()
        bench.take()
        await asyncio.sleep(0.3)
        assert bench.results == [True]
        # An idle link would hide a cut for seconds.
        assert bench.link.probes == 1
        # The late answer is nobody's.
        correlation = bench.link.sent[0].correlation
        bench.exchange.handle_grant(TokenGrant(correlation, 1, 0))
        assert bench.results == [True]

    play(scenario)


def test_unreachable_owner_leaves_the_reserve() -> None:
    async def scenario() -> None:
        bench = Bench(is_linked=False)
        for _ in range(200):
            bench.take()
        # Half of a limit of 100 is the reserve of one of two hosts.
        assert 45 <= bench.results.count(True) <= 55

    play(scenario)


def test_tokens_ahead_spare_questions() -> None:
    async def scenario() -> None:
        bench = Bench()
        bench.take()
        correlation = bench.link.sent[0].correlation
        bench.exchange.handle_grant(TokenGrant(correlation, 3, 0))
        bench.take()
        bench.take()
        assert len(bench.link.sent) == 1
        bench.take()
        assert len(bench.link.sent) == 2

    play(scenario)


def test_unlimited_workspace_needs_no_token() -> None:
    async def scenario() -> None:
        bench = Bench()
        bench.quota.configure((make_workspace(rate_per_s=0),), 0.0)
        bench.take()
        assert bench.results == [True]

    play(scenario)

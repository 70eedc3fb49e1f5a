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
    """Records sent frames and probes."""

    def __init__(self) -> None:
        self.sent: list[TokenRequest] = []
        self.probes = 0

    def probe(self, now: float) -> None:
        self.probes += 1

    def send(self, frame: TokenRequest) -> None:
        self.sent.append(frame)


class ExchangeFixture:
    """An exchange whose workspace `east` is owned by another host."""

    def __init__(self, *, is_linked: bool = True) -> None:
        self.link = FakeLink()
        self.quota = WorkspaceQuota('own', random.Random(1))
        reachable = ReachableHosts(frozenset({'far'}), 1.0, 2)
        self.quota.set_reachable(reachable, TimerService.now() - 10.0)
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
        fixture = ExchangeFixture()
        fixture.take()
        fixture.take()
        assert not fixture.results
        first, second = fixture.link.sent
        fixture.exchange.handle_grant(TokenGrant(second.correlation, 0, 100))
        fixture.exchange.handle_grant(TokenGrant(first.correlation, 1, 0))
        assert fixture.results == [False, True]

    play(scenario)


def test_silent_owner_is_not_waited_for() -> None:
    async def scenario() -> None:
        fixture = ExchangeFixture()
        fixture.take()
        await asyncio.sleep(0.3)
        assert fixture.results == [True]
        # An idle link would detect a partition seconds later.
        assert fixture.link.probes == 1
        # The late answer is ignored.
        correlation = fixture.link.sent[0].correlation
        fixture.exchange.handle_grant(TokenGrant(correlation, 1, 0))
        assert fixture.results == [True]

    play(scenario)


def test_unreachable_owner_leaves_the_fallback_bucket() -> None:
    async def scenario() -> None:
        fixture = ExchangeFixture(is_linked=False)
        for _ in range(200):
            fixture.take()
        # The fallback bucket of one of two hosts is half of a limit of 100.
        assert 45 <= fixture.results.count(True) <= 55

    play(scenario)


def test_prefetched_tokens_save_requests() -> None:
    async def scenario() -> None:
        fixture = ExchangeFixture()
        fixture.take()
        correlation = fixture.link.sent[0].correlation
        fixture.exchange.handle_grant(TokenGrant(correlation, 3, 0))
        fixture.take()
        fixture.take()
        assert len(fixture.link.sent) == 1
        fixture.take()
        assert len(fixture.link.sent) == 2

    play(scenario)


def test_unlimited_workspace_needs_no_token() -> None:
    async def scenario() -> None:
        fixture = ExchangeFixture()
        fixture.quota.configure((make_workspace(rate_per_s=0),), 0.0)
        fixture.take()
        assert fixture.results == [True]

    play(scenario)

"""Guards against requests that a stop sends too late or leaves open."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import random

from dataplane_values import make_config
from dataplane_values import make_record
from dataplane_values import make_route
from dataplane_values import make_workspace
from dataplane_values import NAMES
from scripted_target import start_server
from turmericrouter_dataplane.decision_log import DecisionLog
from turmericrouter_dataplane.dispatcher import Dispatcher
from turmericrouter_dataplane.gate import Gate
from turmericrouter_dataplane.http_server import HttpServer
from turmericrouter_dataplane.local_target import LocalTarget
from turmericrouter_dataplane.metrics import Metrics
from turmericrouter_dataplane.policy.crash_records import CrashRecords
from turmericrouter_dataplane.policy.downstream_load import DownstreamLoad
from turmericrouter_dataplane.policy.retry_budget import RetryBudget
from turmericrouter_dataplane.policy.target_chooser import TargetChooser
from turmericrouter_dataplane.policy.target_chooser import TargetState
from turmericrouter_dataplane.policy.workspace_quota import WorkspaceQuota
from turmericrouter_dataplane.settings import Address
from turmericrouter_dataplane.timers import TimerService
from turmericrouter_dataplane.token_exchange import TokenCallback
from turmericrouter_dataplane.token_exchange import TokenExchange

_REQUEST = (
    b'POST /a/1 HTTP/1.1\r\nHost: host.example\r\nX-Id: 1\r\n'
    b'Authorization: Bearer key-1\r\nContent-Length: 0\r\n\r\n'
)

_ROUTE = dataclasses.replace(
    make_route(is_idempotent=False), timeout_s=9.0, latency_objective_s=4.0
)


class _SlowExchange(TokenExchange):
    """Keeps requests waiting for tokens until the test grants them."""

    waiting: list[TokenCallback]
    is_slow = False

    def take(self, workspace: str, resume: TokenCallback) -> None:
        if self.is_slow:
            self.waiting.append(resume)
        else:
            resume(True, 0.0)


class _Fixture:
    """A dispatcher with one caller, and a target that does not answer."""

    def __init__(self) -> None:
        self.requests_at_target = 0
        timers = TimerService(lambda name, error: None)
        log = DecisionLog('h0')
        rng = random.Random(1)
        self.gate = Gate(NAMES, timers, log, lambda digest, target: None)
        chooser = TargetChooser('h0', 'north', rng)
        chooser.update(make_record('h0'))
        quota = WorkspaceQuota('h0', rng)
        self.exchange = _SlowExchange(quota, timers, lambda host: None, 'h0')
        self.exchange.waiting = []
        self.dispatcher = Dispatcher(
            host='h0',
            service='design',
            headers=NAMES,
            gate=self.gate,
            link_of=lambda host: None,
            chooser=chooser,
            quota=quota,
            budget=RetryBudget(ratio=0.2, slack=10.0),
            crash_records=CrashRecords(),
            downstream_load=DownstreamLoad(),
            exchange=self.exchange,
            parent_request_id=lambda request_id: b'',
            timers=timers,
            log=log,
            metrics=Metrics(),
            rng=rng,
        )
        self.dispatcher.set_config(
            make_config(
                _ROUTE,
                workspaces=(make_workspace(),),
            )
        )

    async def start(self) -> None:
        target = await start_server(self._hold)
        address = Address('127.0.0.1', target.sockets[0].getsockname()[1])
        self.gate.set_target(
            LocalTarget('id-h0', 'design', address, 1, TargetState.SERVING)
        )
        server = HttpServer(self.dispatcher)
        await server.start('127.0.0.1', 0)
        assert server._server is not None
        self._port = server._server.sockets[0].getsockname()[1]

    async def send(self, *, stays: bool = True) -> 'asyncio.Task[bytes]':
        """Send a request; return a task that reads its answer.

        Args:
            stays: Whether the caller stays connected.
        """
        reader, writer = await asyncio.open_connection('127.0.0.1', self._port)
        writer.write(_REQUEST)
        await asyncio.sleep(0.1)
        if not stays:
            writer.close()

        async def read() -> bytes:
            async with asyncio.timeout(0.5):
                answer = await reader.readuntil(b'\r\n\r\n')
            writer.close()
            return answer

        return asyncio.create_task(read())

    async def _hold(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b'\r\n\r\n')
        self.requests_at_target += 1
        await reader.read()
        writer.close()


def play(scenario: Callable[[_Fixture], Awaitable[None]]) -> None:
    async def work() -> None:
        fixture = _Fixture()
        await fixture.start()
        await scenario(fixture)
        fixture.gate.stop()
        await asyncio.sleep(0.05)

    asyncio.run(work())


def test_request_that_waits_for_a_token_is_not_sent_after_the_end() -> None:
    """Guards against a request that is sent to be cut at once."""

    async def scenario(fixture: _Fixture) -> None:
        fixture.exchange.is_slow = True
        answer = await fixture.send()
        fixture.dispatcher.stop_guard.close()
        fixture.exchange.waiting[0](True, 0.0)
        assert (await answer).startswith(b'HTTP/1.1 503 ')
        assert fixture.requests_at_target == 0
        assert fixture.dispatcher.in_flight == 0

    play(scenario)


def test_end_of_a_stop_tells_callers_which_requests_have_not_run() -> None:
    """Guards against a connection that closes without an answer."""

    async def scenario(fixture: _Fixture) -> None:
        running = await fixture.send()
        waiting = await fixture.send()
        fixture.exchange.is_slow = True
        without_token = await fixture.send()
        dispatcher = fixture.dispatcher
        assert dispatcher.in_flight == 3
        dispatcher.stop_guard.close()
        assert dispatcher.answer_all().count == 3
        assert (await running).startswith(b'HTTP/1.1 502 ')
        assert (await waiting).startswith(b'HTTP/1.1 503 ')
        assert (await without_token).startswith(b'HTTP/1.1 503 ')
        fixture.exchange.waiting[0](True, 0.0)
        await asyncio.sleep(0.05)
        assert fixture.requests_at_target == 1
        assert dispatcher.in_flight == 0

    play(scenario)


def test_request_whose_caller_left_does_not_hold_up_a_stop() -> None:
    """Guards against a stop that waits for requests that nobody awaits."""

    async def scenario(fixture: _Fixture) -> None:
        fixture.exchange.is_slow = True
        answer = await fixture.send(stays=False)
        answer.cancel()
        await asyncio.sleep(0.05)
        assert fixture.dispatcher.in_flight == 0
        fixture.exchange.waiting[0](True, 0.0)
        assert fixture.dispatcher.in_flight == 0

    play(scenario)


def test_cut_request_of_a_caller_is_not_counted_as_one_of_a_peer() -> None:
    """Guards against a log that blames peers for requests of callers.

    A request that must not run twice stays at the gate after its answer.
    """

    async def scenario(fixture: _Fixture) -> None:
        running = await fixture.send()
        fixture.dispatcher.stop_guard.close()
        fixture.gate.stop_guard.close()
        cut = fixture.dispatcher.answer_all()
        was_at_gate = not fixture.gate.is_idle
        peers_cut = fixture.gate.answer_all()
        assert (await running).startswith(b'HTTP/1.1 502 ')
        assert was_at_gate and fixture.gate.is_idle
        assert (cut.count, peers_cut.count) == (1, 0)

    play(scenario)

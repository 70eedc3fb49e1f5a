"""Tests single execution at an entry when the home daemon fails."""

import asyncio
import random
from typing import Any
from unittest import mock

from turmericrouter_core.config import Fleet
from turmericrouter_core.config import Route
from turmericrouter_core.errors import LinkLostError
from turmericrouter_core.identity import OperationId
from turmericrouter_core.messages import AbortOperation
from turmericrouter_core.messages import BeginOperation
from turmericrouter_core.messages import EmptyReply
from turmericrouter_core.messages import FinishOperation
from turmericrouter_core.messages import OperationStatus
from turmericrouter_core.operation import body_digest
from turmericrouter_core.routing import NamedRoute
from turmericrouter_core.verdict import Importance
from turmericrouter_core.verdict import Reason
from turmericrouter_core.verdict import Verdict
from turmericrouter_daemon.call import Answer
from turmericrouter_daemon.call import Call
from turmericrouter_daemon.call import refuse
from turmericrouter_daemon.dispatch import Dispatcher
from turmericrouter_daemon.operation_service import OperationService
from turmericrouter_daemon.settings import HostSettings
from turmericrouter_daemon.settings import OperationSettings
from turmericrouter_daemon.settings import OverloadSettings
from turmericrouter_daemon.settings import PlatformSettings
from turmericrouter_daemon.settings import Settings
from turmericrouter_daemon.timers import SystemClock

SERVED = Answer(Verdict.RAN, Reason.SERVED, 200, body=b'done')
TIMEOUT_MS = 50
TIMEOUT_S = TIMEOUT_MS / 1000
STARTED = OperationStatus('started', Reason.SERVED, nonce=7)


class _Peers:
    """Links to one home; replies are set by the test."""

    def __init__(self) -> None:
        self.sent: list[object] = []
        self.replies: list[Any] = []
        self.hold = asyncio.Event()
        self.hold.set()

    async def request(
        self, address: str, message: object, kind: type, *, timeout_s: float
    ) -> object:
        self.sent.append(message)
        await self.hold.wait()
        reply = self.replies.pop(0)
        if isinstance(reply, Exception):
            raise reply
        return reply

    async def notify(self, address: str, message: object) -> None:
        self.sent.append(message)


class _Clock(SystemClock):
    """Monotonic time that a test sets."""

    now_s = 1000.0

    def monotonic(self) -> float:
        return self.now_s


def _service(
    peers: _Peers, home: str = 'home', clock: SystemClock | None = None
) -> OperationService:
    settings = Settings(
        HostSettings('127.0.0.1', 'north', 1, 2, 3, 4),
        PlatformSettings('http://127.0.0.1'),
        operation=OperationSettings(home_timeout_ms=TIMEOUT_MS),
    )
    runtime: Any = mock.Mock(
        settings=settings, clock=clock or SystemClock(), address='own'
    )
    config: Any = mock.Mock()
    config.state.fleet = Fleet(('north',))
    rosters: Any = mock.Mock()
    rosters.holder.return_value = home
    rosters.held_since.return_value = 0.0
    return OperationService(runtime, config, peers, rosters)  # type: ignore[arg-type]


def _call() -> Call:
    clock = SystemClock()
    return Call(
        request_id='0' * 32,
        method='POST',
        path='/deposit',
        headers=(),
        body=b'1',
        named_route=NamedRoute('deposit', Route('treasury', '/deposit')),
        workspace='ward',
        key_digest='',
        importance=Importance.NORMAL,
        bucket=0,
        deadline=clock.monotonic() + 5,
        operation=OperationId.mint(clock.wall(), 0, random.Random(1)),
    )


def test_unreachable_home_may_have_started_an_earlier_attempt() -> None:
    """Guards against not-run for an id whose home daemon is unreachable."""

    async def check() -> None:
        peers = _Peers()
        peers.replies = [LinkLostError('lost')]
        answer = await _service(peers).begin(_call())
        assert isinstance(answer, Answer)
        assert (answer.status, answer.verdict) == (503, Verdict.MAY_HAVE_RUN)
        nobody = await _service(peers, home='').begin(_call())
        assert isinstance(nobody, Answer)
        assert nobody.verdict is Verdict.MAY_HAVE_RUN

    asyncio.run(check())


def test_late_start_is_aborted() -> None:
    """Guards against ids that stay started without being dispatched."""

    async def check() -> None:
        peers = _Peers()
        peers.hold.clear()
        peers.replies = [STARTED]
        service = _service(peers)
        call = _call()
        answer = await service.begin(call)
        assert isinstance(answer, Answer)
        assert answer.reason is Reason.OPERATION_HOME_UNREACHABLE
        peers.hold.set()
        await service.wait_until_drained()
        assert call.operation is not None
        text = call.operation.text
        assert peers.sent[-1] == AbortOperation('ward', text, 7)

    asyncio.run(check())


def test_finish_reports_to_the_home_daemon_by_verdict() -> None:
    """Guards against an unknown outcome that frees the id."""

    async def check() -> None:
        peers = _Peers()
        peers.replies = [LinkLostError('lost'), EmptyReply()]
        service = _service(peers)
        unknown = refuse(Reason.LINK_LOST, Verdict.MAY_HAVE_RUN)
        await service.finish(_call(), 7, unknown)
        assert peers.sent == []
        await service.finish(_call(), 7, refuse(Reason.NO_TARGET))
        assert isinstance(peers.sent.pop(), AbortOperation)
        await service.finish(_call(), 7, SERVED)
        await service.wait_until_drained()
        kinds = [type(message) for message in peers.sent]
        assert kinds == [FinishOperation] * 2

    asyncio.run(check())


def test_own_home_replays_and_waits_for_the_answer() -> None:
    """Guards against a resend that runs while the first is in progress."""

    async def check() -> None:
        service = _service(_Peers(), home='own')
        call = _call()
        nonce = await service.begin(call)
        assert isinstance(nonce, int)
        waiting = asyncio.create_task(service.begin(call))
        await asyncio.sleep(0)
        await service.finish(call, nonce, SERVED)
        replayed = await waiting
        assert isinstance(replayed, Answer)
        assert (replayed.reason, replayed.body) == (Reason.REPLAYED, b'done')

    asyncio.run(check())


def test_in_progress_resend_gets_conflict() -> None:
    """Guards against a resend that waits forever."""

    async def check() -> None:
        service = _service(_Peers(), home='own')
        call = _call()
        assert isinstance(await service.begin(call), int)
        answer = await service.begin(call)
        assert isinstance(answer, Answer)
        assert (answer.status, answer.verdict) == (409, Verdict.MAY_HAVE_RUN)
        assert answer.retry_after_s is not None

    asyncio.run(check())


def test_delayed_begin_does_not_start_after_not_run() -> None:
    """Guards against an abandoned attempt that runs after its resend."""

    async def check() -> None:
        clock = _Clock()
        service = _service(_Peers(), home='own', clock=clock)
        call = _call()
        assert call.operation is not None
        # Sent by another entry before the resend, delayed on its link.
        question = BeginOperation(
            'ward',
            call.operation.text,
            body_digest(call.method, call.path, call.body),
            0,
        )
        nonce = await service.begin(call)
        assert isinstance(nonce, int)
        waiting = asyncio.create_task(service.handle_begin(question, None))
        await asyncio.sleep(0)
        await service.finish(call, nonce, refuse(Reason.SHED_AT_GATE))
        clock.now_s += TIMEOUT_S / 2
        assert (await waiting).state == 'in-progress'
        clock.now_s += TIMEOUT_S
        async with asyncio.timeout(10):
            assert isinstance(await service.begin(call), int)

    asyncio.run(check())


def _dispatcher(operations: Any, quota: Any) -> Dispatcher:
    runtime: Any = mock.Mock(rng=random.Random(1), clock=SystemClock())
    runtime.settings.overload = OverloadSettings()
    blocklist: Any = mock.Mock()
    # Otherwise every request is refused before it reaches the quota.
    blocklist.is_blocked.return_value = False
    return Dispatcher(
        runtime,
        mock.Mock(),
        mock.Mock(),
        mock.Mock(),
        mock.Mock(),
        quota,
        operations,
        blocklist,
    )


def test_late_start_is_not_dispatched() -> None:
    """Guards against a start used after the id may start again."""

    async def check() -> None:
        class PausedPeers(_Peers):
            async def request(self, *args: Any, **options: Any) -> object:
                # The process is paused while the reply waits in its socket.
                clock.now_s += TIMEOUT_S + 0.001
                return await super().request(*args, **options)

        clock = _Clock()
        peers = PausedPeers()
        peers.replies = [STARTED]
        quota: Any = mock.AsyncMock()
        dispatcher = _dispatcher(_service(peers, clock=clock), quota)
        call = _call()
        answer = await dispatcher.serve(call)
        assert answer.verdict is Verdict.NOT_RUN
        assert answer.reason is Reason.OPERATION_HOME_UNREACHABLE
        quota.acquire.assert_not_awaited()
        assert call.operation is not None
        text = call.operation.text
        assert peers.sent[-1] == AbortOperation('ward', text, 7)

    asyncio.run(check())


def test_operation_finishes_although_the_caller_disconnects() -> None:
    """Guards against a finish that is cancelled with its request."""

    async def check() -> None:
        operations: Any = mock.AsyncMock()
        operations.begin.return_value = 7
        dispatcher = _dispatcher(operations, mock.AsyncMock())
        release = asyncio.Event()

        async def serve(call: Call) -> Answer:
            await release.wait()
            return SERVED

        dispatcher._serve_admitted = serve  # type: ignore[method-assign]
        call = _call()
        request = asyncio.create_task(dispatcher.serve(call))
        await asyncio.sleep(0.01)
        request.cancel()
        await asyncio.sleep(0)
        release.set()
        await dispatcher.wait_until_drained()
        operations.finish.assert_awaited_once_with(call, 7, SERVED)

    asyncio.run(check())


def test_call_abandoned_before_dispatch_is_not_run() -> None:
    """Guards against an abandoned attempt that starts after its resend."""

    async def check() -> None:
        release = asyncio.Event()

        async def begin(call: Call) -> int:
            await release.wait()
            return 7

        operations: Any = mock.AsyncMock()
        operations.begin = begin
        quota: Any = mock.AsyncMock()
        dispatcher = _dispatcher(operations, quota)
        request = asyncio.create_task(dispatcher.serve(_call()))
        await asyncio.sleep(0.01)
        request.cancel()
        await asyncio.sleep(0)
        release.set()
        await dispatcher.wait_until_drained()
        answer = operations.finish.await_args.args[2]
        assert answer.verdict is Verdict.NOT_RUN
        quota.acquire.assert_not_awaited()

    asyncio.run(check())

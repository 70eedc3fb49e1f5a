"""Guards against wrong request counts and targets at the gate."""

import asyncio
import time
from typing import Any
from unittest import mock

import msgspec
import pytest

from dataplane_values import NAMES
from scripted_target import make_answer
from scripted_target import ScriptedTarget
from scripted_target import start_server
from turmericrouter_core.verdict import Reason
from turmericrouter_core.verdict import Verdict
from turmericrouter_dataplane import http_client
from turmericrouter_dataplane.decision_log import DecisionLog
from turmericrouter_dataplane.frames import Dispatch
from turmericrouter_dataplane.frames import Outcome
from turmericrouter_dataplane.gate import Gate
from turmericrouter_dataplane.local_target import LocalTarget
from turmericrouter_dataplane.policy.planned_stop import StopTimes
from turmericrouter_dataplane.policy.target_chooser import TargetState
from turmericrouter_dataplane.settings import Address
from turmericrouter_dataplane.timers import TimerService

_HEAD = b'GET / HTTP/1.1\r\n'


def make_dispatch(
    correlation: int = 1,
    *,
    request_id: bytes = b'',
    remaining_ms: int = 2000,
    max_queue_wait_ms: int = 1000,
    is_idempotent: bool = True,
    rank: int = 1,
) -> Dispatch:
    return Dispatch(
        correlation,
        '',
        rank,
        is_idempotent,
        remaining_ms,
        max_queue_wait_ms,
        _HEAD,
        b'',
        request_id,
        0,
    )


def make_gate() -> Gate:
    timers = TimerService(lambda name, error: None)
    log = DecisionLog('host')
    gate = Gate(NAMES, timers, log, lambda digest, target: None)
    # Nothing listens there; connecting does not end while a test runs.
    address = Address('127.0.0.1', 9)
    gate.set_target(
        LocalTarget('t-1', 'design', address, 1, TargetState.SERVING)
    )
    return gate


def test_gate_is_idle_only_without_any_request() -> None:
    """Two requests without an id were counted as one during a stop."""

    async def work() -> None:
        gate = make_gate()
        outcomes: list[Outcome] = []
        first = gate.submit(make_dispatch(1), outcomes.append)
        second = gate.submit(make_dispatch(2), outcomes.append)
        gate.cancel(second)
        assert not gate.is_idle
        gate.cancel(first)
        assert gate.is_idle

    asyncio.run(work())


def test_waiting_requests_leave_with_the_target() -> None:
    async def work() -> None:
        gate = make_gate()
        outcomes: list[Outcome] = []
        gate.submit(make_dispatch(1, request_id=b'a'), outcomes.append)
        gate.submit(make_dispatch(2, request_id=b'b'), outcomes.append)
        address = Address('127.0.0.1', 9)
        gate.set_target(
            LocalTarget('t-1', 'design', address, 1, TargetState.LEAVING)
        )
        assert [o.reason for o in outcomes] == [Reason.TARGET_LEAVING]

    asyncio.run(work())


def test_address_of_another_target_gets_no_further_requests() -> None:
    """Each request was sent there, and its retry used the retry budget."""

    async def work() -> None:
        asked = 0

        async def answer(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            nonlocal asked
            while await reader.readuntil(b'\r\n\r\n'):
                asked += 1
                writer.write(
                    b'HTTP/1.1 421 Other\r\nContent-Length: 0\r\n\r\n'
                )

        server = await start_server(answer)
        port = server.sockets[0].getsockname()[1]
        gate = make_gate()
        gate.set_target(
            LocalTarget(
                't-1',
                'design',
                Address('127.0.0.1', port),
                4,
                TargetState.SERVING,
            )
        )
        outcomes: list[Outcome] = []
        for number in range(3):
            gate.submit(make_dispatch(number), outcomes.append)
            async with asyncio.timeout(5.0):
                while len(outcomes) <= number:
                    await asyncio.sleep(0.01)
        assert [o.reason for o in outcomes] == [
            Reason.TARGET_RETIRED,
            Reason.TARGET_UNREACHABLE,
            Reason.TARGET_UNREACHABLE,
        ]
        assert [o.was_sent for o in outcomes] == [True, False, False]
        assert asked == 1
        gate.stop()
        server.close()

    asyncio.run(work())


def test_refusal_without_an_id_on_a_used_connection_proves_nothing() -> None:
    """Guards against a late copy of an earlier refusal.

    Its request would be told that it has not run, while it runs.
    """

    async def work() -> None:
        async def answer(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            while await reader.readuntil(b'\r\n\r\n'):
                writer.write(
                    b'HTTP/1.1 503 Busy\r\n%b: 1\r\nContent-Length: 0\r\n\r\n'
                    % NAMES.not_run
                )

        server = await start_server(answer)
        port = server.sockets[0].getsockname()[1]
        gate = make_gate()
        address = Address('127.0.0.1', port)
        gate.set_target(
            LocalTarget('t-1', 'design', address, 4, TargetState.SERVING)
        )
        outcomes: list[Outcome] = []
        for number in range(2):
            request = make_dispatch(
                number, request_id=b'%d' % number, is_idempotent=False
            )
            gate.submit(request, outcomes.append)
            async with asyncio.timeout(5.0):
                while len(outcomes) <= number:
                    await asyncio.sleep(0.01)
        assert [o.verdict for o in outcomes] == [
            Verdict.NOT_RUN,
            Verdict.MAY_HAVE_RUN,
        ]
        gate.stop()
        server.close()

    asyncio.run(work())


def test_stopping_host_refuses_peers_but_not_its_own_requests() -> None:
    """Guards against a stop that takes new work of peers until its end."""

    async def work() -> None:
        gate = make_gate()
        outcomes: list[Outcome] = []
        gate.stop_guard.begin(StopTimes.plan(time.monotonic(), 6.0))
        gate.submit(make_dispatch(1), outcomes.append)
        gate.stop_guard.end_notice()
        own = gate.submit(make_dispatch(0), outcomes.append)
        gate.submit(make_dispatch(2), outcomes.append)
        assert [(o.correlation, o.verdict, o.reason) for o in outcomes] == [
            (2, Verdict.NOT_RUN, Reason.DAEMON_STOPPING)
        ]
        assert not own.is_done

    asyncio.run(work())


def test_target_of_a_stopping_host_gets_the_time_that_is_left() -> None:
    """Guards against a target that works on after the end of the stop."""

    async def work() -> None:
        limits_ms: list[int] = []

        async def answer(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            head = await reader.readuntil(b'\r\n\r\n')
            value = head.partition(NAMES.deadline_ms + b': ')[2]
            limits_ms.append(int(value.partition(b'\r\n')[0]))
            writer.close()

        server = await start_server(answer)
        port = server.sockets[0].getsockname()[1]
        gate = make_gate()
        address = Address('127.0.0.1', port)
        gate.set_target(
            LocalTarget('t-1', 'design', address, 4, TargetState.SERVING)
        )
        outcomes: list[Outcome] = []
        times = StopTimes.plan(time.monotonic(), 2.5)
        gate.stop_guard.begin(times)
        gate.submit(make_dispatch(), outcomes.append)
        async with asyncio.timeout(5.0):
            while not outcomes:
                await asyncio.sleep(0.01)
        longest_s = times.answers_due_at - times.started_at
        assert longest_s * 500 < limits_ms[0] <= longest_s * 1000
        gate.stop()
        server.close()

    asyncio.run(work())


def test_request_that_waits_for_a_slot_is_not_sent_after_the_end() -> None:
    """Guards against a queue that is served while connections close."""

    async def work() -> None:
        gate = make_gate()
        outcomes: list[Outcome] = []
        first = gate.submit(make_dispatch(1), outcomes.append)
        gate.submit(make_dispatch(2), outcomes.append)
        gate.stop_guard.close()
        gate.cancel(first)
        assert [(o.correlation, o.verdict, o.reason) for o in outcomes] == [
            (2, Verdict.NOT_RUN, Reason.DAEMON_STOPPING)
        ]
        assert gate.is_idle

    asyncio.run(work())


def test_request_is_not_sent_on_a_connection_that_opens_after_the_end() -> (
    None
):
    """Guards against a request that is sent to be cut at once."""

    async def work() -> None:
        received: list[bytes] = []

        async def answer(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            received.append(await reader.read(100))
            writer.close()

        server = await start_server(answer)
        port = server.sockets[0].getsockname()[1]
        gate = make_gate()
        address = Address('127.0.0.1', port)
        gate.set_target(
            LocalTarget('t-1', 'design', address, 4, TargetState.SERVING)
        )
        outcomes: list[Outcome] = []
        gate.submit(make_dispatch(0), outcomes.append)
        gate.stop_guard.close()
        async with asyncio.timeout(5.0):
            while not outcomes:
                await asyncio.sleep(0.01)
        assert [(o.verdict, o.reason) for o in outcomes] == [
            (Verdict.NOT_RUN, Reason.DAEMON_STOPPING)
        ]
        gate.stop()
        await asyncio.sleep(0.05)
        assert received == [b'']
        server.close()

    asyncio.run(work())


def test_end_of_a_stop_tells_peers_which_requests_have_not_run() -> None:
    """Guards against a lost link as the only answer.

    The peer would take a request that only waited for one that may have run.
    """

    async def work() -> None:
        connected = asyncio.Event()

        async def hold(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            connected.set()
            await reader.read(-1)
            writer.close()

        server = await start_server(hold)
        port = server.sockets[0].getsockname()[1]
        gate = make_gate()
        address = Address('127.0.0.1', port)
        gate.set_target(
            LocalTarget('t-1', 'design', address, 1, TargetState.SERVING)
        )
        outcomes: list[Outcome] = []
        running = gate.submit(
            make_dispatch(1, is_idempotent=False), outcomes.append
        )
        gate.submit(make_dispatch(2), outcomes.append)
        await connected.wait()
        async with asyncio.timeout(5.0):
            while not running.has_started:
                await asyncio.sleep(0.01)
        gate.stop_guard.close()
        cut = gate.answer_all()
        assert {o.correlation: (o.verdict, o.reason) for o in outcomes} == {
            1: (Verdict.MAY_HAVE_RUN, Reason.DAEMON_STOPPING),
            2: (Verdict.NOT_RUN, Reason.DAEMON_STOPPING),
        }
        assert cut.count == 2 and 0.0 <= cut.oldest_s < 5.0
        assert gate.is_idle
        gate.stop()
        server.close()
        await asyncio.sleep(0.05)

    asyncio.run(work())


def test_end_of_a_stop_leaves_no_request_that_still_connects() -> None:
    """Guards against a request that is sent once its connection opens."""

    async def work() -> None:
        gate = make_gate()
        outcomes: list[Outcome] = []
        gate.submit(make_dispatch(1), outcomes.append)
        gate.stop_guard.close()
        assert gate.answer_all().count == 1
        assert [o.verdict for o in outcomes] == [Verdict.NOT_RUN]
        assert gate.is_idle

    asyncio.run(work())


def test_request_without_time_left_frees_its_slot() -> None:
    """Guards against a slot that is lost until the daemon restarts.

    The request found an idle connection but had no time left for the target.
    """

    async def work() -> None:
        async with ScriptedTarget(
            lambda _, request_id: make_answer(200, request_id)
        ) as target:
            gate = make_gate()
            address = Address('127.0.0.1', target.port)
            gate.set_target(
                LocalTarget('t-1', 'design', address, 4, TargetState.SERVING)
            )
            outcomes: list[Outcome] = []
            gate.submit(make_dispatch(1), outcomes.append)
            async with asyncio.timeout(5.0):
                while not outcomes:
                    await asyncio.sleep(0.01)
            for correlation in range(2, 2 + gate.limit):
                frame = make_dispatch(
                    correlation,
                    request_id=b'%d' % correlation,
                    remaining_ms=1,
                )
                gate.submit(frame, outcomes.append)
            running = gate.running
            gate.stop()
        assert [(o.verdict, o.reason) for o in outcomes[1:]] == [
            (Verdict.NOT_RUN, Reason.DEADLINE_EXPIRED)
        ] * gate.limit
        assert running == 0
        assert target.connection_count == 1

    asyncio.run(work())


def test_expired_request_gets_no_slot_that_becomes_free() -> None:
    """Guards against connections that are opened for requests without time.

    Waiting requests are refused up to a tick after their time.
    """

    async def work() -> None:
        async with ScriptedTarget(lambda *_: b'') as target:
            gate = make_gate()
            address = Address('127.0.0.1', target.port)
            gate.set_target(
                LocalTarget('t-1', 'design', address, 1, TargetState.SERVING)
            )
            outcomes: list[Outcome] = []
            first = gate.submit(make_dispatch(1), outcomes.append)
            async with asyncio.timeout(5.0):
                while not first.has_started:
                    await asyncio.sleep(0.01)
            waiting = [
                gate.submit(
                    make_dispatch(correlation, remaining_ms=1), outcomes.append
                )
                for correlation in range(2, 10)
            ]
            # Without a pause, in which their timers would refuse them.
            while time.monotonic() < waiting[-1].expires_at:
                continue
            gate.cancel(first)
            running = gate.running
            gate.stop()
        assert [(o.verdict, o.reason) for o in outcomes] == [
            (Verdict.NOT_RUN, Reason.DEADLINE_EXPIRED)
        ] * 8
        assert running == 0

    asyncio.run(work())


def test_failed_connect_leaves_other_connections_in_use() -> None:
    """Guards against a busy target that gets a connection for each request.

    One of three connections that open together fails, as with a full backlog.
    The connections that were closed for it opened together again.
    """

    async def work() -> None:
        connect = http_client.connect
        attempts = 0

        async def fail_second(
            *args: Any, **options: Any
        ) -> http_client.HttpClientConnection:
            nonlocal attempts
            attempts += 1
            if attempts == 2:
                raise TimeoutError
            return await connect(*args, **options)

        outcomes: list[Outcome] = []

        async def run(gate: Gate, *request_ids: bytes) -> set[Reason]:
            outcomes.clear()
            for number, request_id in enumerate(request_ids, 1):
                frame = msgspec.structs.replace(
                    make_dispatch(number, request_id=request_id),
                    head=_HEAD
                    + b'%b: %b\r\n' % (NAMES.request_id, request_id),
                )
                gate.submit(frame, outcomes.append)
            async with asyncio.timeout(5.0):
                while len(outcomes) < len(request_ids):
                    await asyncio.sleep(0.005)
            return {outcome.reason for outcome in outcomes}

        def script(number: int, request_id: bytes) -> bytes:
            return make_answer(200, request_id)

        async with ScriptedTarget(script) as target:
            gate = make_gate()
            address = Address('127.0.0.1', target.port)
            serving = LocalTarget(
                't-1', 'design', address, 8, TargetState.SERVING
            )
            gate.set_target(serving)
            with mock.patch.object(http_client, 'connect', fail_second):
                first = await run(gate, b'a', b'b', b'c')
            # A new announcement makes the target reachable at once.
            gate.set_target(serving)
            second = await run(gate, b'd', b'e')
            gate.stop()
        assert first == {Reason.SERVED, Reason.TARGET_UNREACHABLE}
        assert second == {Reason.SERVED}
        assert target.connection_count == 2

    asyncio.run(work())


@pytest.mark.parametrize('is_idempotent', [False, True])
def test_connection_that_is_reset_before_its_request_has_not_run(
    is_idempotent: bool,
) -> None:
    """Guards against a 502 for a request that was never sent.

    A target resets a connection beyond its limit as soon as it is open.
    """

    async def work() -> list[Outcome]:
        connect = http_client.connect

        async def connect_to_full(
            *args: Any, **options: Any
        ) -> http_client.HttpClientConnection:
            connection = await connect(*args, **options)
            # The loss is reported in the next turn, as that of a reset.
            connection.abort()
            return connection

        outcomes: list[Outcome] = []
        async with ScriptedTarget(lambda n, i: make_answer(200, i)) as target:
            gate = make_gate()
            address = Address('127.0.0.1', target.port)
            gate.set_target(
                LocalTarget('t-1', 'design', address, 8, TargetState.SERVING)
            )
            frame = make_dispatch(request_id=b'a', is_idempotent=is_idempotent)
            with mock.patch.object(http_client, 'connect', connect_to_full):
                gate.submit(frame, outcomes.append)
                async with asyncio.timeout(5.0):
                    while not outcomes:
                        await asyncio.sleep(0.005)
            assert gate.is_idle
            assert not gate.running
            gate.stop()
        return outcomes

    (outcome,) = asyncio.run(work())
    assert outcome.verdict is Verdict.NOT_RUN
    assert outcome.reason is Reason.TARGET_SHED
    assert not outcome.was_sent

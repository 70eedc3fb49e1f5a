"""Guards against answers of earlier requests that are written once more."""

import asyncio
import contextlib
from unittest import mock

import pytest

from dataplane_values import NAMES
from scripted_target import AnswerScript
from scripted_target import make_answer
from scripted_target import ScriptedTarget
from turmericrouter_core.verdict import Reason
from turmericrouter_core.verdict import Verdict
from turmericrouter_dataplane.decision_log import DecisionLog
from turmericrouter_dataplane.frames import Dispatch
from turmericrouter_dataplane.frames import Outcome
from turmericrouter_dataplane.gate import Gate
from turmericrouter_dataplane.gate_job import GateJob
from turmericrouter_dataplane.http_client import HttpClientConnection
from turmericrouter_dataplane.local_target import LocalTarget
from turmericrouter_dataplane.policy.target_chooser import TargetState
from turmericrouter_dataplane.settings import Address
from turmericrouter_dataplane.timers import TimerService

# One request at a time needs one connection; another one may be closing.
MAX_OPEN_CONNECTIONS = 2


def _reuse_for_any_request() -> contextlib.AbstractContextManager[object]:
    """Let any request use a kept connection, also with an id sent before."""
    return mock.patch.object(
        HttpClientConnection, 'can_attribute', return_value=True
    )


def _make_dispatch(
    number: int, request_id: bytes, *, is_idempotent: bool
) -> Dispatch:
    head = b'GET / HTTP/1.1\r\n'
    if request_id:
        head += b'%b: %b\r\n' % (NAMES.request_id, request_id)
    return Dispatch(
        number, '', 1, is_idempotent, 2000, 0, head, b'', request_id, 0
    )


async def _run_all(
    script: AnswerScript, request_ids: tuple[bytes, ...], is_idempotent: bool
) -> tuple[list[Outcome], ScriptedTarget]:
    """Send requests one after the other through a gate."""
    timers = TimerService(lambda name, error: None)
    gate = Gate(
        NAMES, timers, DecisionLog('host'), lambda digest, target: None
    )
    outcomes: list[Outcome] = []
    async with ScriptedTarget(script) as target:
        address = Address('127.0.0.1', target.port)
        gate.set_target(
            LocalTarget('t-1', 'design', address, 4, TargetState.SERVING)
        )
        for number, request_id in enumerate(request_ids, 1):
            gate.submit(
                _make_dispatch(
                    number, request_id, is_idempotent=is_idempotent
                ),
                outcomes.append,
            )
            async with asyncio.timeout(10.0):
                while len(outcomes) < number:
                    await asyncio.sleep(0.005)
        open_count = len(gate._connections._all)
        gate.stop()
    assert open_count <= MAX_OPEN_CONNECTIONS
    return outcomes, target


def _run(
    script: AnswerScript,
    *request_ids: bytes,
    is_idempotent: bool = True,
) -> tuple[list[Outcome], ScriptedTarget]:
    return asyncio.run(_run_all(script, request_ids, is_idempotent))


@pytest.mark.parametrize('status', [400, 421, 429, 503])
@pytest.mark.parametrize('is_idempotent', [False, True])
def test_late_refusal_without_an_id_is_no_proof_of_not_run(
    is_idempotent: bool, status: int
) -> None:
    """Guards against "not run, try again" for a request that is running."""

    def script(number: int, request_id: bytes) -> bytes:
        if number == 1:
            return make_answer(200, request_id)
        return make_answer(status, is_not_run=True)

    outcomes, _ = _run(script, b'a', b'b', is_idempotent=is_idempotent)
    assert [o.verdict for o in outcomes] == [
        Verdict.RAN,
        Verdict.MAY_HAVE_RUN,
    ]
    assert outcomes[1].reason is Reason.TARGET_ANSWER_INVALID
    assert outcomes[1].was_sent


def test_late_421_without_an_id_does_not_stop_the_target() -> None:
    """Guards against requests that are refused as the target seems gone."""

    def script(number: int, request_id: bytes) -> bytes:
        if number == 2:
            return make_answer(421, is_not_run=True)
        return make_answer(200, request_id)

    outcomes, _ = _run(script, b'a', b'b', b'c')
    assert [o.reason for o in outcomes] == [
        Reason.SERVED,
        Reason.TARGET_ANSWER_INVALID,
        Reason.SERVED,
    ]


@pytest.mark.parametrize('is_signed', [False, True])
@pytest.mark.parametrize('status', [200, 204, 302])
def test_success_that_is_marked_not_run_proves_nothing(
    status: int, is_signed: bool
) -> None:
    """Guards against "not run" from an answer that contradicts itself."""

    def script(number: int, request_id: bytes) -> bytes:
        answer = make_answer(status, request_id, is_not_run=True)
        if is_signed:
            signature = b'\r\n%b: s\r\n\r\n' % NAMES.signature
            answer = answer.removesuffix(b'\r\n\r\n') + signature
        return answer

    outcomes, _ = _run(script, b'a', is_idempotent=False)
    assert outcomes[0].verdict is Verdict.MAY_HAVE_RUN
    assert outcomes[0].reason is Reason.TARGET_ANSWER_INVALID


@pytest.mark.parametrize('is_idempotent', [False, True])
def test_cut_copy_before_the_own_answer_is_no_proof_of_not_run(
    is_idempotent: bool,
) -> None:
    """Guards against a refusal that ends within its head.

    With the answer after it, it looks like a refusal with the request's id.
    """

    def script(number: int, request_id: bytes) -> bytes:
        own = make_answer(200, request_id)
        if number == 1:
            return own
        return b'HTTP/1.1 503 X\r\n%b: 1' % NAMES.not_run + own

    outcomes, _ = _run(script, b'a', b'b', is_idempotent=is_idempotent)
    assert outcomes[1].verdict is Verdict.MAY_HAVE_RUN
    assert outcomes[1].reason is Reason.TARGET_ANSWER_INVALID


@pytest.mark.parametrize('status', [404, 500, 504])
def test_late_failure_without_an_id_is_not_passed_on(status: int) -> None:
    """Guards against an answer that belongs to an earlier request.

    The connection is closed, as the request's own answer may follow.
    """

    def script(number: int, request_id: bytes) -> bytes:
        if number == 1:
            return make_answer(200, request_id)
        return make_answer(status, body=b'of an earlier request')

    outcomes, target = _run(script, b'a', b'b', b'c')
    assert [o.status for o in outcomes] == [200, 0, 200]
    assert outcomes[1].verdict is Verdict.MAY_HAVE_RUN
    assert target.connection_count == 2


@pytest.mark.parametrize('status', [400, 404, 429, 500, 503])
def test_answer_without_an_id_on_a_new_connection_is_believed(
    status: int,
) -> None:
    """Guards against distrust of targets whose failures have no id."""
    is_not_run = status in (400, 429, 503)

    def script(number: int, request_id: bytes) -> bytes:
        return make_answer(status, is_not_run=is_not_run)

    outcomes, _ = _run(script, b'a', is_idempotent=False)
    assert outcomes[0].verdict is (
        Verdict.NOT_RUN if is_not_run else Verdict.RAN
    )


def test_request_without_an_id_gets_no_answer_of_another_request() -> None:
    """Guards against a late answer, as the request has no id to compare.

    Its own answer, a refusal, has no id either and proves nothing.
    """

    def script(number: int, request_id: bytes) -> bytes:
        if request_id:
            return make_answer(200, request_id)
        copy = make_answer(200, b'a', body=b'of an earlier request')
        return copy + make_answer(400, is_not_run=True)

    outcomes, _ = _run(script, b'a', b'', is_idempotent=False)
    assert outcomes[1].verdict is Verdict.MAY_HAVE_RUN
    assert outcomes[1].body == b''
    with _reuse_for_any_request():
        outcomes, _ = _run(script, b'a', b'', is_idempotent=False)
    assert outcomes[1].verdict is Verdict.MAY_HAVE_RUN
    assert outcomes[1].body == b''


def test_refusal_of_a_request_without_an_id_is_believed() -> None:
    """Guards against 502 for a request that the target says it refused."""

    def script(number: int, request_id: bytes) -> bytes:
        if request_id:
            return make_answer(200, request_id)
        return make_answer(400, is_not_run=True)

    outcomes, target = _run(script, b'a', b'', b'', b'b', is_idempotent=False)
    assert [o.verdict for o in outcomes] == [
        Verdict.RAN,
        Verdict.NOT_RUN,
        Verdict.NOT_RUN,
        Verdict.RAN,
    ]
    # The last request has an id and shares the connection of the one before.
    assert target.connection_count == 3


@pytest.mark.parametrize('is_idempotent', [False, True])
@pytest.mark.parametrize('status', [404, 429, 500, 503])
def test_copy_on_a_kept_connection_meets_no_request_of_its_id(
    status: int, is_idempotent: bool
) -> None:
    """Guards against a copy that counts as the answer to a repeated id."""
    answer_count = 0

    def script(number: int, request_id: bytes) -> bytes:
        nonlocal answer_count
        answer_count += 1
        if number == 1 and answer_count > 1:
            return make_answer(200, request_id)
        return make_answer(status, request_id, is_not_run=status in (429, 503))

    outcomes, _ = _run(script, b'a', b'a', is_idempotent=is_idempotent)
    assert outcomes[1].status == 200


@pytest.mark.parametrize('status', [200, 404, 500, 504])
def test_answer_of_a_repeated_id_on_a_kept_connection_is_not_passed_on(
    status: int,
) -> None:
    """Guards against the answer to the earlier request with the same id."""

    def script(number: int, request_id: bytes) -> bytes:
        return make_answer(status, request_id, body=b'%d' % number)

    with _reuse_for_any_request():
        outcomes, _ = _run(script, b'a', b'b', b'a')
    assert [o.body for o in outcomes] == [b'1', b'2', b'']
    assert outcomes[2].verdict is Verdict.MAY_HAVE_RUN
    assert outcomes[2].reason is Reason.TARGET_ANSWER_INVALID


def test_late_421_of_a_repeated_id_does_not_stop_the_target() -> None:
    """Guards against requests that are refused as the target seems gone."""

    def script(number: int, request_id: bytes) -> bytes:
        if number == 2:
            return make_answer(421, request_id, is_not_run=True)
        return make_answer(200, request_id)

    with _reuse_for_any_request():
        outcomes, _ = _run(script, b'a', b'a', b'c')
    assert [o.reason for o in outcomes] == [
        Reason.SERVED,
        Reason.TARGET_ANSWER_INVALID,
        Reason.SERVED,
    ]


def test_id_that_was_sent_63_requests_before_is_still_known() -> None:
    """Guards against a copy that comes many answers after its request."""

    def script(number: int, request_id: bytes) -> bytes:
        return make_answer(200, request_id)

    others = [b'%d' % number for number in range(63)]
    outcomes, target = _run(script, b'a', *others, b'a')
    assert {o.status for o in outcomes} == {200}
    assert target.connection_count == 2


@pytest.mark.parametrize('request_id', [b'', b'a'])
def test_connections_of_requests_without_a_new_id_do_not_add_up(
    request_id: bytes,
) -> None:
    """Guards against idle connections beyond what the target accepts."""

    def script(number: int, request_id: bytes) -> bytes:
        status = 200 if request_id else 500
        return make_answer(status, request_id)

    outcomes, _ = _run(script, *[request_id] * 20)
    assert {o.verdict for o in outcomes} == {Verdict.RAN}


@pytest.mark.parametrize('status', [421, 429, 503])
def test_late_refusal_of_a_repeated_id_is_no_proof_of_not_run(
    status: int,
) -> None:
    """Guards against a copy of a refusal that has the id of the request.

    A nested call that is made again may have the id that it had before.
    """

    def script(number: int, request_id: bytes) -> bytes:
        if number == 1 and status == 421:
            # The connection of a 421 is closed, so it can't be the first.
            return make_answer(200, request_id)
        return make_answer(status, request_id, is_not_run=True)

    with _reuse_for_any_request():
        outcomes, _ = _run(script, b'a', b'a', is_idempotent=False)
    assert outcomes[1].verdict is Verdict.MAY_HAVE_RUN


def test_answer_to_a_repeated_id_is_passed_on() -> None:
    """Guards against callers that fail as they send one id many times."""

    def script(number: int, request_id: bytes) -> bytes:
        return make_answer(200, request_id)

    outcomes, target = _run(script, b'a', b'a', b'a')
    assert [o.status for o in outcomes] == [200, 200, 200]
    # On one connection, an answer could be a copy of the one before.
    assert target.connection_count == 3


@pytest.mark.parametrize('is_idempotent', [False, True])
def test_wait_after_a_late_answer_ends_at_the_deadline(
    is_idempotent: bool,
) -> None:
    """Guards against a request that waits without end, or is "not run"."""

    def script(number: int, request_id: bytes) -> bytes:
        if number == 1:
            return make_answer(503, request_id, is_not_run=True)
        return make_answer(503, b'a', is_not_run=True)

    outcomes, target = _run(script, b'a', b'b', is_idempotent=is_idempotent)
    assert outcomes[1].verdict is Verdict.MAY_HAVE_RUN
    assert outcomes[1].reason is Reason.DEADLINE_EXPIRED
    assert target.connection_count == 1


@pytest.mark.parametrize('is_idempotent', [False, True])
@pytest.mark.parametrize('is_cancelled', [False, True])
def test_connection_of_the_target_before_is_not_kept(
    is_idempotent: bool, is_cancelled: bool
) -> None:
    """Guards against a 421 of the earlier target that stops the present one.

    The target changes while a request runs, or while its connection opens.
    """

    async def work() -> None:
        timers = TimerService(lambda name, error: None)
        gate = Gate(
            NAMES, timers, DecisionLog('host'), lambda digest, target: None
        )
        outcomes: list[Outcome] = []

        def submit(request_id: bytes) -> GateJob:
            return gate.submit(
                _make_dispatch(1, request_id, is_idempotent=is_idempotent),
                outcomes.append,
            )

        def announce(target_id: str, port: int) -> None:
            gate.set_target(
                LocalTarget(
                    target_id,
                    'design',
                    Address('127.0.0.1', port),
                    4,
                    TargetState.SERVING,
                )
            )

        def answer_first(number: int, request_id: bytes) -> bytes:
            announce('t-2', present.port)
            return make_answer(200, request_id)

        async def wait_for(count: int) -> None:
            async with asyncio.timeout(5.0):
                while len(outcomes) < count:
                    await asyncio.sleep(0.005)

        present = ScriptedTarget(lambda number, i: make_answer(200, i))
        earlier = ScriptedTarget(answer_first)
        async with present, earlier:
            announce('t-1', earlier.port)
            job = submit(b'a')
            if is_cancelled:
                # The connection begins to open in the next turn.
                await asyncio.sleep(0)
                gate.cancel(job)
                announce('t-2', present.port)
                async with asyncio.timeout(5.0):
                    while not earlier.connection_count:
                        await asyncio.sleep(0.005)
                await asyncio.sleep(0.05)
            else:
                await wait_for(1)
            outcomes.clear()
            submit(b'b')
            await wait_for(1)
            gate.stop()
        assert outcomes[0].reason is Reason.SERVED
        assert present.request_ids == [b'b']
        assert len(earlier.request_ids) == (0 if is_cancelled else 1)

    asyncio.run(work())

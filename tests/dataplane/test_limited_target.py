"""The gate of a target that names a rate limit, or says that it leaves."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import time

import msgspec

from dataplane_values import NAMES
from scripted_target import make_answer
from scripted_target import ScriptedTarget
from test_gate import make_dispatch
from test_gate import make_gate
from turmericrouter_core.verdict import Reason
from turmericrouter_core.verdict import Verdict
from turmericrouter_dataplane.decision_log import DecisionLog
from turmericrouter_dataplane.frames import Outcome
from turmericrouter_dataplane.gate import Gate
from turmericrouter_dataplane.local_target import LocalTarget
from turmericrouter_dataplane.policy.rate_limit import NO_RATE_LIMIT
from turmericrouter_dataplane.policy.target_chooser import TargetState
from turmericrouter_dataplane.settings import Address
from turmericrouter_dataplane.timers import TimerService

_RATE_PER_S = 20


class _Target:
    """A target whose answers have the headers that a test sets."""

    def __init__(self) -> None:
        self.headers = b''
        self.status = 200
        self.is_not_run = False

    def answer(self, number: int, request_id: bytes) -> bytes:
        plain = make_answer(
            self.status, request_id, is_not_run=self.is_not_run
        )
        line, _, rest = plain.partition(b'\r\n')
        return line + b'\r\n' + self.headers + rest


def _name(rate: float) -> bytes:
    return b'%b: %g\r\n' % (NAMES.rate_limit, rate)


def _local_target(
    port: int, target_id: str = 't-1', started_at_ms: int = 7
) -> LocalTarget:
    return LocalTarget(
        target_id,
        'design',
        Address('127.0.0.1', port),
        40,
        TargetState.SERVING,
        started_at_ms,
    )


@contextlib.asynccontextmanager
async def _run_gate(
    target: _Target,
) -> AsyncIterator[tuple[Gate, ScriptedTarget]]:
    async with ScriptedTarget(target.answer) as server:
        gate = make_gate()
        gate.set_target(_local_target(server.port))
        try:
            yield gate, server
        finally:
            gate.stop()


class _Caller:
    """Sends requests to a gate and keeps the outcomes by rank."""

    def __init__(self, gate: Gate) -> None:
        self.gate = gate
        self._count = 0
        self.outcomes: list[tuple[int, Outcome]] = []

    def send(self, rank: int = 1, max_queue_wait_ms: int = 0) -> None:
        self._count += 1
        request_id = b'id-%d' % self._count
        frame = make_dispatch(
            self._count,
            request_id=request_id,
            max_queue_wait_ms=max_queue_wait_ms,
            rank=rank,
        )
        head = frame.head + b'%b: %b\r\n' % (NAMES.request_id, request_id)
        frame = msgspec.structs.replace(frame, head=head)
        self.gate.submit(
            frame, lambda outcome: self.outcomes.append((rank, outcome))
        )

    async def wait(self) -> list[Outcome]:
        async with asyncio.timeout(5.0):
            while len(self.outcomes) < self._count:
                await asyncio.sleep(0.005)
        return [outcome for _, outcome in self.outcomes]


@contextlib.asynccontextmanager
async def _run_limited(
    rate: float,
) -> AsyncIterator[tuple[_Target, ScriptedTarget, _Caller]]:
    """Run a gate whose target has named a rate in an answer."""
    target = _Target()
    target.headers = _name(rate)
    async with _run_gate(target) as (gate, server):
        caller = _Caller(gate)
        caller.send()
        await caller.wait()
        yield target, server, caller


def test_target_gets_no_more_than_the_rate_that_it_names() -> None:
    """Guards against a limited target that gets as much as it has slots."""

    async def work() -> None:
        async with _run_limited(_RATE_PER_S) as (target, server, caller):
            began_at = time.monotonic()
            while time.monotonic() < began_at + 1.5:
                caller.send()
                await asyncio.sleep(0.005)
            elapsed_s = time.monotonic() - began_at
            outcomes = await caller.wait()
            sent = len(server.request_ids)
            assert sent <= 1.5 * _RATE_PER_S * elapsed_s + 5
            assert sent >= 0.5 * _RATE_PER_S * elapsed_s
            refused = [o for o in outcomes if o.verdict is Verdict.NOT_RUN]
            assert refused
            assert {o.reason for o in refused} == {Reason.TARGET_RATE_LIMITED}
            assert not any(o.was_sent for o in refused)
            assert all(0 < o.wait_ms <= 1000 / _RATE_PER_S for o in refused)
            assert outcomes[-1].rate_limit == _RATE_PER_S

    asyncio.run(work())


class _SteppingTimers(TimerService):
    """Timers whose clock advances with each reading."""

    value_s = 100.0
    step_s = 0.0

    def now(self) -> float:  # type: ignore[override]
        self.value_s += self.step_s
        return self.value_s


def test_request_that_just_misses_its_turn_is_told_why() -> None:
    """Guards against another reason if the turn comes within the decision.

    The reason decides on the Retry-After and on the next host.
    """

    async def work() -> None:
        timers = _SteppingTimers(lambda name, error: None)
        gate = Gate(NAMES, timers, DecisionLog('host'), lambda *_: None)
        gate.set_target(_local_target(9))
        gate.notices.remember_rate('t-1', 7, 10.0)
        caller = _Caller(gate)
        caller.send()
        timers.value_s, timers.step_s = 100.0975, 0.0012
        caller.send()
        ((_, outcome),) = caller.outcomes
        assert outcome.reason is Reason.TARGET_RATE_LIMITED
        assert outcome.wait_ms >= 1

    asyncio.run(work())


def test_waiting_requests_are_sent_in_order_of_importance() -> None:
    """Guards against a limited target that serves the least important."""

    async def work() -> None:
        target = _Target()
        target.headers = _name(_RATE_PER_S)
        async with _run_gate(target) as (gate, _):
            caller = _Caller(gate)
            for _ in range(2):
                caller.send()
                await caller.wait()
            for rank in (9, 9, 9, 0, 0, 0):
                caller.send(rank, max_queue_wait_ms=250)
            outcomes = await caller.wait()
            served = [
                rank
                for rank, outcome in caller.outcomes[2:]
                if outcome.verdict is Verdict.RAN
            ]
            assert served[:3] == [0, 0, 0]
            assert len(served) < 6
            assert {o.reason for o in outcomes if o.status == 0} == {
                Reason.TARGET_RATE_LIMITED
            }

    asyncio.run(work())


def test_limit_that_ends_lets_all_requests_through() -> None:
    """Guards against a target that stays limited after its need."""

    async def work() -> None:
        async with _run_limited(0.5) as (target, server, caller):
            gate = caller.gate
            assert gate.limit == 1
            target.headers = b''
            caller.send()
            await caller.wait()
            for _ in range(20):
                caller.send()
            outcomes = await caller.wait()
            assert all(o.verdict is Verdict.RAN for o in outcomes)
            assert gate.rate_limit == NO_RATE_LIMIT
            assert gate.limit > 20

    asyncio.run(work())


def test_refusal_that_names_nothing_ends_no_limit() -> None:
    """Guards against a limit that the target's own refusals lift."""

    async def work() -> None:
        async with _run_limited(_RATE_PER_S) as (target, server, caller):
            gate = caller.gate
            target.headers, target.status = b'', 503
            target.is_not_run = True
            caller.send()
            outcomes = await caller.wait()
            assert outcomes[-1].reason is Reason.TARGET_SHED
            assert gate.rate_limit == _RATE_PER_S

    asyncio.run(work())


def test_new_start_of_a_target_has_no_limit() -> None:
    """Guards against the limit of a target that had the address before."""

    async def work() -> None:
        async with _run_limited(_RATE_PER_S) as (target, server, caller):
            gate = caller.gate
            gate.set_target(_local_target(server.port))
            assert gate.rate_limit == _RATE_PER_S
            gate.set_target(_local_target(server.port, started_at_ms=8))
            assert gate.rate_limit == NO_RATE_LIMIT

    asyncio.run(work())


def test_restarted_gate_learns_the_limit_from_peers() -> None:
    """Guards against a slot-full of requests after a restart.

    The report may come before the announcement of the target.
    """

    async def work() -> None:
        target = _Target()
        target.headers = _name(_RATE_PER_S)
        async with _run_gate(target) as (gate, server):
            restarted = make_gate()
            restarted.notices.remember_rate('t-1', 7, _RATE_PER_S)
            restarted.set_target(_local_target(server.port))
            assert restarted.rate_limit == _RATE_PER_S
            caller = _Caller(restarted)
            for _ in range(20):
                caller.send()
            await caller.wait()
            assert len(server.request_ids) <= 5
            restarted.stop()
            gate.notices.remember_rate('t-0', 7, _RATE_PER_S)
            gate.notices.remember_rate('t-1', 6, _RATE_PER_S)
            assert gate.rate_limit == NO_RATE_LIMIT

    asyncio.run(work())


def test_answer_tells_that_the_target_leaves() -> None:
    """Guards against requests to a target that has told nobody else."""

    async def work() -> None:
        target = _Target()
        async with _run_gate(target) as (gate, _):
            leaving: list[str] = []
            gate.notices.on_leaving = lambda local: leaving.append(
                local.target_id
            )
            caller = _Caller(gate)
            for value in (b'0', b'', b'1'):
                assert not leaving
                target.headers = b'%b: %b\r\n' % (NAMES.leaving, value)
                caller.send()
                await caller.wait()
            assert leaving == ['t-1']

    asyncio.run(work())


def test_address_of_another_target_tells_nothing_of_this_one() -> None:
    """Guards against a target that leaves or is limited for another one."""

    async def work() -> None:
        target = _Target()
        target.status = 421
        target.headers = b'%b: 1\r\n%b' % (NAMES.leaving, _name(1))
        async with _run_gate(target) as (gate, _):
            leaving: list[LocalTarget] = []
            gate.notices.on_leaving = leaving.append
            caller = _Caller(gate)
            caller.send()
            await caller.wait()
            assert not leaving
            assert gate.rate_limit == NO_RATE_LIMIT

    asyncio.run(work())

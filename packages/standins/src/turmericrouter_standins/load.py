"""Open-loop load generator: arrivals do not wait for answers.

A closed loop sends less when the system slows down and so hides queueing.
Each flow has exponential interarrival times from a seeded generator. Every
attempt becomes one row of the result, and each answer is checked to be
complete and to belong to its request. Run it with `python -m`.
"""

import argparse
import asyncio
import collections
from collections.abc import Iterable
import enum
import gc
import hashlib
import json
import pathlib
import random
import time

import aiohttp
import msgspec
import uvloop

from turmericrouter_core.identity import OperationId
from turmericrouter_standins.ledger import TAG_HEADER

NO_ANSWER = 0  # status of an attempt without an answer


class Phase(msgspec.Struct, frozen=True):
    """A time span with a constant rate.

    Args:
        seconds: Length.
        rate_per_s: Arrivals a second.
    """

    seconds: float
    rate_per_s: float


class Flow(msgspec.Struct, frozen=True):
    """A stream of requests from similar callers.

    Args:
        name: Name in results.
        path: Path and optional query.
        phases: Rates over time.
        entries: Base URLs of entries; each attempt picks one at random.
        key: Caller's key, empty for a route open to all.
        method: HTTP method.
        body_bytes: Length of the random body.
        operation: Whether requests carry an idempotency key.
        domains: Number of failure domains for which idempotency keys are
            minted.
        retries: Further attempts if no attempt got a useful answer.
        retry_wait_s: Wait before a further attempt; negative to wait for the
            time in `Retry-After`.
        delay_s: One-way delay between callers and entries.
        timeout_s: Longest time that a caller waits for an answer.
    """

    name: str
    path: str
    phases: tuple[Phase, ...]
    entries: tuple[str, ...]
    key: str = ''
    method: str = 'GET'
    body_bytes: int = 0
    operation: bool = False
    domains: int = 1
    retries: int = 0
    retry_wait_s: float = 0.0
    delay_s: float = 0.0
    timeout_s: float = 10.0


class LoadSpec(msgspec.Struct, frozen=True):
    """Specification of one load process.

    Args:
        seed: Seed of arrivals, bodies and the choice of entries.
        start_at: Wall-clock second at which the first phase starts.
        flows: Flows that run concurrently.
    """

    seed: int
    start_at: float
    flows: tuple[Flow, ...]


class Failure(enum.StrEnum):
    """Reasons why an attempt got no useful answer."""

    # The status of the answer says that the request was not served.
    REFUSED = 'refused'
    # The status is 200, but the body is incomplete or another caller's.
    ANSWER_INVALID = 'answer-invalid'
    CLIENT_TIMEOUT = 'client-timeout'
    CONNECTION_ERROR = 'connection-error'


class FailureCount(msgspec.Struct, frozen=True):
    """Number of attempts that failed in the same way.

    Args:
        failure: Reason why they got no useful answer.
        status: HTTP status, 0 without an answer.
        reason: Reason header, or the client's error.
        count: Number of attempts.
    """

    failure: Failure
    status: int
    reason: str
    count: int


class Attempt(msgspec.Struct, frozen=True, array_like=True):
    """One attempt of a caller.

    Args:
        flow: Name of the flow.
        request: Number of the caller's request in the flow.
        attempt: 0 for the first attempt of a request.
        sent_at: Wall-clock second at which it was sent.
        ended_at: Wall-clock second at which it was answered or failed.
        status: HTTP status, 0 without an answer.
        verdict: Verdict header.
        reason: Reason header, or the client's error.
        answer_valid: Whether the answer was complete and the caller's own.
        tag: Random tag, which the ledger of the target contains as well.
        operation: Idempotency key, empty for an idempotent request.
        entry: Base URL of the entry.
        request_id: Id that the entry assigned to the attempt.
    """

    flow: str
    request: int
    attempt: int
    sent_at: float
    ended_at: float
    status: int
    verdict: str
    reason: str
    answer_valid: bool
    tag: str
    operation: str
    entry: str
    request_id: str

    @property
    def is_served(self) -> bool:
        """Return whether the caller got a useful answer."""
        return self.status == 200 and self.answer_valid

    @property
    def failure(self) -> Failure | None:
        """Return why the answer was not useful, none if it was."""
        if self.is_served:
            return None
        if self.status == 200:
            return Failure.ANSWER_INVALID
        if self.status != NO_ANSWER:
            return Failure.REFUSED
        # All timeout errors of aiohttp have names with this ending.
        if self.reason.endswith('TimeoutError'):
            return Failure.CLIENT_TIMEOUT
        return Failure.CONNECTION_ERROR


def count_failures(attempts: Iterable[Attempt]) -> tuple[FailureCount, ...]:
    """Count failed attempts by kind, status and reason, most frequent first.

    Args:
        attempts: All attempts, including those that were served.
    """
    counts = collections.Counter(
        (attempt.failure, attempt.status, attempt.reason)
        for attempt in attempts
        if attempt.failure is not None
    )
    return tuple(
        FailureCount(failure, status, reason, count)
        for (failure, status, reason), count in counts.most_common()
    )


class LoadGenerator:
    """Runs all flows of a specification.

    Args:
        spec: Specification of the load.
    """

    def __init__(self, spec: LoadSpec) -> None:
        self._spec = spec
        self._rng = random.Random(spec.seed)
        self._attempts: list[Attempt] = []
        self._session: aiohttp.ClientSession | None = None

    async def run(self) -> list[Attempt]:
        """Run all flows to their end and return their attempts."""
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(
            connector=connector, auto_decompress=False
        ) as session:
            self._session = session
            await asyncio.gather(
                *(self._run(flow) for flow in self._spec.flows)
            )
        return self._attempts

    async def _run(self, flow: Flow) -> None:
        rng = random.Random(self._rng.getrandbits(64))
        tasks: set[asyncio.Task[None]] = set()
        request_number = 0
        start = self._spec.start_at
        for phase in flow.phases:
            end = start + phase.seconds
            due_at = start
            while phase.rate_per_s > 0:
                due_at += rng.expovariate(phase.rate_per_s)
                if due_at >= end:
                    break
                await asyncio.sleep(max(0.0, due_at - time.time()))
                seed = rng.getrandbits(64)
                task = asyncio.create_task(
                    self._request(flow, request_number, seed)
                )
                tasks.add(task)
                task.add_done_callback(tasks.discard)
                request_number += 1
            start = end
        await asyncio.sleep(max(0.0, start - time.time()))
        await asyncio.gather(*tasks)

    async def _request(
        self, flow: Flow, request_number: int, seed: int
    ) -> None:
        assert self._session is not None
        rng = random.Random(seed)
        body = rng.randbytes(flow.body_bytes)
        operation = ''
        if flow.operation:
            operation = OperationId.mint(
                time.time(), rng.randrange(flow.domains), rng
            ).text
        for attempt in range(1 + flow.retries):
            result, wait_s = await send_attempt(
                self._session,
                flow,
                request_number,
                attempt,
                body,
                operation,
                rng,
            )
            self._attempts.append(result)
            if result.is_served:
                return
            await asyncio.sleep(wait_s)


async def send_attempt(
    session: aiohttp.ClientSession,
    flow: Flow,
    request_number: int,
    attempt: int,
    body: bytes,
    operation: str,
    rng: random.Random,
) -> tuple[Attempt, float]:
    """Send one attempt and check its answer.

    Args:
        session: HTTP session.
        flow: Flow of the request.
        request_number: Number of the request in the flow.
        attempt: 0 for the first attempt of the request.
        body: Body of the request.
        operation: Idempotency key, empty for an idempotent request.
        rng: Source of the entry and of the tag.

    Returns:
        The attempt and the seconds to wait before the next one.
    """
    entry = rng.choice(flow.entries)
    tag = f'{rng.getrandbits(64):016x}'
    url = entry + flow.path
    headers = {TAG_HEADER: tag}
    if flow.key:
        headers['Authorization'] = f'Bearer {flow.key}'
    if operation:
        headers['Idempotency-Key'] = operation
    sent_at = time.time()
    status, verdict, reason, answer_valid = NO_ANSWER, '', '', False
    request_id, retry_after_s = '', 1.0
    await asyncio.sleep(flow.delay_s)
    try:
        async with session.request(
            flow.method,
            url,
            data=body or None,
            headers=headers,
            timeout=aiohttp.ClientTimeout(total=flow.timeout_s),
        ) as response:
            content = await response.read()
            status = response.status
            verdict = response.headers.get('Turmeric-Verdict', '')
            reason = response.headers.get('Turmeric-Reason', '')
            request_id = response.headers.get('Turmeric-Request-Id', '')
            retry_after_s = float(response.headers.get('Retry-After', 1))
            replayed = attempt > 0 and bool(operation)
            answer_valid = _is_valid_answer(
                content, body, '' if replayed else tag
            )
    except (aiohttp.ClientError, TimeoutError) as error:
        reason = type(error).__name__
    await asyncio.sleep(flow.delay_s)
    result = Attempt(
        flow.name,
        request_number,
        attempt,
        sent_at,
        time.time(),
        status,
        verdict,
        reason,
        answer_valid,
        tag,
        operation,
        entry,
        request_id,
    )
    wait_s = flow.retry_wait_s if flow.retry_wait_s >= 0 else retry_after_s
    return result, wait_s


def _is_valid_answer(content: bytes, body: bytes, tag: str) -> bool:
    """Return whether an answer is complete and belongs to its request.

    Args:
        content: Body of the answer.
        body: Body of the request.
        tag: Tag that the answer must contain; empty if the answer may be
            that of an earlier attempt.
    """
    try:
        answer = json.loads(content)
    except ValueError:
        return False
    if answer.get('sum') != hashlib.sha256(body).hexdigest():
        return False
    return not tag or answer.get('tag') == tag


def read_attempts(path: pathlib.Path) -> list[Attempt]:
    """Read the result of a load process."""
    return msgspec.msgpack.decode(path.read_bytes(), type=list[Attempt])


def main() -> None:
    """Run a specification and write its attempts to a file."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('spec', type=pathlib.Path, help='JSON file')
    parser.add_argument('result', type=pathlib.Path, help='msgpack file')
    options = parser.parse_args()
    spec = msgspec.json.decode(options.spec.read_bytes(), type=LoadSpec)
    gc.freeze()
    attempts = uvloop.run(LoadGenerator(spec).run())
    options.result.write_bytes(msgspec.msgpack.encode(attempts))


if __name__ == '__main__':
    main()

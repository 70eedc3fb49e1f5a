"""Exchanges crash records between daemons to block poison requests."""

import asyncio
from collections.abc import Sequence
import hashlib

from turmericrouter_core.directory import Directory
from turmericrouter_core.errors import LinkError
from turmericrouter_core.messages import CrashRecord
from turmericrouter_core.messages import CrashRecords
from turmericrouter_core.messages import Dispatch
from turmericrouter_core.messages import Hello
from turmericrouter_core.quarantine import Quarantine
from turmericrouter_core.quarantine import request_digest
from turmericrouter_daemon.call import Call
from turmericrouter_daemon.peer import PeerPool
from turmericrouter_daemon.runtime import Runtime

# Keeps a message below the size that a link sends at once.
_MARKS_PER_MESSAGE = 500
# Limits the repair message to 2 kB per second at about 60 bytes a record.
_MARKS_PER_REPAIR = 32
_REPAIR_PERIOD_S = 1.0


class QuarantineService:
    """Blocks poison requests.

    Digests are computed only while a request has enough crash records to be
    blocked, or to clear the records of a request that record_success.

    Args:
        runtime: Services of the process.
        directory: Known daemons.
        peers: Links to other daemons.
    """

    def __init__(
        self, runtime: Runtime, directory: Directory, peers: PeerPool
    ) -> None:
        settings = runtime.settings
        self._runtime = runtime
        self._directory = directory
        self._peers = peers
        self._quarantine = Quarantine(
            lifetime_s=settings.overload.quarantine_s,
            blocking_crashes=settings.overload.quarantine_crashes,
        )
        # All daemons of a fleet share the secret, hence the digests agree.
        self._key = hashlib.sha256(
            b'crash marks' + settings.membership.secret.encode()
        ).digest()
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def marks(self) -> int:
        """Return the number of crash records, including cleared ones."""
        return len(self._quarantine)

    async def start(self) -> None:
        """Start to resend crash records and to remove expired ones."""
        self._runtime.timers.every(
            _REPAIR_PERIOD_S, self._repair, name='crash_marks'
        )

    async def stop(self) -> None:
        """Drop messages that are not sent yet."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def is_blocked(self, call: Call) -> bool:
        """Return whether a request has caused too many crashes."""
        marks = self._quarantine
        return marks.may_block and marks.is_blocked(
            self._digest_call(call), self._now()
        )

    def is_message_blocked(self, message: Dispatch) -> bool:
        """Return whether a dispatched request has crashed too many targets.

        The gate checks this as well, since an entry that has just started
        may not have received the crash records yet.
        """
        marks = self._quarantine
        return marks.may_block and marks.is_blocked(
            self._digest(message), self._now()
        )

    def record_crash(
        self, messages: Sequence[Dispatch], crash_id: str
    ) -> None:
        """Record the requests that were in flight when the target crashed.

        Args:
            messages: Requests at the target when its connection broke.
            crash_id: Identifies the crash: target name and epoch.
        """
        digests = [self._digest(message) for message in messages]
        new = self._quarantine.record_crash(digests, crash_id, self._now())
        self._runtime.log.warning(
            'target_crashed', crash=crash_id, requests=len(messages)
        )
        self._send_to_peers(new, skip='')

    def record_success(self, message: Dispatch) -> None:
        """Clear the crash records of a request with a complete answer."""
        if self._quarantine.is_empty:
            return
        cleared = self._quarantine.record_success(
            self._digest(message), self._now()
        )
        self._send_to_peers(cleared, skip='')

    def handle(self, message: CrashRecords, sender: Hello) -> None:
        """Merge crash records of another daemon and forward new ones."""
        new = self._quarantine.merge(message.records, self._now())
        if new:
            self._runtime.log.info(
                'crash_marks_learned',
                sender=sender.address,
                marks=len(new),
                crashes=','.join(sorted({mark.crash_id for mark in new})),
            )
        self._send_to_peers(new, skip=sender.address)

    def _digest(self, message: Dispatch) -> bytes:
        return request_digest(
            self._key,
            workspace=message.workspace,
            route=message.route,
            path=message.path,
            body=message.body,
            operation_id=message.operation_id,
        )

    def _digest_call(self, call: Call) -> bytes:
        return request_digest(
            self._key,
            workspace=call.workspace,
            route=call.named_route.name,
            path=call.path,
            body=call.body,
            operation_id=call.operation.text if call.operation else '',
        )

    def _now(self) -> float:
        return self._runtime.clock.monotonic()

    def _send_to_peers(
        self, marks: Sequence[CrashRecord], *, skip: str
    ) -> None:
        if not marks:
            return
        self._runtime.metrics.incr('quarantine.marks', len(marks))
        for address in self._members(
            self._runtime.settings.config.push_fanout, skip
        ):
            for start in range(0, len(marks), _MARKS_PER_MESSAGE):
                part = tuple(marks[start : start + _MARKS_PER_MESSAGE])
                self._send(address, CrashRecords(part))

    def _members(self, count: int, skip: str) -> list[str]:
        excluded = (skip, self._runtime.address)
        others = [
            entry.address
            for entry in self._directory
            if entry.address not in excluded
        ]
        return self._runtime.rng.sample(others, min(count, len(others)))

    def _send(self, address: str, message: CrashRecords) -> None:
        task = asyncio.get_running_loop().create_task(
            self._notify(address, message)
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _notify(self, address: str, message: CrashRecords) -> None:
        try:
            await self._peers.notify(address, message)
        except LinkError as error:
            self._runtime.log.debug(
                'crash_marks_not_sent', peer=address, error=str(error)
            )

    def _repair(self) -> None:
        if self._quarantine.is_empty:
            return
        now = self._now()
        self._quarantine.prune(now)
        marks = self._quarantine.sample(
            _MARKS_PER_REPAIR, now, self._runtime.rng
        )
        if marks:
            for address in self._members(1, ''):
                self._send(address, CrashRecords(marks))

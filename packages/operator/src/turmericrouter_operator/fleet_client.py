"""Queries all daemons of a fleet through their admin interfaces."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import time
from typing import Generic
from typing import TypeVar

from turmericrouter_client.admin import AdminClient
from turmericrouter_client.admin import AdminError
from turmericrouter_client.admin import AdminTls
from turmericrouter_client.admin import TargetRow
from turmericrouter_core.errors import SettingsError
from turmericrouter_core.identity import HostAddress

# Limits concurrent connections when a fleet has thousands of daemons.
_MAX_CONNECTIONS = 64
_POLL_INTERVAL_S = 0.25

_T = TypeVar('_T')


@dataclasses.dataclass(frozen=True, slots=True)
class DaemonReply(Generic[_T]):
    """Reply of one daemon, or the error of the call.

    Args:
        member: Directory entry of the daemon.
        value: Reply, `None` if the call failed.
        error: Error message if the call failed.
    """

    member: TargetRow
    value: _T | None
    error: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class DomainProgress:
    """Progress of a publication in a failure domain.

    Args:
        domain: Name of the failure domain.
        in_force: Number of daemons where the publication is in force.
        behind: Addresses of daemons where it is not in force yet.
        unreachable: Addresses of daemons that cannot be reached.
    """

    domain: str
    in_force: int
    behind: tuple[str, ...]
    unreachable: tuple[str, ...]

    @property
    def is_complete(self) -> bool:
        """Return whether the publication is in force on every daemon.

        A failure domain without daemons is not complete.
        """
        missing = self.behind or self.unreachable
        return self.in_force > 0 and not missing


class FleetClient:
    """Client of all daemons of a fleet, discovered through seeds.

    All daemons are assumed to use the admin port of the first seed.

    Args:
        seeds: `IP:PORT` of the admin interfaces from which the directory is
            read.
        tls: Files of mutual TLS, `None` for plain TCP.

    Raises:
        SettingsError: There is no seed, or one is not `IP:PORT`.
    """

    def __init__(self, seeds: Sequence[str], *, tls: AdminTls | None) -> None:
        if not seeds:
            raise SettingsError(
                '--daemon IP:PORT or TURMERIC_DAEMONS is missing'
            )
        try:
            self._seeds = [HostAddress.parse(seed) for seed in seeds]
        except ValueError as error:
            raise SettingsError(f'--daemon: {error}') from error
        self._tls = tls
        self._connection_slots = asyncio.Semaphore(_MAX_CONNECTIONS)

    async def directory(self) -> list[TargetRow]:
        """Return the newest directory entry of every daemon.

        The directories of all reachable seeds are merged.

        Raises:
            AdminError: No seed can be reached.
        """
        newest: dict[str, TargetRow] = {}
        errors: list[str] = []
        for seed in self._seeds:
            try:
                async with AdminClient(str(seed), tls=self._tls) as client:
                    rows = (await client.targets()).rows
            except AdminError as error:
                errors.append(str(error))
                continue
            for row in rows:
                known = newest.get(row.address)
                if known is None or _version(row) > _version(known):
                    newest[row.address] = row
        if len(errors) == len(self._seeds):
            raise AdminError('; '.join(errors))
        return sorted(newest.values(), key=lambda r: (r.domain, r.address))

    async def query(
        self,
        members: Sequence[TargetRow],
        call: Callable[[AdminClient], Awaitable[_T]],
    ) -> list[DaemonReply[_T]]:
        """Call daemons concurrently and return their replies in order.

        Args:
            members: Directory entries of the daemons.
            call: Call to make on the client of each daemon.
        """
        return await asyncio.gather(
            *(self._query_one(member, call) for member in members)
        )

    async def query_all(
        self, call: Callable[[AdminClient], Awaitable[_T]]
    ) -> list[DaemonReply[_T]]:
        """Call all daemons in the seeds' directories.

        Raises:
            AdminError: No seed can be reached.
        """
        return await self.query(await self.directory(), call)

    async def wait_in_force(
        self, offset: int, *, domains: Sequence[str], timeout_s: float
    ) -> list[DomainProgress]:
        """Wait until a publication is in force in every failure domain.

        Args:
            offset: Offset of the publication.
            domains: Failure domains of the fleet; the directory of a seed
                that has just started may lack daemons of some of them.
            timeout_s: Longest time to wait.

        Returns:
            Progress in each failure domain, complete or not.

        Raises:
            AdminError: No seed can be reached.
        """
        deadline = time.monotonic() + timeout_s
        while True:
            replies = await self.query_all(_config_offset)
            progress = summarize_progress(replies, offset, domains)
            if progress and all(domain.is_complete for domain in progress):
                return progress
            if time.monotonic() > deadline:
                return progress
            await asyncio.sleep(_POLL_INTERVAL_S)

    async def _query_one(
        self,
        member: TargetRow,
        call: Callable[[AdminClient], Awaitable[_T]],
    ) -> DaemonReply[_T]:
        ip = HostAddress.parse(member.address).ip
        address = HostAddress(ip, self._seeds[0].port)
        async with (
            self._connection_slots,
            AdminClient(str(address), tls=self._tls) as client,
        ):
            try:
                return DaemonReply(member, await call(client))
            except AdminError as error:
                return DaemonReply(member, None, str(error))


def summarize_progress(
    replies: Sequence[DaemonReply[int]], offset: int, known: Sequence[str]
) -> list[DomainProgress]:
    """Return the progress of a publication in each failure domain.

    A failure domain without daemons is included, as not complete. A daemon
    that is unreachable after it announced that it is leaving has stopped, so
    it is not counted.

    Args:
        replies: Offset of the configuration in force on each daemon.
        offset: Offset of the publication.
        known: Failure domains of the fleet.
    """
    domains: dict[str, list[DaemonReply[int]]] = {name: [] for name in known}
    for reply in replies:
        has_stopped = reply.value is None and reply.member.state == 'leaving'
        if not has_stopped:
            domains.setdefault(reply.member.domain, []).append(reply)
    return [
        DomainProgress(
            domain,
            sum(r.value is not None and r.value >= offset for r in group),
            tuple(
                r.member.address
                for r in group
                if r.value is not None and r.value < offset
            ),
            tuple(r.member.address for r in group if r.value is None),
        )
        for domain, group in sorted(domains.items())
    ]


async def _config_offset(client: AdminClient) -> int:
    return (await client.status()).config_offset


def _version(row: TargetRow) -> tuple[int, int]:
    return row.incarnation, row.version

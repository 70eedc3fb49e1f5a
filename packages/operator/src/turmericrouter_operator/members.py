"""Asks many daemons through their admin interfaces."""

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

# Connections at once, so that a fleet of thousands is asked in turns.
_MAX_CONNECTIONS = 64
_POLL_S = 0.25

_T = TypeVar('_T')


@dataclasses.dataclass(frozen=True, slots=True)
class Reply(Generic[_T]):
    """Reply of one daemon.

    Args:
        member: Its directory entry.
        value: What it replied, none if it cannot be reached.
        error: Why it cannot be reached.
    """

    member: TargetRow
    value: _T | None
    error: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class DomainProgress:
    """How far a publication has come in a failure domain.

    Args:
        domain: Name of the failure domain.
        in_force: Daemons where it is in force.
        behind: Addresses of daemons where it is not yet.
        unreachable: Addresses of daemons that cannot be reached.
    """

    domain: str
    in_force: int
    behind: tuple[str, ...]
    unreachable: tuple[str, ...]

    @property
    def is_complete(self) -> bool:
        """Return whether it is in force on every daemon, at least one."""
        missing = self.behind or self.unreachable
        return self.in_force > 0 and not missing


class Members:
    """Daemons of a fleet, found through some of them.

    All daemons have the admin port of the first seed.

    Args:
        seeds: `IP:PORT` of admin interfaces to ask for the directory.
        tls: Files of mutual TLS, none for plain TCP.

    Raises:
        SettingsError: There is no seed, or one is not `IP:PORT`.
    """

    def __init__(self, seeds: Sequence[str], *, tls: AdminTls | None) -> None:
        if not seeds:
            raise SettingsError('--daemon IP:PORT is missing')
        try:
            self._seeds = [HostAddress.parse(seed) for seed in seeds]
        except ValueError as error:
            raise SettingsError(f'--daemon: {error}') from error
        self._tls = tls
        self._slots = asyncio.Semaphore(_MAX_CONNECTIONS)

    async def directory(self) -> list[TargetRow]:
        """Return all daemons that the seeds know.

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

    async def ask(
        self,
        members: Sequence[TargetRow],
        question: Callable[[AdminClient], Awaitable[_T]],
    ) -> list[Reply[_T]]:
        """Ask daemons and return a reply for each, in order."""
        return await asyncio.gather(
            *(self._ask_one(member, question) for member in members)
        )

    async def ask_all(
        self, question: Callable[[AdminClient], Awaitable[_T]]
    ) -> list[Reply[_T]]:
        """Ask all daemons that the seeds know.

        Raises:
            AdminError: No seed can be reached.
        """
        return await self.ask(await self.directory(), question)

    async def wait_in_force(
        self, offset: int, *, domains: Sequence[str], timeout_s: float
    ) -> list[DomainProgress]:
        """Wait until a publication is in force in every failure domain.

        Args:
            offset: Offset of the publication.
            domains: Failure domains of the fleet; a seed that has just
                started may not know daemons of all of them.
            timeout_s: Most seconds to wait.

        Raises:
            AdminError: No seed can be reached.
        """
        deadline = time.monotonic() + timeout_s
        while True:
            replies = await self.ask_all(_config_offset)
            progress = summarise(replies, offset, domains)
            if progress and all(domain.is_complete for domain in progress):
                return progress
            if time.monotonic() > deadline:
                return progress
            await asyncio.sleep(_POLL_S)

    async def _ask_one(
        self,
        member: TargetRow,
        question: Callable[[AdminClient], Awaitable[_T]],
    ) -> Reply[_T]:
        ip = HostAddress.parse(member.address).ip
        address = HostAddress(ip, self._seeds[0].port)
        async with (
            self._slots,
            AdminClient(str(address), tls=self._tls) as client,
        ):
            try:
                return Reply(member, await question(client))
            except AdminError as error:
                return Reply(member, None, str(error))


def summarise(
    replies: Sequence[Reply[int]], offset: int, known: Sequence[str]
) -> list[DomainProgress]:
    """Return for each failure domain where an offset is in force.

    A failure domain without any daemon is reported too, as not complete.

    A daemon that said it leaves and cannot be reached has stopped, so it
    does not count.
    """
    domains: dict[str, list[Reply[int]]] = {name: [] for name in known}
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

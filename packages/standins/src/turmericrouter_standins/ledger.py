"""Ledger of the requests that targets have started."""

from collections.abc import Iterator
import pathlib

import msgspec

# Not in the query: a resend must be the same request as the first attempt.
TAG_HEADER = 'Load-Tag'


class LedgerEntry(msgspec.Struct, frozen=True):
    """A request that a target has started.

    Args:
        at: Seconds since the Unix epoch.
        method: HTTP method.
        path: Path without query.
        workspace: Workspace as the daemon names it.
        request_id: Id of the top-level request.
        operation: Id of a non-idempotent request, else empty.
        tag: Mark that the caller put into the tag header.
        depth: Depth in the call chain, if the daemon names it.
        violation: Headers that the target must not see.
    """

    at: float
    method: str
    path: str
    workspace: str
    request_id: str
    operation: str
    tag: str = ''
    depth: str = ''
    violation: str = ''


class Ledger:
    """Appends entries to a file, one line of JSON each.

    Args:
        path: File; it may exist from an earlier process.
    """

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open('ab', buffering=0)

    def append(self, entry: LedgerEntry) -> None:
        """Write an entry; it outlives a crash of the process."""
        self._file.write(msgspec.json.encode(entry) + b'\n')


def read_ledger(path: pathlib.Path) -> Iterator[LedgerEntry]:
    """Yield the entries of a file; a line cut by a kill is left out."""
    if not path.exists():
        return
    for line in path.read_bytes().splitlines(keepends=True):
        if line.endswith(b'\n'):
            yield msgspec.json.decode(line, type=LedgerEntry)

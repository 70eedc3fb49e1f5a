"""Ledger file of the requests that a target has started."""

from collections.abc import Iterator
import pathlib

import msgspec

# A header instead of a query parameter: a retry must be the same request as
# the first attempt.
TAG_HEADER = 'Load-Tag'


class LedgerEntry(msgspec.Struct, frozen=True):
    """A request that a target has started.

    Args:
        at: Seconds since the Unix epoch.
        method: HTTP method.
        path: Path without query.
        workspace: Workspace that the daemon sent.
        request_id: Id of the top-level request.
        operation: Id of a non-idempotent request, else empty.
        tag: Random tag that the caller sent in the tag header.
        depth: Depth in the call chain, empty if the daemon sent none.
        violation: Names of received headers that must not reach a target.
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
    """Appends entries to a file, one line of JSON for each.

    Args:
        path: File; entries of an earlier process are kept.
    """

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open('ab', buffering=0)

    def append(self, entry: LedgerEntry) -> None:
        """Write an entry without buffering, so that it survives a crash."""
        self._file.write(msgspec.json.encode(entry) + b'\n')


def read_ledger(path: pathlib.Path) -> Iterator[LedgerEntry]:
    """Yield the entries of a file.

    Skips a last line that is incomplete because the process was killed.
    """
    if not path.exists():
        return
    for line in path.read_bytes().splitlines(keepends=True):
        if line.endswith(b'\n'):
            yield msgspec.json.decode(line, type=LedgerEntry)

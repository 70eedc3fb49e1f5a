"""Rendezvous hashing: every host computes the same order of members."""

from collections.abc import Iterable

import xxhash


def _score(item: str, name: str) -> tuple[int, str]:
    return xxhash.xxh64_intdigest(f'{item}\0{name}'.encode()), name


def rank_by_hash(item: str, members: Iterable[str]) -> list[str]:
    """Return the members sorted by their hash with an item, highest first.

    Args:
        item: Key for which members are chosen, such as a workspace.
        members: Names or addresses of members, in any order.
    """
    return sorted(members, key=lambda name: _score(item, name), reverse=True)


def first_by_hash(item: str, members: Iterable[str]) -> str:
    """Return the first member of `rank_by_hash`, without sorting them.

    Raises:
        ValueError: There are no members.
    """
    return max(members, key=lambda name: _score(item, name))

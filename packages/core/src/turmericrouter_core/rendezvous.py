"""Rendezvous hashing: every host computes the same order of members."""

from collections.abc import Iterable

import xxhash


def rank_by_hash(item: str, members: Iterable[str]) -> list[str]:
    """Return the members sorted by their hash with an item, highest first.

    Args:
        item: Key for which members are chosen, such as a workspace.
        members: Names or addresses of members, in any order.
    """

    def rank(name: str) -> tuple[int, str]:
        return xxhash.xxh64_intdigest(f'{item}\0{name}'.encode()), name

    return sorted(members, key=rank, reverse=True)

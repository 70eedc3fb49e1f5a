"""Rendezvous hashing: the same members give the same order everywhere."""

from collections.abc import Iterable

import xxhash


def ranked(item: str, members: Iterable[str]) -> list[str]:
    """Return members by their hash with an item, highest first.

    Args:
        item: What a member is chosen for.
        members: Names, such as addresses, in any order.
    """

    def rank(name: str) -> tuple[int, str]:
        return xxhash.xxh64_intdigest(f'{item}\0{name}'.encode()), name

    return sorted(members, key=rank, reverse=True)

"""Chooses the hosts that follow the platform's log for their domain."""

from collections.abc import Iterable

from turmericrouter_core.rendezvous import rank_by_hash
from turmericrouter_dataplane.policy.target_chooser import HostView

# A second reader covers the loss of the first until it is noticed.
_READERS_PER_DOMAIN = 2


def find_log_readers(own: HostView, others: Iterable[HostView]) -> list[str]:
    """Return the hosts that follow the log for the domain of this host.

    Every host decides for itself, so a host that reaches no other one of its
    domain reads the log on its own.

    Args:
        own: This host.
        others: All other known hosts.
    """
    name, domain = own.record.name, own.record.domain
    candidates = [name]
    candidates += [
        view.record.name
        for view in others
        if view.record.domain == domain
        and view.is_linked
        and not view.is_leaving
        and view.reads_log
    ]
    return rank_by_hash(domain, candidates)[:_READERS_PER_DOMAIN]


def is_log_reader(own: HostView, others: Iterable[HostView]) -> bool:
    """Return whether this host follows the log, and copies it to its domain.

    Args:
        own: This host.
        others: All other known hosts.
    """
    return own.record.name in find_log_readers(own, others)

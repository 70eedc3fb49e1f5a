"""Chooses the hosts that follow the platform's log for their domain."""

from collections.abc import Iterable

from turmericrouter_core.rendezvous import rank_by_hash
from turmericrouter_dataplane.policy.target_chooser import HostView

# A second reader covers the loss of the first until it is noticed.
_READERS_PER_DOMAIN = 2


def is_log_reader(own: HostView, others: Iterable[HostView]) -> bool:
    """Return whether this host follows the log, and copies it to its domain.

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
    return name in rank_by_hash(domain, candidates)[:_READERS_PER_DOMAIN]

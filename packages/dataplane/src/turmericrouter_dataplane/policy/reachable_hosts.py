"""Finds the reachable hosts and their fraction of the fleet."""

from collections.abc import Iterable

from turmericrouter_dataplane.policy.target_chooser import HostView
from turmericrouter_dataplane.policy.workspace_quota import ReachableHosts

# A host that sends nothing for this long is not counted any more if other
# hosts of its failure domain respond. A failure domain that is silent as a
# whole may be partitioned and still serve callers, so it stays counted.
_HOST_GONE_AFTER_S = 12.0


def find_reachable(
    own: HostView,
    others: Iterable[HostView],
    *,
    now: float,
    silence_timeout_s: float,
    min_hosts: int,
    is_leaving: bool = False,
) -> ReachableHosts:
    """Return the reachable hosts and their fraction of the fleet.

    Args:
        own: This host.
        others: All other known hosts.
        now: Monotonic seconds.
        silence_timeout_s: Time without a message after which a host
            counts as partitioned.
        min_hosts: Lower bound of the fleet size.
        is_leaving: Whether this host stops; then it owns nothing, unless it
            reaches no other host.
    """
    hosts = set()
    domains = {own.record.domain}
    responsive = 1
    unresponsive: list[HostView] = []
    for view in others:
        if view.is_linked and not view.is_leaving:
            hosts.add(view.record.name)
        # A link is closed within two seconds of a partition, long before
        # the silence timeout.
        if view.is_linked and now - view.last_seen_at <= silence_timeout_s:
            responsive += 1
            domains.add(view.record.domain)
        elif not view.is_leaving or view.is_linked:
            unresponsive.append(view)
    cut_off = [
        view
        for view in unresponsive
        if view.record.domain not in domains
        or now - max(view.last_seen_at, view.added_at) < _HOST_GONE_AFTER_S
    ]
    if not (is_leaving and hosts):
        hosts.add(own.record.name)
    fleet_size = max(responsive + len(cut_off), min_hosts)
    return ReachableHosts(
        frozenset(hosts), responsive / fleet_size, fleet_size
    )

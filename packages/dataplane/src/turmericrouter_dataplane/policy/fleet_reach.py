"""Which hosts can be reached, and what part of the fleet they are."""

from collections.abc import Iterable

from turmericrouter_dataplane.policy.target_chooser import HostView
from turmericrouter_dataplane.policy.workspace_quota import Reach

# A host that is silent for this long counts as gone if others of its failure
# domain are heard; a whole domain that is silent may be cut off and serving.
_GONE_AFTER_S = 12.0


def measure_reach(
    own: HostView,
    others: Iterable[HostView],
    *,
    now: float,
    silence_s: float,
    least_hosts: int,
) -> Reach:
    """Return the hosts in reach and their part of the fleet.

    Args:
        own: This host.
        others: All other hosts that are known.
        now: Monotonic seconds.
        silence_s: Time after which an unheard host counts as cut off.
        least_hosts: Number of hosts that the fleet has at least.
    """
    hosts = {own.record.name}
    domains = {own.record.domain}
    heard = 1
    silent: list[HostView] = []
    for view in others:
        if view.is_linked and not view.is_leaving:
            hosts.add(view.record.name)
        # Links end within two seconds of a cut, long before the silence shows.
        if view.is_linked and now - view.heard_at <= silence_s:
            heard += 1
            domains.add(view.record.domain)
        elif not view.is_leaving or view.is_linked:
            silent.append(view)
    cut_off = [
        view
        for view in silent
        if view.record.domain not in domains
        or now - max(view.heard_at, view.learned_at) < _GONE_AFTER_S
    ]
    fleet = max(heard + len(cut_off), least_hosts)
    return Reach(frozenset(hosts), heard / fleet, fleet)

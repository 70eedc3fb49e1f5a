"""Divides quotas of workspaces into slices, also during a change."""

import dataclasses

from turmericrouter_core.clock import Clock
from turmericrouter_core.config import ApplyResult
from turmericrouter_core.config import Workspace
from turmericrouter_core.quota import slices_for
from turmericrouter_core.quota import SliceShare
from turmericrouter_core.quota import stricter_share
from turmericrouter_daemon.config_sync import ConfigSync
from turmericrouter_daemon.settings import QuotaSettings

# Time within which an accepted configuration is applied on all daemons (P12).
_PROPAGATION_TIME_S = 10.0
_WORKSPACE_SCOPE = 'workspace/'


@dataclasses.dataclass(slots=True)
class _Division:
    """Division of a workspace's quota, and the share that it replaces."""

    workspace: Workspace
    domains: int
    share: SliceShare
    changed_at: float
    previous: SliceShare | None = None


class QuotaDivisions:
    """Shares of quota slices in the current configuration.

    Args:
        config: Current configuration.
        clock: Clock of the process.
        settings: Number of holders and lifetime of tokens.
    """

    def __init__(
        self, config: ConfigSync, clock: Clock, settings: QuotaSettings
    ) -> None:
        self._config = config
        self._clock = clock
        self._holders = settings.holders_per_domain
        self._lifetime_s = settings.token_lifetime_ms / 1000
        self._divisions: dict[str, _Division] = {}

    @property
    def names(self) -> list[str]:
        """Return the names of the divided workspaces in order."""
        return sorted(self._divisions)

    def apply_change(self, applied: ApplyResult) -> list[str]:
        """Recompute the divisions that a configuration change affects.

        Returns:
            Names of the workspaces whose shares may have changed.
        """
        names: list[str] = []
        for scope in applied.changed:
            if scope == 'fleet':
                names.extend(self._divisions)
            elif scope.startswith(_WORKSPACE_SCOPE):
                names.append(scope.removeprefix(_WORKSPACE_SCOPE))
        for name in names:
            self._divide(name)
        return names

    def share(self, name: str) -> SliceShare | None:
        """Return the share of a workspace's slices that applies now."""
        division = self._divisions.get(name)
        if division is None:
            self._divide(name)
            division = self._divisions.get(name)
        if division is None or not division.domains:
            return None
        return _share_in_force(division, self._clock.monotonic())

    def workspace(self, name: str) -> Workspace:
        """Return the rate and burst of a divided workspace."""
        return self._divisions[name].workspace

    def changed_at(self, name: str) -> float:
        """Return the monotonic second of the last change of a division."""
        return self._divisions[name].changed_at

    def domain(self, index: int) -> str:
        """Return the failure domain of a slice, empty without domains."""
        domains = self._config.state.fleet.domains
        return domains[index % len(domains)] if domains else ''

    def _divide(self, name: str) -> None:
        workspace = self._config.state.workspace(name)
        if workspace is None:
            self._divisions.pop(name, None)
            return
        domains = len(self._config.state.fleet.domains)
        share = slices_for(
            workspace,
            domains=domains,
            holders=self._holders,
            lifetime_s=self._lifetime_s,
        )
        now = self._clock.monotonic()
        division = _Division(workspace, domains, share, changed_at=now)
        last = self._divisions.get(name)
        # Without domains there were no slices to replace.
        if last is not None and last.domains and share != last.share:
            division.previous = _share_in_force(last, now)
        self._divisions[name] = division


def _share_in_force(division: _Division, now: float) -> SliceShare:
    previous = division.previous
    if previous is None or now - division.changed_at > _PROPAGATION_TIME_S:
        return division.share
    if previous.count == division.share.count:
        return division.share
    return stricter_share(previous, division.share)

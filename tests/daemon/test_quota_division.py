"""Tests the division of a quota into slices, including changes."""

from typing import Any
from unittest import mock

from turmericrouter_core.config import ApplyResult
from turmericrouter_core.config import ApplyStatus
from turmericrouter_core.config import Fleet
from turmericrouter_core.config import Workspace
from turmericrouter_core.quota import SliceShare
from turmericrouter_daemon.quota_division import QuotaDivisions
from turmericrouter_daemon.settings import QuotaSettings

# Time within which a configuration is applied on all daemons (P12).
IN_FORCE_S = 10.0


class _World:
    """Quota divisions with a configuration that the test sets."""

    def __init__(self, workspace: Workspace | None) -> None:
        self.now = 100.0
        self.workspaces = {'east': workspace, 'west': Workspace(8, 64)}
        self.config: Any = mock.Mock()
        self.config.state.fleet = Fleet(('north', 'south'))
        self.config.state.workspace = self.workspaces.get
        clock: Any = mock.Mock()
        clock.monotonic = lambda: self.now
        self.divisions = QuotaDivisions(
            self.config, clock, QuotaSettings(holders_per_domain=4)
        )

    def change(self, *scopes: str) -> list[str]:
        return self.divisions.apply_change(
            ApplyResult(ApplyStatus.ACCEPTED, scopes)
        )

    def share(self, name: str = 'east') -> SliceShare:
        share = self.divisions.share(name)
        assert share is not None
        return share


def test_slices_add_up_and_take_turns_over_domains() -> None:
    """Guards against a domain that holds more than its part."""
    world = _World(Workspace(rate_per_s=80, burst=160))
    share = world.share()
    assert (share.count, share.rate_per_s, share.burst) == (8, 10, 20)
    domains = [world.divisions.domain(index) for index in range(share.count)]
    assert domains == ['north', 'south'] * 4


def test_new_number_of_slices_waits_until_all_daemons_know() -> None:
    """Guards against holders that grant by two divisions at once."""
    world = _World(Workspace(rate_per_s=80, burst=160))
    before = world.share()
    world.workspaces['east'] = Workspace(rate_per_s=80, burst=8)
    assert world.change('workspace/east') == ['east']
    world.now += IN_FORCE_S
    during = world.share()
    assert (during.count, during.burst) == (2, 4)
    assert during.rate_per_s == before.rate_per_s
    world.now += 0.01
    assert (world.share().count, world.share().rate_per_s) == (2, 40)


def test_change_of_the_rate_alone_is_in_force_at_once() -> None:
    """Guards against a decrease that waits for the old division to end."""
    world = _World(Workspace(rate_per_s=80, burst=160))
    world.share()
    world.now += 5
    world.workspaces['east'] = Workspace(rate_per_s=8, burst=160)
    world.change('workspace/east')
    assert (world.share().count, world.share().rate_per_s) == (8, 1)
    assert world.divisions.changed_at('east') == world.now


def test_new_domain_divides_every_workspace_again() -> None:
    """Guards against workspaces that keep the slices of a former fleet."""
    world = _World(Workspace(rate_per_s=80, burst=160))
    assert world.share().count == world.share('west').count == 8
    world.config.state.fleet = Fleet(('north', 'south', 'west'))
    assert world.change('fleet') == ['east', 'west']
    world.now += IN_FORCE_S + 0.01
    assert world.share().count == world.share('west').count == 12


def test_removed_workspace_and_missing_domains_have_no_share() -> None:
    """Guards against grants for what the configuration does not hold."""
    world = _World(Workspace(rate_per_s=80, burst=160))
    world.share()
    world.workspaces['east'] = None
    world.change('workspace/east')
    assert world.divisions.share('east') is None
    assert world.divisions.names == []
    world.config.state.fleet = Fleet(domains=())
    assert world.divisions.share('west') is None
    assert world.divisions.domain(3) == ''

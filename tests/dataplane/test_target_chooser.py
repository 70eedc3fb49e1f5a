"""Guards against requests to a bad target while a better one is free."""

import random

import msgspec

from dataplane_values import make_record
from turmericrouter_core.verdict import Reason
from turmericrouter_dataplane.frames import HostRecord
from turmericrouter_dataplane.policy.target_chooser import TargetChooser
from turmericrouter_dataplane.policy.target_chooser import TargetState


def make_chooser(*domains: str) -> TargetChooser:
    """Return a chooser of host h0 in domain north, all hosts linked."""
    chooser = TargetChooser('h0', 'north', random.Random(1))
    for number, domain in enumerate(domains):
        view = chooser.update(make_record(f'h{number}', domain=domain))
        view.is_linked = True
        view.limit = 10
    return chooser


def choose(
    chooser: TargetChooser, now: float = 0.0, **options: object
) -> str | None:
    arguments = {'allows_full_target': False, 'tried': ()} | options
    return chooser.choose('design', now=now, **arguments).host


def test_own_domain_serves_while_it_has_room() -> None:
    chooser = make_chooser('north', 'south')
    assert [choose(chooser) for _ in range(10)] == ['h0'] * 10


def test_overflow_goes_to_another_domain() -> None:
    chooser = make_chooser('north', 'south')
    chosen = [choose(chooser) for _ in range(20)]
    assert chosen.count('h1') >= 7


def test_only_important_requests_go_to_full_targets() -> None:
    chooser = make_chooser('north', 'south')
    chosen = [choose(chooser) for _ in range(40)]
    assert None in chosen
    assert choose(chooser, allows_full_target=True) is not None


def test_leaving_and_unlinked_hosts_get_nothing() -> None:
    chooser = make_chooser('north', 'south', 'south')
    chooser.update(make_record('h0', state=2))
    chooser.views['h1'].is_linked = False
    assert choose(chooser) == 'h2'
    chooser.views['h2'].is_leaving = True
    assert choose(chooser) is None


def test_failing_target_gets_trial_requests_only() -> None:
    chooser = make_chooser('north', 'south')
    for _ in range(8):
        chooser.views['h0'].in_flight += 1
        chooser.finish('h0', Reason.TARGET_CRASHED, 0.0)
    chosen = [choose(chooser, now=0.1) for _ in range(8)]
    assert chosen.count('h0') == 1
    assert choose(chooser, now=9.0) == 'h0'


def test_host_whose_target_is_another_one_attracts_no_requests() -> None:
    """It refuses at once, so it had the least load of all hosts."""
    chooser = make_chooser('north', 'north')
    chooser.views['h0'].in_flight += 1
    chooser.finish('h0', Reason.TARGET_RETIRED, 0.0)
    assert {choose(chooser, now=0.1) for _ in range(5)} == {'h1'}


def test_host_that_was_tried_is_not_asked_again() -> None:
    chooser = make_chooser('north', 'south')
    assert choose(chooser, tried={'h0'}) == 'h1'
    assert choose(chooser, tried={'h0', 'h1'}) is None


def test_new_start_of_a_target_has_a_clean_record() -> None:
    chooser = make_chooser('north', 'south')
    chooser.finish('h0', Reason.TARGET_UNREACHABLE, 0.0)
    assert choose(chooser, now=0.1) == 'h1'
    record = make_record('h0')
    chooser.update(
        type(record)(
            record.name, record.address, 'north', 'design', 'new', 10, 1
        )
    )
    assert choose(chooser, now=0.1) == 'h0'


def test_target_that_has_left_stays_so_through_a_restart_of_its_host() -> None:
    """Guards against a first status without a target, which hid its leaving.

    A host that restarts reports no target, and then an older record of it.
    """
    chooser = make_chooser()
    serving = HostRecord(
        'far', '127.0.0.1:9', 'north', 'design', 't-1', 10,
        int(TargetState.SERVING), 5,
    )  # fmt: skip
    leaving = msgspec.structs.replace(serving, state=int(TargetState.LEAVING))
    for record in (serving, leaving, make_record('far'), serving):
        view = chooser.update(record)
    assert view.record.state == TargetState.LEAVING
    # Another start of the target serves.
    restarted = msgspec.structs.replace(serving, started_at_ms=6)
    assert chooser.update(restarted).record.state == TargetState.SERVING

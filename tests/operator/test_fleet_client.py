"""Tests of the progress of a publication in each failure domain."""

from turmericrouter_client.admin import TargetRow
from turmericrouter_operator.fleet_client import DaemonReply
from turmericrouter_operator.fleet_client import summarize_progress


def _reply(
    domain: str, address: str, offset: int | None, state: str = 'serving'
) -> DaemonReply[int]:
    member = TargetRow(
        address,
        domain,
        's',
        't',
        state,
        'alive',
        0,
        0,
        incarnation=1,
        version=1,
    )
    return DaemonReply(member, offset)


def test_every_failure_domain_is_reported() -> None:
    """Guards against a failure domain that is complete too early.

    That is while a daemon has an older configuration or is unreachable, or
    while no daemon of the failure domain is known.
    """
    centre, empty, north = summarize_progress(
        [
            _reply('north', 'a', 7),
            _reply('north', 'b', 6),
            _reply('north', 'c', None),
            _reply('centre', 'd', 9, 'leaving'),
            _reply('centre', 'e', None, 'leaving'),
        ],
        7,
        ['north', 'empty'],
    )
    assert (north.in_force, north.behind, north.unreachable) == (
        1,
        ('b',),
        ('c',),
    )
    assert not north.is_complete
    # A daemon that announced its leave and is unreachable has stopped.
    assert centre.is_complete
    assert centre.in_force == 1
    # The directory of a seed that has just started may lack a domain.
    assert not empty.is_complete

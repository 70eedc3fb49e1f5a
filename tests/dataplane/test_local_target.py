"""Guards against a target that a restart restores in another state."""

import dataclasses

import msgspec
import pytest

from dataplane_values import make_record
from turmericrouter_dataplane.local_target import LocalTarget
from turmericrouter_dataplane.local_target import target_of
from turmericrouter_dataplane.local_target import with_target
from turmericrouter_dataplane.policy.target_chooser import TargetState
from turmericrouter_dataplane.settings import Address

_TARGET = LocalTarget(
    't-1', 'works', Address('127.0.0.1', 8), 7, TargetState.LEAVING, 1000
)


def test_target_outlives_the_record() -> None:
    """Guards against a departed target that serves again after a restart."""
    assert target_of(with_target(make_record('own'), _TARGET)) == _TARGET


def test_number_of_the_announcement_is_not_restored() -> None:
    """Guards against a new heartbeat that counts as an old one."""
    announced = dataclasses.replace(_TARGET, sequence=9)
    assert target_of(with_target(make_record('own'), announced)) == _TARGET


def test_target_changes_nothing_else_of_the_host() -> None:
    """Guards against a host that is known at the address of its target."""
    before = make_record('own', domain='south')
    after = with_target(before, _TARGET)
    assert (after.name, after.address, after.domain) == (
        before.name,
        before.address,
        before.domain,
    )


def test_record_before_the_first_announcement_has_no_target() -> None:
    """Guards against a target without an address."""
    assert target_of(make_record('own')) is None


@pytest.mark.parametrize('field', ['target_address', 'state'])
def test_invalid_record_is_an_error(field: str) -> None:
    """Guards against a foreign record that ends the synchronisation.

    The directory skips records that raise `ValueError`.
    """
    value = {'target_address': 'nowhere', 'state': 99}[field]
    record = msgspec.structs.replace(
        with_target(make_record('own'), _TARGET), **{field: value}
    )
    with pytest.raises(ValueError):
        target_of(record)

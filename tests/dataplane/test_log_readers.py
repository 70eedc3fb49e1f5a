"""Each failure domain has a reader of the log whatever is lost."""

import itertools

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from dataplane_values import make_record
from turmericrouter_dataplane.policy.log_readers import is_log_reader
from turmericrouter_dataplane.policy.target_chooser import HostView

NAMES = tuple(f'host-{number}' for number in range(8))


def _view(name: str, *, domain: str = 'north', **state: bool) -> HostView:
    view = HostView(make_record(name, domain=domain))
    view.is_linked = True
    for field, value in state.items():
        setattr(view, field, value)
    return view


def _readers(views: list[HostView]) -> list[str]:
    """Return the hosts that read the log, all of which see one another."""
    return [
        view.record.name
        for view in views
        if is_log_reader(view, [v for v in views if v is not view])
    ]


def test_two_hosts_of_a_domain_read_the_log() -> None:
    """Guards against a call of each host for each change."""
    assert len(_readers([_view(name) for name in NAMES])) == 2


def test_each_domain_has_its_own_readers() -> None:
    """Guards against a domain that depends on another one."""
    views = [
        _view(name, domain=domain)
        for name, domain in zip(
            NAMES, itertools.cycle(['north', 'south']), strict=False
        )
    ]
    readers = _readers(views)
    domains = {v.record.domain for v in views if v.record.name in readers}
    assert domains == {'north', 'south'}


@settings(deadline=None, derandomize=True)
@given(
    lost=st.sets(st.sampled_from(NAMES)),
    leaving=st.sets(st.sampled_from(NAMES)),
    unlinked=st.sets(st.sampled_from(NAMES), max_size=7),
)
def test_a_host_that_can_read_does_while_others_cannot(
    lost: set[str], leaving: set[str], unlinked: set[str]
) -> None:
    """Guards against a domain whose readers have all lost the log."""
    views = [
        _view(
            name,
            reads_log=name not in lost,
            is_leaving=name in leaving,
            is_linked=name not in unlinked,
        )
        for name in NAMES
    ]
    able = set(NAMES) - lost - leaving - unlinked
    if able:
        assert able & set(_readers(views))


def test_host_that_reaches_no_other_one_reads_the_log() -> None:
    """Guards against a cut-off host that waits for copies."""
    own = _view('own')
    others = [_view(name, is_linked=False) for name in NAMES]
    assert is_log_reader(own, others)

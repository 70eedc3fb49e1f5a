"""Configuration state and replica reject older records and snapshots."""

from turmericrouter_core.config import ApplyStatus
from turmericrouter_core.config import Change
from turmericrouter_core.config import CONFIG_STREAM
from turmericrouter_core.config import ConfigState
from turmericrouter_core.config import encode_record
from turmericrouter_core.config import NO_REVISION
from turmericrouter_core.config import Publication
from turmericrouter_core.config import Workspace
from turmericrouter_core.messages import LogRecord
from turmericrouter_core.replication import Replica
from turmericrouter_core.replication import snapshot_offset

SCOPE = 'workspace/east'


def _publication(rate_per_s: float, base: int) -> bytes:
    change = Change(SCOPE, base, Workspace(rate_per_s, 10))
    return encode_record(Publication(f'rate {rate_per_s}', (change,)))


def _state(*payloads: bytes) -> ConfigState:
    state = ConfigState()
    for offset, payload in enumerate(payloads):
        assert state.apply(offset, payload).status is ApplyStatus.ACCEPTED
    return state


def test_older_record_or_snapshot_changes_nothing() -> None:
    """Guards against a state that reverts to an older revision.

    A record at an applied offset and an older snapshot are ignored.
    """
    payloads = [_publication(1, NO_REVISION), _publication(2, 0)]
    old, state = _state(payloads[0]), _state(*payloads)
    late = _publication(3, 1)
    assert state.apply(1, late).status is ApplyStatus.OLD
    assert not state.restore(old.snapshot())
    assert state.workspace('east') == Workspace(2, 10)
    assert state.offset == 1


def test_late_reply_with_a_snapshot_changes_nothing() -> None:
    """Guards against a revert by a delayed snapshot reply from a peer.

    The reply arrives after the replica has read newer records.
    """
    payloads = [_publication(1, NO_REVISION), _publication(2, 0)]
    snapshot = encode_record(_state(payloads[0]).snapshot())
    records = [
        LogRecord(CONFIG_STREAM, offset, payload)
        for offset, payload in enumerate(payloads)
    ]
    replica = Replica(snapshot_offset)
    assert len(replica.apply_page(-1, 0, records)) == 2
    assert replica.apply_delta(-1, records, snapshot) == ()
    assert replica.offset == 1

"""Guards against hosts of one version that keep different documents."""

import pytest

from turmericrouter_dataplane.policy.config_order import ConfigIdentity
from turmericrouter_dataplane.policy.config_order import UNKNOWN_DIGEST

_CURRENT = ConfigIdentity(5, 1, 77)


@pytest.mark.parametrize(
    ('reported', 'is_older'),
    [
        (ConfigIdentity(4, 2, 66), True),
        (ConfigIdentity(-1, -1, UNKNOWN_DIGEST), True),
        (ConfigIdentity(6, 0, 88), False),
        # The log has lost this document.
        (ConfigIdentity(5, 0, 66), True),
        (ConfigIdentity(5, -1, 66), True),
        # Neither host would apply the document of the other.
        (ConfigIdentity(5, 1, 66), False),
        (ConfigIdentity(5, 2, 66), False),
        # It is the same document, read before the return only.
        (ConfigIdentity(5, 0, 77), False),
        # An older daemon does not tell which document it has.
        (ConfigIdentity(5, -1, UNKNOWN_DIGEST), False),
    ],
)
def test_host_lacks_a_document(
    reported: ConfigIdentity, is_older: bool
) -> None:
    """Guards against lost documents, and copies that nobody needs."""
    assert reported.is_older_than(_CURRENT) is is_older

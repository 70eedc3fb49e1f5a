"""Decides which of two configurations is the newer one."""

import dataclasses

# Reported by a host without a configuration, and by older daemons, which tell
# their version only.
UNKNOWN_DIGEST = 0


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigIdentity:
    """What a host reports of the configuration that it has.

    A version alone does not name a document, as the log may give a version
    out again after a return from an older copy.

    Args:
        version: Its version; -1 for none.
        era: Newest era of the log that held it; -1 if unknown.
        digest: Digest of the document, or `UNKNOWN_DIGEST`.
    """

    version: int
    era: int
    digest: int

    def is_older_than(self, other: 'ConfigIdentity') -> bool:
        """Return whether a host with this one lacks the other one."""
        if self.version == other.version and (
            UNKNOWN_DIGEST in (self.digest, other.digest)
            or self.digest == other.digest
        ):
            return False
        return may_supersede(
            other.version,
            other.era,
            current_version=self.version,
            current_era=self.era,
        )


def may_supersede(
    version: int, era: int, *, current_version: int, current_era: int
) -> bool:
    """Return whether another document may replace the current one.

    Versions never go back. A version that the log has lost with a return from
    an older copy may be given out again for another document; the log of the
    later era is what the publishers see.

    Args:
        version: Version of the other document.
        era: Era of the log that held it; -1 if unknown.
        current_version: Version in force; -1 for none.
        current_era: Newest era of the log that held the document in force.
    """
    if version == current_version:
        return era > current_era
    return version > current_version

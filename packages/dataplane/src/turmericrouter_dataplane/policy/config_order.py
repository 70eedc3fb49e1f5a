"""Decides which of two configurations is the newer one."""


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

"""Admission levels: shed by importance, then by request hash."""

from turmericrouter_core.messages import Level
from turmericrouter_core.verdict import Importance


def passes(level: Level, importance: Importance, bucket: int) -> bool:
    """Return whether a request is below an admission level.

    Args:
        level: Level of a gate.
        importance: Importance of the request.
        bucket: Shedding bucket of the top-level request, 0 to 127.
    """
    return (importance, bucket) < (level.importance, level.bucket)

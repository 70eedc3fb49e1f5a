"""When a caller that was refused is told to come back."""

# Parts of the route's objective. A caller over the limit of its workspace has
# the same chance at any time, so it may come back while its answer can still
# be in time.
_QUOTA_LONGEST_WAIT = 0.1
_QUOTA_SPAN = 0.35
# Callers that are refused for want of room come back over this span, in
# seconds: less brings them back before the queue in front of them is gone.
_ROOM_FIRST_S = 0.25
_ROOM_SPAN_S = 0.75


def after_quota(wait_s: float, objective_s: float, draw: float) -> float:
    """Return the seconds until a caller over its limit may come back.

    Args:
        wait_s: When a token is due.
        objective_s: Latency within which an answer has its full value.
        draw: Random number from 0 to 1, which spreads callers.
    """
    first_s = min(wait_s, _QUOTA_LONGEST_WAIT * objective_s)
    return first_s + draw * _QUOTA_SPAN * objective_s


def after_overload(draw: float) -> float:
    """Return the seconds until a caller may come back that found no room.

    Args:
        draw: Random number from 0 to 1, which spreads callers.
    """
    return _ROOM_FIRST_S + draw * _ROOM_SPAN_S

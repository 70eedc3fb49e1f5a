"""Computes the Retry-After of refused requests."""

# Fractions of the route's latency objective. A caller over the limit of its
# workspace has the same chance at any time, so it may retry while the answer
# can still be within the objective.
_QUOTA_MAX_WAIT_FRACTION = 0.1
_QUOTA_SPREAD_FRACTION = 0.35
# Callers that are refused by overload retry within this interval; a shorter
# one brings them back before the queue ahead of them has drained.
_OVERLOAD_MIN_WAIT_S = 0.25
_OVERLOAD_SPREAD_S = 0.75


def after_quota_refusal(
    wait_s: float, objective_s: float, random_fraction: float
) -> float:
    """Return the seconds until a caller over its quota may retry.

    Args:
        wait_s: Time until a token is available.
        objective_s: Latency objective of the route.
        random_fraction: Random fraction from 0 to 1 that spreads callers.
    """
    first_s = min(wait_s, _QUOTA_MAX_WAIT_FRACTION * objective_s)
    return first_s + random_fraction * _QUOTA_SPREAD_FRACTION * objective_s


def after_overload(random_fraction: float, wait_s: float = 0.0) -> float:
    """Return the seconds until a caller refused by overload may retry.

    Args:
        random_fraction: Random fraction from 0 to 1 that spreads callers.
        wait_s: Time until the request could be taken, if it is known.
    """
    first_s = max(_OVERLOAD_MIN_WAIT_S, wait_s)
    return first_s + random_fraction * _OVERLOAD_SPREAD_S

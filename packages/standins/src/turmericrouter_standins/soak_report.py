"""Prints the result of a soak test."""

from collections.abc import Mapping
from collections.abc import Sequence

_MAX_SHOWN_VIOLATIONS = 5


def print_violations(problems: Mapping[str, Sequence[str]]) -> int:
    """Print the result of each check and its first violations.

    Args:
        problems: Violations by the name of their check.

    Returns:
        Exit status: 1 if a check failed, else 0.
    """
    for name, violations in problems.items():
        print(
            f'{name}: '
            f'{f"{len(violations)} violations" if violations else "ok"}'
        )
        for text in violations[:_MAX_SHOWN_VIOLATIONS]:
            print(f'  {text}')
    return 1 if any(problems.values()) else 0

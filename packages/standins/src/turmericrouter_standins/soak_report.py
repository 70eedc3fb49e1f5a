"""Prints what a soak has found."""

from collections.abc import Mapping
from collections.abc import Sequence

_SHOWN_VIOLATIONS = 5


def print_problems(problems: Mapping[str, Sequence[str]]) -> int:
    """Print the result of each check.

    Args:
        problems: Violations by the name of their check.

    Returns:
        Exit status: 1 if a check failed, else 0.
    """
    for name, found in problems.items():
        print(f'{name}: {f"{len(found)} violations" if found else "ok"}')
        for text in found[:_SHOWN_VIOLATIONS]:
            print(f'  {text}')
    return 1 if any(problems.values()) else 0

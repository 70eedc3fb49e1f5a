"""Runs the soak for a few seconds, and each seed that has ever failed.

A seed fixes the load and the faults, not the times at which processes get
the processor, so a seed that failed once may pass.
"""

import asyncio
import pathlib

import pytest

from platform_soak import Soak

# Seed and faults of each failure that was seen, with its cause.
REGRESSIONS: tuple[tuple[int, tuple[str, ...]], ...] = (
    # SIGHUP ended a daemon that was still importing its modules.
    (103, ('hup', 'kill', 'stop')),
    # SIGTERM ended one with a status other than 0.
    (109, ('kill_all', 'stop', 'kill')),
)


def play(
    folder: pathlib.Path, seed: int, faults: tuple[str, ...] = ()
) -> None:
    soak = Soak(folder, seed=seed, seconds=8.0, faults=faults)
    problems = asyncio.run(soak.run())
    assert not any(problems.values()), problems


def test_short_soak_keeps_all_promises(tmp_path: pathlib.Path) -> None:
    play(tmp_path, seed=1)


@pytest.mark.parametrize(('seed', 'faults'), REGRESSIONS)
def test_seed_that_failed_passes(
    tmp_path: pathlib.Path, seed: int, faults: tuple[str, ...]
) -> None:
    play(tmp_path, seed, faults)

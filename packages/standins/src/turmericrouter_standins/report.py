"""Writes the results of experiments as JSON, a table and plots."""

from collections.abc import Mapping
import pathlib
import subprocess
import sys

import matplotlib

matplotlib.use('Agg')

from matplotlib import pyplot  # noqa: E402
import msgspec  # noqa: E402

Figure = float | int | None


class Summary(msgspec.Struct, frozen=True):
    """Figures of one run of the experiments.

    Args:
        version: Commit that was measured, with `-dirty` if changed.
        command: Command line.
        seed: Seed.
        figures: Value by name; the unit is in the name.
        goals: Goal by name.
        notes: Scale factors and other conditions.
    """

    version: str
    command: str
    seed: int
    figures: dict[str, Figure]
    goals: dict[str, str]
    notes: dict[str, str]


def source_version() -> str:
    """Return the commit of the sources."""
    here = pathlib.Path(__file__).parent
    result = subprocess.run(
        ['git', 'describe', '--always', '--dirty'],
        cwd=here,
        capture_output=True,
        text=True,
        check=False,
    )
    return result.stdout.strip() or 'unknown'


def command_line() -> str:
    """Return the command line of this process."""
    return 'python -m turmericrouter_standins.experiments ' + ' '.join(
        sys.argv[1:]
    )


def _format(value: Figure) -> str:
    if value is None:
        return 'not reached'
    if isinstance(value, int):
        return str(value)
    return f'{value:.4g}'


def _table(summary: Summary) -> str:
    lines = [
        '# Experiments',
        '',
        f'Version {summary.version}, seed {summary.seed}, '
        f'command `{summary.command}`.',
        '',
    ]
    lines += [f'* {name}: {text}' for name, text in summary.notes.items()]
    lines += ['', '| figure | value | goal |', '| --- | --- | --- |']
    lines += [
        f'| `{name}` | {_format(value)} | {summary.goals.get(name, "")} |'
        for name, value in summary.figures.items()
    ]
    return '\n'.join(lines) + '\n'


def write_report(summary: Summary, directory: pathlib.Path) -> None:
    """Write `summary.json` and `summary.md`."""
    directory.mkdir(parents=True, exist_ok=True)
    content = msgspec.json.format(msgspec.json.encode(summary), indent=2)
    (directory / 'summary.json').write_bytes(content + b'\n')
    (directory / 'summary.md').write_text(_table(summary))


def plot_rates(
    path: pathlib.Path,
    title: str,
    series: Mapping[str, Mapping[float, float]],
) -> None:
    """Draw rates over time.

    Args:
        path: SVG or PNG file.
        title: Title.
        series: (second, requests a second) by name.
    """
    path.parent.mkdir(parents=True, exist_ok=True)
    figure, axes = pyplot.subplots(figsize=(9, 4))
    for name, points in series.items():
        seconds = sorted(points)
        axes.plot(seconds, [points[s] for s in seconds], label=name)
    axes.set_title(title)
    axes.set_xlabel('seconds')
    axes.set_ylabel('useful answers a second')
    axes.set_ylim(bottom=0)
    axes.legend()
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)

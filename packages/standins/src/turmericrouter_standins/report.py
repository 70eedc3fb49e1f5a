"""Writes the results of experiments as JSON, a table and plots."""

from collections.abc import Iterator
from collections.abc import Mapping
from collections.abc import Sequence
import contextlib
import dataclasses
import pathlib
import subprocess
import sys
from typing import Any
from typing import Protocol

import matplotlib

matplotlib.use('Agg')

from matplotlib import pyplot  # noqa: E402
from matplotlib import ticker  # noqa: E402
import msgspec  # noqa: E402

from turmericrouter_standins.load import FailureCount  # noqa: E402

# Writes labels as text, not as outlines, so that they can be searched.
matplotlib.rcParams['svg.fonttype'] = 'none'

_TICK_PERCENTS = (0, 50, 90, 99, 99.9, 99.99)

FigureValue = float | int | None


class TrialFailures(msgspec.Struct, frozen=True):
    """Requests of a trial that got no useful answer.

    Args:
        requests: Number of requests evaluated.
        failures: Failed requests by reason.
    """

    requests: int
    failures: tuple[FailureCount, ...]


class Plot(Protocol):
    """A plot and its data."""

    @property
    def title(self) -> str:
        """Return the title."""

    def draw(self, path: pathlib.Path) -> None:
        """Draw an SVG or PNG file."""


@dataclasses.dataclass(frozen=True, slots=True)
class RatePlot:
    """Rates over time.

    Args:
        title: Title.
        series: Requests per second by start of a time step, by name.
        marks: Seconds to mark with a vertical line, by name.
        level: Requests per second to mark with a horizontal line.
        level_name: Label of the level.
    """

    title: str
    series: Mapping[str, Mapping[float, float]]
    marks: Mapping[str, float]
    level: float
    level_name: str

    def draw(self, path: pathlib.Path) -> None:
        """Draw an SVG or PNG file."""
        with _axes(path, self.title) as (axes,):
            for name, points in self.series.items():
                seconds = sorted(points)
                rates = [points[second] for second in seconds]
                axes.step(seconds, rates, where='post', label=name)
            for name, second in self.marks.items():
                axes.axvline(second, color='grey', linestyle=':')
                axes.annotate(
                    f' {name}',
                    (second, 0.93),
                    xycoords=('data', 'axes fraction'),
                )
            _goal_line(axes, self.level, self.level_name)
            axes.set_xlabel('seconds')
            axes.set_ylabel('useful answers a second')
            # Leaves space for the names of the marks above the curves.
            axes.set_ylim(0, 1.15 * axes.get_ylim()[1])


@dataclasses.dataclass(frozen=True, slots=True)
class PercentilePlot:
    """Latency by percentile, on a logarithmic scale towards 100.

    Args:
        title: Title.
        series: Milliseconds by percentile, by name.
        goal_ms: Goal for one of the series in milliseconds.
        goal_name: Label of the goal.
    """

    title: str
    series: Mapping[str, Mapping[float, float]]
    goal_ms: float
    goal_name: str

    def draw(self, path: pathlib.Path) -> None:
        """Draw an SVG or PNG file."""
        with _axes(path, self.title) as (axes,):
            for name, points in self.series.items():
                percents = sorted(points)
                axes.plot(
                    [
                        _samples_per_tail_sample(percent)
                        for percent in percents
                    ],
                    [points[percent] for percent in percents],
                    label=name,
                )
            _goal_line(axes, self.goal_ms, self.goal_name)
            highest = max(max(points) for points in self.series.values())
            ticks = [p for p in _TICK_PERCENTS if p <= highest]
            axes.set_xscale('log')
            axes.set_xticks(
                [_samples_per_tail_sample(tick) for tick in ticks],
                [str(tick) for tick in ticks],
            )
            axes.set_yscale('log', nonpositive='mask')
            axes.yaxis.set_major_locator(ticker.LogLocator(subs=(1, 2, 5)))
            axes.yaxis.set_major_formatter('{x:g}')
            axes.minorticks_off()
            axes.set_xlabel('percentile')
            axes.set_ylabel('milliseconds')


@dataclasses.dataclass(frozen=True, slots=True)
class CostPanel:
    """One kind of cost per daemon.

    Args:
        unit: Unit of the cost.
        by_daemons: Cost by number of daemons.
        goal: Highest cost that the design allows.
    """

    unit: str
    by_daemons: Mapping[int, float]
    goal: float


@dataclasses.dataclass(frozen=True, slots=True)
class CostPlot:
    """Costs per daemon against the number of daemons.

    Args:
        title: Title.
        panels: Kinds of cost, side by side.
        goal_name: Label of the goals.
    """

    title: str
    panels: Sequence[CostPanel]
    goal_name: str

    def draw(self, path: pathlib.Path) -> None:
        """Draw an SVG or PNG file."""
        with _axes(path, self.title, len(self.panels)) as all_axes:
            for axes, panel in zip(all_axes, self.panels, strict=True):
                sizes = sorted(panel.by_daemons)
                costs = [panel.by_daemons[size] for size in sizes]
                axes.plot(sizes, costs, marker='o', label='measured')
                _goal_line(axes, panel.goal, self.goal_name)
                axes.set_title(f'goal {panel.goal:,}', fontsize='medium')
                axes.set_xscale('log')
                axes.set_xticks(sizes, [str(size) for size in sizes])
                axes.minorticks_off()
                axes.set_xlabel('daemons')
                axes.set_ylabel(panel.unit)
                axes.set_ylim(bottom=0)


@contextlib.contextmanager
def _axes(
    path: pathlib.Path, title: str, panels: int = 1
) -> Iterator[Sequence[Any]]:
    """Yield axes side by side and save their figure at the end.

    All panels share the legend of the first panel.
    """
    figure, axes = pyplot.subplots(
        1, panels, figsize=(9, 4), squeeze=False, layout='constrained'
    )
    figure.suptitle(title)
    try:
        yield list(axes[0])
        handles, labels = axes[0][0].get_legend_handles_labels()
        figure.legend(
            handles, labels, loc='outside lower center', ncols=len(labels)
        )
        figure.savefig(path)
    finally:
        pyplot.close(figure)


def _goal_line(axes: Any, value: float, name: str) -> None:
    axes.axhline(value, color='black', linestyle='--', label=name)


def _samples_per_tail_sample(percent: float) -> float:
    """Return the number of samples for each sample above a percentile."""
    return 100 / (100 - percent)


@dataclasses.dataclass(frozen=True, slots=True)
class ExperimentResult:
    """Figures, plots and failures that an experiment reports.

    Args:
        figures: Values by name; the unit is in the name.
        plots: Plots by file name without suffix.
        failures: Failed requests by name of the trial.
    """

    figures: Mapping[str, FigureValue]
    plots: Mapping[str, Plot] = dataclasses.field(default_factory=dict)
    failures: Mapping[str, TrialFailures] = dataclasses.field(
        default_factory=dict
    )


def merge_results(results: Sequence[ExperimentResult]) -> ExperimentResult:
    """Return the results of several experiments as one."""
    figures: dict[str, FigureValue] = {}
    plots: dict[str, Plot] = {}
    failures: dict[str, TrialFailures] = {}
    for result in results:
        figures.update(result.figures)
        plots.update(result.plots)
        failures.update(result.failures)
    return ExperimentResult(figures, plots, failures)


class Summary(msgspec.Struct, frozen=True):
    """Results of one run of the experiments.

    Args:
        version: Commit that was measured, with `-dirty` for local changes.
        command: Command line.
        seed: Seed.
        figures: Values by name; the unit is in the name.
        goals: Goals by name of the figure.
        notes: Scale factors and other conditions by name.
        failures: Failed requests of workspaces within their rate, by
            trial of the fairness experiment.
        plots: Title of each plot by its file.
    """

    version: str
    command: str
    seed: int
    figures: dict[str, FigureValue]
    goals: dict[str, str]
    notes: dict[str, str]
    failures: dict[str, TrialFailures]
    plots: dict[str, str] = {}


def source_version() -> str:
    """Return the commit of the sources, or `unknown`."""
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


def _format(value: FigureValue) -> str:
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
    for trial, trial_failures in summary.failures.items():
        lines += _failure_lines(trial, trial_failures)
    for file, title in summary.plots.items():
        lines += ['', f'![{title}]({file})']
    return '\n'.join(lines) + '\n'


def _failure_lines(trial: str, trial_failures: TrialFailures) -> list[str]:
    failed = sum(failure.count for failure in trial_failures.failures)
    lines = [
        '',
        f'Trial `{trial}`: {failed} of {trial_failures.requests} requests '
        'within the rate were not served.',
    ]
    if failed:
        lines += [
            '',
            '| failure | status | reason | requests |',
            '| --- | --- | --- | --- |',
        ]
    lines += [
        f'| {failure.failure} | {failure.status or "none"} '
        f'| {failure.reason or "none"} | {failure.count} |'
        for failure in trial_failures.failures
    ]
    return lines


def write_report(
    summary: Summary, plots: Mapping[str, Plot], directory: pathlib.Path
) -> None:
    """Write `summary.json`, `summary.md` and the plots as SVG.

    Args:
        summary: Results; its field `plots` is set by this function.
        plots: Plots by file name without suffix.
        directory: Output directory; it is created if missing.
    """
    directory.mkdir(parents=True, exist_ok=True)
    titles: dict[str, str] = {}
    for name, plot in plots.items():
        file = f'{name}.svg'
        plot.draw(directory / file)
        titles[file] = plot.title
    summary = msgspec.structs.replace(summary, plots=titles)
    content = msgspec.json.format(msgspec.json.encode(summary), indent=2)
    (directory / 'summary.json').write_bytes(content + b'\n')
    (directory / 'summary.md').write_text(_table(summary))

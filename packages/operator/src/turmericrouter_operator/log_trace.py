"""Finds the cause of a request's end in the output of daemons.

The output is one `key=value` line an event. A request has lines of its own,
by its id; lines on links, targets and configurations around them say why.
"""

import ast
from collections.abc import Iterable
import dataclasses
import pathlib
import re

from turmericrouter_core.verdict import Reason

_FIELD = re.compile(r"""(\w+)=('(?:[^'\\]|\\.)*'|"(?:[^"\\]|\\.)*"|\S+)""")
# Changes of belief this long before a decision may explain it, in seconds;
# the clocks of hosts may differ a little, so some time after it is read too.
_BEFORE_S = 5.0
_AFTER_S = 1.0

# Events that explain a reason: on the host that decided, and on the host that
# the request was sent to.
_CAUSES: dict[str, tuple[frozenset[str], frozenset[str]]] = {
    Reason.LINK_LOST: (
        frozenset({'link_lost'}),
        frozenset({'stopping', 'stopped', 'started'}),
    ),
    Reason.LINK_NOT_SENT: (frozenset({'link_lost'}), frozenset()),
    Reason.NO_TARGET: (
        frozenset({'link_lost', 'host_learned', 'host_left', 'started'}),
        frozenset(),
    ),
    Reason.TARGET_CRASHED: (
        frozenset(),
        frozenset({'target_crashed', 'target_unreachable'}),
    ),
    Reason.TARGET_UNREACHABLE: (
        frozenset(),
        frozenset({'target_unreachable', 'target_changed'}),
    ),
    Reason.TARGET_LEAVING: (frozenset(), frozenset({'target_changed'})),
    Reason.TARGET_RETIRED: (frozenset(), frozenset({'target_changed'})),
    Reason.CONFIG_STALE: (
        frozenset({'started', 'log_service_lost', 'config_applied'}),
        frozenset(),
    ),
    Reason.ROUTE_UNKNOWN: (frozenset({'config_applied'}), frozenset()),
    Reason.KEY_UNKNOWN: (frozenset({'config_applied'}), frozenset()),
    Reason.QUOTA_EXCEEDED: (
        frozenset({'config_applied', 'link_lost'}),
        frozenset(),
    ),
}


@dataclasses.dataclass(frozen=True, slots=True)
class LogLine:
    """One line of a daemon's output.

    Args:
        time: Seconds since the epoch, by the clock of its host.
        host: Host that wrote it.
        event: Name of the event.
        fields: All other fields.
    """

    time: float
    host: str
    event: str
    fields: dict[str, object]

    def text(self, name: str) -> str:
        """Return a field as text, empty if the line has none."""
        return str(self.fields.get(name, ''))


@dataclasses.dataclass(frozen=True, slots=True)
class TracedLine:
    """A line and whether it speaks of the request itself."""

    line: LogLine
    is_own: bool


def parse_line(text: str) -> LogLine | None:
    """Read a line; none if it is not one of a daemon."""
    fields = {name: _value(raw) for name, raw in _FIELD.findall(text)}
    time, event = fields.pop('time', None), fields.pop('event', None)
    if not isinstance(time, int | float) or not isinstance(event, str):
        return None
    return LogLine(float(time), str(fields.pop('host', '')), event, fields)


def read_lines(paths: Iterable[pathlib.Path]) -> list[LogLine]:
    """Read the lines of several files in the order of time.

    Raises:
        OSError: A file can't be read.
    """
    lines = []
    for path in paths:
        with path.open(errors='replace') as file:
            lines += [line for text in file if (line := parse_line(text))]
    return sorted(lines, key=lambda line: line.time)


def trace(request_id: str, lines: list[LogLine]) -> list[TracedLine]:
    """Return the lines of a request, of its calls, and their causes.

    Args:
        request_id: Id of the caller's attempt; ids of calls that its target
            makes begin with it and a dot.
        lines: Lines in the order of time.
    """
    own = [line for line in lines if _is_of(line, request_id)]
    causes = [
        line
        for line in lines
        if any(_may_explain(line, decision) for decision in own)
    ]
    traced = [TracedLine(line, True) for line in own]
    traced += [TracedLine(line, False) for line in causes]
    return sorted(traced, key=lambda each: each.line.time)


def _value(raw: str) -> object:
    try:
        value: object = ast.literal_eval(raw)
    except (ValueError, SyntaxError):
        return raw
    return value


def _is_of(line: LogLine, request_id: str) -> bool:
    found = line.text('request_id')
    return found == request_id or found.startswith(f'{request_id}.')


def _may_explain(line: LogLine, decision: LogLine) -> bool:
    if not -_AFTER_S <= decision.time - line.time <= _BEFORE_S:
        return False
    here, there = _CAUSES.get(
        decision.text('reason'), (frozenset(), frozenset())
    )
    target_host = decision.text('target_host')
    if line.host == decision.host and line.event in here:
        peer = line.text('peer')
        return not target_host or not peer or peer == target_host
    return line.host == target_host and line.event in there

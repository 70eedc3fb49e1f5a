"""Finds the log lines that explain the outcome of a request.

Daemons log one line of `key=value` pairs per event. The lines of a request
carry its id; events on links, targets and the configuration at about the
same time may be the cause of its outcome.
"""

import ast
from collections.abc import Iterable
import dataclasses
import pathlib
import re

from turmericrouter_core.verdict import Reason

_FIELD = re.compile(r"""(\w+)=('(?:[^'\\]|\\.)*'|"(?:[^"\\]|\\.)*"|\S+)""")
# Time window around a decision in which another event may be its cause. It
# extends after the decision because the clocks of hosts differ slightly.
_MAX_CAUSE_LEAD_S = 5.0
_MAX_CAUSE_LAG_S = 1.0

# For each reason, the events that may be its cause: on the host that made the
# decision, and on the host that the request was sent to.
_CAUSE_EVENTS: dict[str, tuple[frozenset[str], frozenset[str]]] = {
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
    """A log line of a daemon.

    Args:
        time: Seconds since the Unix epoch, by the clock of the host.
        host: Host that wrote the line.
        event: Name of the event.
        fields: All other fields.
    """

    time: float
    host: str
    event: str
    fields: dict[str, object]

    def text(self, name: str) -> str:
        """Return a field as text, empty if the line does not have it."""
        return str(self.fields.get(name, ''))


@dataclasses.dataclass(frozen=True, slots=True)
class TracedLine:
    """A log line in the trace of a request.

    Args:
        line: Log line.
        is_own: Whether the line belongs to the request or one of its calls;
            otherwise it is a possible cause.
    """

    line: LogLine
    is_request_line: bool


def parse_line(text: str) -> LogLine | None:
    """Parse a log line, and return `None` if a daemon did not write it."""
    fields = {name: _parse_value(raw) for name, raw in _FIELD.findall(text)}
    time, event = fields.pop('time', None), fields.pop('event', None)
    if not isinstance(time, int | float) or not isinstance(event, str):
        return None
    return LogLine(float(time), str(fields.pop('host', '')), event, fields)


def read_lines(paths: Iterable[pathlib.Path]) -> list[LogLine]:
    """Return the log lines of several files, sorted by time.

    Lines that a daemon did not write are skipped.

    Raises:
        OSError: A file cannot be read.
    """
    lines = []
    for path in paths:
        with path.open(errors='replace') as file:
            lines += [line for text in file if (line := parse_line(text))]
    return sorted(lines, key=lambda line: line.time)


def trace_request(request_id: str, lines: list[LogLine]) -> list[TracedLine]:
    """Return the lines of a request and its nested calls, and their causes.

    Args:
        request_id: Id of the caller's attempt. The ids of calls that its
            target makes start with this id and a dot.
        lines: Log lines sorted by time.
    """
    own = [line for line in lines if _belongs_to(line, request_id)]
    causes = [
        line
        for line in lines
        if any(_may_explain(line, decision) for decision in own)
    ]
    traced = [TracedLine(line, True) for line in own]
    traced += [TracedLine(line, False) for line in causes]
    return sorted(traced, key=lambda each: each.line.time)


def _parse_value(raw: str) -> object:
    try:
        value: object = ast.literal_eval(raw)
    except (ValueError, SyntaxError):
        return raw
    return value


def _belongs_to(line: LogLine, request_id: str) -> bool:
    found = line.text('request_id')
    return found == request_id or found.startswith(f'{request_id}.')


def _may_explain(line: LogLine, decision: LogLine) -> bool:
    if not -_MAX_CAUSE_LAG_S <= decision.time - line.time <= _MAX_CAUSE_LEAD_S:
        return False
    local_events, remote_events = _CAUSE_EVENTS.get(
        decision.text('reason'), (frozenset(), frozenset())
    )
    target_host = decision.text('target_host')
    if line.host == decision.host and line.event in local_events:
        peer = line.text('peer')
        return not target_host or not peer or peer == target_host
    return line.host == target_host and line.event in remote_events

"""Checks, prints and publishes changes on behalf of commands."""

from collections.abc import Sequence
import json
import sys
from typing import Annotated

import cyclopts

from turmericrouter_core.config import Change
from turmericrouter_core.config import ConfigState
from turmericrouter_core.config import Value
from turmericrouter_operator.document import check_values
from turmericrouter_operator.document import DocumentError
from turmericrouter_operator.document import to_toml
from turmericrouter_operator.fleet_client import DomainProgress
from turmericrouter_operator.options import ExitStatus
from turmericrouter_operator.options import Options
from turmericrouter_operator.publisher import Publisher
from turmericrouter_operator.tables import format_rows

# Within this time a publication is required to be in force on every daemon.
MAX_PROPAGATION_S = 10.0

WaitOption = Annotated[
    float | None,
    cyclopts.Parameter(
        help='Seconds to wait until the publication is in force on every '
        f'daemon; {MAX_PROPAGATION_S:g} is enough in a healthy fleet.'
    ),
]


def check_new_mistakes(
    state: ConfigState, changes: Sequence[Change], *, source: str
) -> None:
    """Raise an error if changes add mistakes to the configuration.

    Mistakes that the configuration in force already has are ignored, so that
    they do not block other changes, such as the withdrawal of a key.

    Args:
        state: Configuration in force.
        changes: Changes to apply to it.
        source: Origin of the changes, for messages.

    Raises:
        DocumentError: The changes add mistakes.
    """
    before: dict[str, Value] = {
        scope: current.value for scope, current in state.scopes.items()
    }
    after = dict(before)
    for change in changes:
        if change.value is None:
            after.pop(change.scope, None)
        else:
            after[change.scope] = change.value
    existing = {str(m) for m in check_values(before, source=source)}
    mistakes = [
        mistake
        for mistake in check_values(after, source=source)
        if str(mistake) not in existing
    ]
    if mistakes:
        raise DocumentError(mistakes)


def describe_changes(
    state: ConfigState, changes: Sequence[Change], *, as_json: bool
) -> str:
    """Return the changes as a line diff of TOML, or as JSON."""
    if as_json:
        return json.dumps(
            [
                {
                    'scope': change.scope,
                    'base': change.base,
                    'old': _format_current(state, change.scope),
                    'new': _format_new(change),
                }
                for change in changes
            ]
        )
    lines: list[str] = []
    for change in changes:
        old = _format_current(state, change.scope).splitlines()
        new = _format_new(change).splitlines()
        lines += [f'- {line}' for line in old if line not in new[1:]]
        lines += [f'+ {line}' for line in new if line not in old[1:]]
    return '\n'.join(lines) or 'nothing to change'


async def publish_changes(
    publisher: Publisher,
    changes: Sequence[Change],
    options: Options,
    wait_s: float | None,
) -> int:
    """Publish changes, print the result and return the exit status.

    Args:
        publisher: Publisher on the log service.
        changes: Changes to publish; without any, nothing is published and
            the status is `OK`.
        options: Shared options.
        wait_s: Longest time to wait until the changes are in force on every
            daemon, `None` not to wait.
    """
    if not changes:
        print(json.dumps([]) if options.as_json else 'nothing to change')
        return ExitStatus.OK
    published = await publisher.publish(tuple(changes), author=options.author)
    if options.as_json:
        print(
            json.dumps(
                {
                    'publication': published.publication_id,
                    'offset': published.offset,
                    'scopes': published.scopes,
                }
            )
        )
    else:
        print(
            f'accepted at offset {published.offset}: '
            + ', '.join(published.scopes)
        )
    if wait_s is None:
        return ExitStatus.OK
    state = await publisher.read()
    progress = await options.fleet_client().wait_in_force(
        published.offset, domains=state.fleet.domains, timeout_s=wait_s
    )
    return _report_progress(progress, published.offset, options)


def _report_progress(
    progress: Sequence[DomainProgress], offset: int, options: Options
) -> int:
    columns = ('domain', 'complete', 'in_force', 'behind', 'unreachable')
    rows = [
        {
            'domain': domain.domain,
            'complete': domain.is_complete,
            'in_force': domain.in_force,
            'behind': domain.behind,
            'unreachable': domain.unreachable,
        }
        for domain in progress
    ]
    print(format_rows(rows, columns, as_json=options.as_json))
    if progress and all(domain.is_complete for domain in progress):
        return ExitStatus.OK
    print(f'offset {offset} is not in force everywhere', file=sys.stderr)
    return ExitStatus.UNREACHABLE


def _format_current(state: ConfigState, scope: str) -> str:
    current = state.scopes.get(scope)
    return to_toml({scope: current.value}) if current else ''


def _format_new(change: Change) -> str:
    return to_toml({change.scope: change.value}) if change.value else ''

"""The `turmericctl` command.

Exit status: 0 success; 1 the change was refused, conflicts with another
publication, or a request was not found; 2 invalid arguments or settings;
3 the log or a daemon is unreachable, or a publication was not in force on
every daemon in time.
"""

from collections.abc import Sequence
import json
import pathlib
import sys
from typing import Annotated
from typing import Any
from typing import Literal

import cyclopts

from turmericrouter_client.admin import AdminError
from turmericrouter_client.admin import DecisionRow
from turmericrouter_core.config import Retirement
from turmericrouter_core.config import Value
from turmericrouter_core.errors import LogServiceError
from turmericrouter_core.errors import SettingsError
from turmericrouter_core.errors import TurmericError
from turmericrouter_operator import keys
from turmericrouter_operator import log_trace
from turmericrouter_operator.changes import check_new_mistakes
from turmericrouter_operator.changes import describe_changes
from turmericrouter_operator.changes import publish_changes
from turmericrouter_operator.changes import WaitOption
from turmericrouter_operator.document import Document
from turmericrouter_operator.document import parse_document
from turmericrouter_operator.document import to_toml
from turmericrouter_operator.fleet_client import DaemonReply
from turmericrouter_operator.options import ExitStatus
from turmericrouter_operator.options import Options
from turmericrouter_operator.publisher import find_changes
from turmericrouter_operator.publisher import make_changes
from turmericrouter_operator.tables import format_rows

app = cyclopts.App(
    name='turmericctl',
    help='Operate a turmericrouter fleet.',
    help_epilogue=(
        'Exit status: 0 done, 1 refused or in conflict, 2 mistake in '
        'arguments or settings, 3 log or daemon unreachable.'
    ),
    result_action='return_value',
)
config_app = cyclopts.App(name='config', help='Check and publish documents.')
target_app = cyclopts.App(name='target', help='Retire and list targets.')
app.command(config_app)
app.command(keys.app)
app.command(target_app)

_DEFAULTS = Options()
_FileArgument = Annotated[str, cyclopts.Parameter(allow_leading_hyphen=True)]
_PruneFlag = Annotated[bool, cyclopts.Parameter(negative='')]


def _read_document(path: str) -> Document:
    try:
        if path == '-':
            text = sys.stdin.read()
        else:
            text = pathlib.Path(path).read_text()
    except (OSError, ValueError) as error:
        raise SettingsError(f'{path}: {error}') from error
    return parse_document(text, source=path)


@config_app.command
async def check(*files: _FileArgument) -> int:
    """Check documents without publishing them.

    Args:
        files: TOML documents, `-` for standard input.
    """
    if not files:
        raise SettingsError('at least one file must be given')
    status = ExitStatus.OK
    for path in files:
        try:
            document = _read_document(path)
        except TurmericError as error:
            print(error, file=sys.stderr)
            status = ExitStatus.REFUSED
        else:
            print(f'{path}: ok, {len(document.values)} values')
    return status


@config_app.command
async def diff(
    file: _FileArgument,
    *,
    prune: _PruneFlag = False,
    options: Options = _DEFAULTS,
) -> int:
    """Show what publishing a document would change.

    Args:
        file: TOML document, `-` for standard input.
        prune: Remove workspaces and routes that the document lacks.
        options: Shared options.
    """
    document = _read_document(file)
    async with options.publisher() as publisher:
        state = await publisher.read()
        changes = find_changes(state, document, prune=prune)
    check_new_mistakes(state, changes, source=file)
    print(describe_changes(state, changes, as_json=options.as_json))
    return ExitStatus.OK


@config_app.command
async def publish(
    file: _FileArgument,
    *,
    prune: _PruneFlag = False,
    wait: WaitOption = None,
    options: Options = _DEFAULTS,
) -> int:
    """Publish a document.

    Keys and retired targets that the document lacks are not changed.

    Args:
        file: TOML document, `-` for standard input.
        prune: Remove workspaces and routes that the document lacks.
        wait: Seconds to wait until the publication is in force in every
            failure domain.
        options: Shared options.
    """
    document = _read_document(file)
    async with options.publisher() as publisher:
        state = await publisher.read()
        changes = find_changes(state, document, prune=prune)
        check_new_mistakes(state, changes, source=file)
        return await publish_changes(publisher, changes, options, wait)


@config_app.command
async def show(*, options: Options = _DEFAULTS) -> int:
    """Print the configuration in force as a document."""
    async with options.publisher() as publisher:
        state = await publisher.read()
    values = {scope: current.value for scope, current in state.scopes.items()}
    document = to_toml(values, base_offset=state.offset)
    if options.as_json:
        print(json.dumps({'offset': state.offset, 'document': document}))
    else:
        print(document, end='')
    return ExitStatus.OK


async def _set_retirement(
    target: str, value: Value | None, wait: float | None, options: Options
) -> int:
    async with options.publisher() as publisher:
        state = await publisher.read()
        changes = make_changes(state, {f'retirement/{target}': value})
        check_new_mistakes(state, changes, source='command line')
        return await publish_changes(publisher, changes, options, wait)


@target_app.command
async def retire(
    target: str,
    *,
    note: str = '',
    wait: WaitOption = None,
    options: Options = _DEFAULTS,
) -> int:
    """Retire a target, so that it receives no new requests.

    Args:
        target: Name of the target.
        note: Note for operators.
        wait: Seconds to wait until the publication is in force in every
            failure domain.
        options: Shared options.
    """
    return await _set_retirement(target, Retirement(note), wait, options)


@target_app.command
async def unretire(
    target: str, *, wait: WaitOption = None, options: Options = _DEFAULTS
) -> int:
    """Cancel the retirement of a target.

    Args:
        target: Name of the target.
        wait: Seconds to wait until the publication is in force in every
            failure domain.
        options: Shared options.
    """
    return await _set_retirement(target, None, wait, options)


@target_app.command(name='list')
async def list_targets(*, options: Options = _DEFAULTS) -> int:
    """List the targets in the daemons' directory."""
    columns = ('target', 'service', 'domain', 'address', 'state', 'mark')
    rows = [
        {
            **{name: getattr(row, name) for name in columns},
            'slots': row.slots,
            'connections': row.connections,
        }
        for row in await options.fleet_client().directory()
    ]
    print(format_rows(rows, (*columns, 'slots'), as_json=options.as_json))
    return ExitStatus.OK


def _reachability_status(replies: Sequence[DaemonReply[Any]]) -> ExitStatus:
    if any(reply.value is None for reply in replies):
        return ExitStatus.UNREACHABLE
    return ExitStatus.OK


@app.command
async def status(*, options: Options = _DEFAULTS) -> int:
    """Show the state of every daemon."""
    replies = await options.fleet_client().query_all(
        lambda client: client.status()
    )
    columns = (
        'address',
        'domain',
        'config_offset',
        'log_age_s',
        'stale',
        'refused_routes',
        'target',
        'target_state',
        'in_flight',
        'queued',
        'limit',
        'members',
    )
    rows: list[dict[str, object]] = []
    for reply in replies:
        if reply.value is None:
            rows.append(
                {
                    'address': reply.member.address,
                    'domain': reply.member.domain,
                    'target': reply.member.target,
                    'target_state': 'unreachable',
                    'error': reply.error,
                }
            )
        else:
            row = {name: getattr(reply.value, name) for name in columns}
            rows.append({**row, 'incarnation': reply.value.incarnation})
    print(format_rows(rows, columns, as_json=options.as_json))
    return _reachability_status(replies)


@app.command
async def quota(
    workspace: str | None = None, *, options: Options = _DEFAULTS
) -> int:
    """Show the quota of workspaces as seen by each daemon.

    Args:
        workspace: Show only this workspace.
        options: Shared options.
    """
    replies = await options.fleet_client().query_all(
        lambda client: client.quota()
    )
    columns = (
        'workspace',
        'rate_per_s',
        'burst',
        'slices_held',
        'tokens_held',
        'tokens_pooled',
    )
    rows = [
        {
            'address': reply.member.address,
            **{name: getattr(row, name) for name in columns},
        }
        for reply in replies
        if reply.value is not None
        for row in reply.value.rows
        if workspace in (None, row.workspace)
    ]
    print(format_rows(rows, ('address', *columns), as_json=options.as_json))
    return _reachability_status(replies)


@app.command
async def explain(
    request_id: str,
    *,
    output: tuple[pathlib.Path, ...] = (),
    options: Options = _DEFAULTS,
) -> int:
    """Show the decisions on a request.

    Args:
        request_id: Value of the header `Turmeric-Request-Id` of the answer,
            or the id that the caller chose on the platform.
        output: File with the log output of a daemon; may be given several
            times. The decisions are then read from the files instead of
            from the daemons, and shown with the log lines that may explain
            them.
        options: Shared options.
    """
    if output:
        return _explain_from_output(request_id, output, options)
    replies = await options.fleet_client().query_all(
        lambda client: client.explain(request_id)
    )
    rows = [
        _decision_row(reply.member.address, decision)
        for reply in replies
        if reply.value is not None
        for decision in reply.value.decisions
    ]
    print(
        format_rows(
            rows, ('address', 'event', 'fields'), as_json=options.as_json
        )
    )
    if rows:
        return ExitStatus.OK
    return _reachability_status(replies) or ExitStatus.REFUSED


def _explain_from_output(
    request_id: str, output: tuple[pathlib.Path, ...], options: Options
) -> int:
    try:
        lines = log_trace.read_lines(output)
    except OSError as error:
        print(f'error: {error}', file=sys.stderr)
        return ExitStatus.USAGE
    rows = [
        {
            'time': f'{traced.line.time:.3f}',
            'host': traced.line.host,
            'about': 'request' if traced.is_request_line else 'cause',
            'event': traced.line.event,
            'fields': traced.line.fields,
        }
        for traced in log_trace.trace_request(request_id, lines)
    ]
    columns = ('time', 'host', 'about', 'event', 'fields')
    print(format_rows(rows, columns, as_json=options.as_json))
    return ExitStatus.OK if rows else ExitStatus.REFUSED


def _decision_row(address: str, decision: DecisionRow) -> dict[str, object]:
    fields = {
        name: value
        for name, value in decision.fields.items()
        if name != 'request_id'
    }
    return {'address': address, 'event': decision.event, 'fields': fields}


@app.command
def completion(shell: Literal['bash', 'zsh', 'fish']) -> int:
    """Print the completion script for a shell.

    Args:
        shell: Name of the shell.
    """
    print(app.generate_completion(shell=shell))
    return ExitStatus.OK


def run(arguments: list[str] | None = None) -> int:
    """Run a command and return its exit status."""
    try:
        status = app(arguments, exit_on_error=False)
    except cyclopts.CycloptsError:
        return ExitStatus.USAGE
    except SettingsError as error:
        print(error, file=sys.stderr)
        return ExitStatus.USAGE
    except (AdminError, LogServiceError) as error:
        print(error, file=sys.stderr)
        return ExitStatus.UNREACHABLE
    except TurmericError as error:
        print(error, file=sys.stderr)
        return ExitStatus.REFUSED
    return status if isinstance(status, int) else ExitStatus.OK


def main() -> None:
    """Run the command line and exit with its status."""
    raise SystemExit(int(run()))


if __name__ == '__main__':
    main()

"""Commands that mint, grant and withdraw callers' keys.

A key is printed only when it is minted. It is read from standard input and
never from the command line, which other users of the machine can see.
"""

import json
import re
import sys
from typing import Annotated

import cyclopts

from turmericrouter_core.config import ConfigState
from turmericrouter_core.config import Key
from turmericrouter_core.config import key_digest
from turmericrouter_core.errors import ConfigError
from turmericrouter_core.errors import SettingsError
from turmericrouter_operator.builder import mint_key
from turmericrouter_operator.changes import check_new_mistakes
from turmericrouter_operator.changes import publish_changes
from turmericrouter_operator.changes import WaitOption
from turmericrouter_operator.options import ExitStatus
from turmericrouter_operator.options import Options
from turmericrouter_operator.publisher import make_changes

app = cyclopts.App(name='key', help="Grant and withdraw callers' keys.")

MIN_PREFIX_DIGITS = 8
_DIGEST_PREFIX = re.compile(f'[0-9a-f]{{{MIN_PREFIX_DIGITS},64}}')
_DEFAULTS = Options()
_FromStdin = Annotated[
    bool,
    cyclopts.Parameter(
        name='--stdin', negative='', help='Read the key from standard input.'
    ),
]


def _read_key() -> str:
    key = sys.stdin.readline().strip()
    if not key:
        raise SettingsError('the first line of standard input must be a key')
    if any(character.isspace() for character in key):
        raise SettingsError('a key must not contain white space')
    return key


def _resolve_digest(state: ConfigState, prefix: str) -> str:
    # The argument may be a key given by mistake, so the error omits it.
    if not _DIGEST_PREFIX.fullmatch(prefix):
        raise SettingsError(
            'a key is identified by its SHA-256 digest, or the first '
            f'{MIN_PREFIX_DIGITS} or more digits of it; pass a key itself '
            'with --stdin'
        )
    found = [
        name
        for name, _ in state.values_of_kind('key')
        if name.startswith(prefix)
    ]
    if len(found) != 1:
        raise ConfigError(
            f'{len(found)} key digests start with {prefix}; exactly one must'
        )
    return found[0]


def _print_key(key: str, digest: str, *, as_json: bool) -> None:
    if as_json:
        print(json.dumps({'key': key, 'sha256': digest}))
    else:
        print(f'key: {key}\nsha256: {digest}')


@app.command
def mint(*, options: Options = _DEFAULTS) -> int:
    """Generate a key without granting it, and print it with its digest."""
    key = mint_key()
    _print_key(key, key_digest(key), as_json=options.as_json)
    return ExitStatus.OK


@app.command
async def grant(
    workspace: str,
    *,
    label: str = '',
    from_stdin: _FromStdin = False,
    wait: WaitOption = None,
    options: Options = _DEFAULTS,
) -> int:
    """Grant a key to a workspace; a new one is printed once.

    Args:
        workspace: Name of the workspace.
        label: Note for operators.
        from_stdin: Grant a key read from standard input, not a new one.
        wait: Seconds to wait until the publication is in force in every
            failure domain.
        options: Shared options.
    """
    key = _read_key() if from_stdin else mint_key()
    digest = key_digest(key)
    async with options.publisher() as publisher:
        state = await publisher.read()
        if state.key(digest) is not None:
            raise ConfigError(
                f'key {digest} was granted before; grant a new key'
            )
        value = Key(workspace, label=label)
        changes = make_changes(state, {f'key/{digest}': value})
        check_new_mistakes(state, changes, source='command line')
        if not from_stdin:
            # Printed before the publication: if the wait fails, the key is
            # in force nevertheless.
            _print_key(key, digest, as_json=options.as_json)
        return await publish_changes(publisher, changes, options, wait)


@app.command
async def withdraw(
    digest: str = '',
    *,
    from_stdin: _FromStdin = False,
    wait: WaitOption = None,
    options: Options = _DEFAULTS,
) -> int:
    """Withdraw a key permanently.

    Args:
        digest: SHA-256 digest of the key, or its first 8 or more digits.
        from_stdin: Read the key itself from standard input.
        wait: Seconds to wait until the publication is in force in every
            failure domain.
        options: Shared options.
    """
    if bool(digest) == from_stdin:
        raise SettingsError('give either a key digest or --stdin')
    given = key_digest(_read_key()) if from_stdin else digest
    async with options.publisher() as publisher:
        state = await publisher.read()
        full = _resolve_digest(state, given)
        current = state.key(full)
        assert current is not None
        value = Key(current.workspace, withdrawn=True, label=current.label)
        changes = make_changes(state, {f'key/{full}': value})
        return await publish_changes(publisher, changes, options, wait)

"""Commands on callers' keys.

A key is printed only when it is minted, and is never taken from the command
line, where other users of the machine could read it.
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
from turmericrouter_operator.changes import check_result
from turmericrouter_operator.changes import publish_changes
from turmericrouter_operator.changes import Wait
from turmericrouter_operator.options import ExitStatus
from turmericrouter_operator.options import Options
from turmericrouter_operator.publisher import make_changes

app = cyclopts.App(name='key', help="Grant and withdraw callers' keys.")

MIN_PREFIX_DIGITS = 8
_PREFIX = re.compile(f'[0-9a-f]{{{MIN_PREFIX_DIGITS},64}}')
_DEFAULTS = Options()
_FromInput = Annotated[
    bool,
    cyclopts.Parameter(
        name='--stdin', negative='', help='Read the key from standard input.'
    ),
]


def _read_key() -> str:
    key = sys.stdin.readline().strip()
    if not key:
        raise SettingsError('standard input holds no key')
    if any(character.isspace() for character in key):
        raise SettingsError('a key holds no white space')
    return key


def _find_digest(state: ConfigState, prefix: str) -> str:
    # The text may be a key by mistake, so no message repeats it.
    if not _PREFIX.fullmatch(prefix):
        raise SettingsError(
            'a key is named by its SHA-256, or the first '
            f'{MIN_PREFIX_DIGITS} or more digits of it; pass a key itself '
            'with --stdin'
        )
    found = [name for name, _ in state.named('key') if name.startswith(prefix)]
    if len(found) != 1:
        raise ConfigError(f'{len(found)} keys start with {prefix}')
    return found[0]


def _show(key: str, digest: str, *, as_json: bool) -> None:
    if as_json:
        print(json.dumps({'key': key, 'sha256': digest}))
    else:
        print(f'key: {key}\nsha256: {digest}')


@app.command
def mint(*, options: Options = _DEFAULTS) -> int:
    """Make a new key without granting it, and print it with its digest."""
    key = mint_key()
    _show(key, key_digest(key), as_json=options.as_json)
    return ExitStatus.OK


@app.command
async def grant(
    workspace: str,
    *,
    label: str = '',
    from_input: _FromInput = False,
    wait: Wait = None,
    options: Options = _DEFAULTS,
) -> int:
    """Grant a key to a workspace; a new one is printed once.

    Args:
        workspace: Name of the workspace.
        label: Note for operators.
        from_input: Grant a key from standard input instead of a new one.
        wait: Seconds to wait until it is in force in every failure domain.
        options: Shared options.
    """
    key = _read_key() if from_input else mint_key()
    digest = key_digest(key)
    async with options.publisher() as publisher:
        state = await publisher.read()
        if state.key(digest) is not None:
            raise ConfigError(f'key {digest} was granted before')
        value = Key(workspace, label=label)
        changes = make_changes(state, {f'key/{digest}': value})
        check_result(state, changes, source='command line')
        if not from_input:
            # Shown first: should the wait fail, the key is in force.
            _show(key, digest, as_json=options.as_json)
        return await publish_changes(publisher, changes, options, wait)


@app.command
async def withdraw(
    digest: str = '',
    *,
    from_input: _FromInput = False,
    wait: Wait = None,
    options: Options = _DEFAULTS,
) -> int:
    """Withdraw a key for good.

    Args:
        digest: SHA-256 of the key, or its first digits.
        from_input: Read the key itself from standard input.
        wait: Seconds to wait until it is in force in every failure domain.
        options: Shared options.
    """
    if bool(digest) == from_input:
        raise SettingsError('give either a digest or --stdin')
    given = key_digest(_read_key()) if from_input else digest
    async with options.publisher() as publisher:
        state = await publisher.read()
        full = _find_digest(state, given)
        held = state.key(full)
        assert held is not None
        value = Key(held.workspace, withdrawn=True, label=held.label)
        changes = make_changes(state, {f'key/{full}': value})
        return await publish_changes(publisher, changes, options, wait)

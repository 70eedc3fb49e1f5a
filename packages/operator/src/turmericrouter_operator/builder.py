"""Library with which operators build a configuration to publish.

    config = Configuration(domains=['north', 'south'])
    east = config.workspace('east', rate_per_s=100, burst=200)
    east.key(label='tablets')
    config.route('catalogue', service='design', path='/catalogue')
    print(config)

A new key is printed once, on standard error; the document contains only its
SHA-256 digest. Pass the document to `turmericctl config publish`.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import secrets
import sys
from typing import TextIO

from turmericrouter_core.config import Fleet
from turmericrouter_core.config import Key
from turmericrouter_core.config import key_digest
from turmericrouter_core.config import KeylessRule
from turmericrouter_core.config import Retirement
from turmericrouter_core.config import Route
from turmericrouter_core.config import StaleRule
from turmericrouter_core.config import Value
from turmericrouter_core.config import Workspace
from turmericrouter_core.errors import ConfigError
from turmericrouter_core.validation import ValidationProblem
from turmericrouter_core.verdict import Importance
from turmericrouter_operator.document import check_values
from turmericrouter_operator.document import DocumentError
from turmericrouter_operator.document import parse_document
from turmericrouter_operator.document import to_toml

KEY_PREFIX = 'tmk_'
_KEY_BYTES = 32


def mint_key() -> str:
    """Return a new random key for a caller."""
    return KEY_PREFIX + secrets.token_urlsafe(_KEY_BYTES)


class WorkspaceBuilder:
    """Adds keys to a workspace of a configuration.

    Args:
        configuration: Configuration that contains the workspace.
        name: Name of the workspace.
    """

    def __init__(self, configuration: 'Configuration', name: str) -> None:
        self._configuration = configuration
        self.name = name

    def key(
        self, *, digest: str = '', label: str = '', withdrawn: bool = False
    ) -> str:
        """Add a key, either an existing one by its digest or a new one.

        Args:
            digest: SHA-256 digest of an existing key in hexadecimal; without
                it a key is generated and printed once.
            label: Note for operators.
            withdrawn: Withdraw the key permanently.

        Returns:
            The new key, or an empty string if a digest was given.

        Raises:
            ConfigError: The configuration already contains the key.
        """
        secret = '' if digest else mint_key()
        digest = digest or key_digest(secret)
        self._configuration.add(
            f'key/{digest}', Key(self.name, withdrawn, label)
        )
        if secret:
            self._configuration.show_key(self.name, label, secret)
        return secret


class Configuration:
    """Workspaces, keys, routes and retired targets of a fleet.

    Args:
        domains: Failure domains in the order of their first publication;
            new ones are appended.
        regions: Region of each failure domain.
        keys_shown_on: Stream to print new keys to, standard error by
            default.
    """

    def __init__(
        self,
        *,
        domains: Iterable[str] = (),
        regions: Mapping[str, str] | None = None,
        keys_shown_on: TextIO | None = None,
    ) -> None:
        self._values: dict[str, Value] = {}
        self._keys_shown_on = keys_shown_on
        names = tuple(domains)
        if names:
            self.add('fleet', Fleet(names, dict(regions or {})))

    @property
    def values(self) -> Mapping[str, Value]:
        """Return the values by scope."""
        return dict(self._values)

    def __str__(self) -> str:
        return self.to_toml()

    def workspace(
        self,
        name: str,
        *,
        rate_per_s: float,
        burst: float,
        weight: float = 1.0,
    ) -> WorkspaceBuilder:
        """Add a workspace.

        Args:
            name: Name of the workspace.
            rate_per_s: Requests per second over the whole fleet.
            burst: Requests that may arrive at once above the rate.
            weight: Share of a target's capacity relative to other
                workspaces, enforced at the gate, the admission control in
                front of the target.
        """
        value = Workspace(float(rate_per_s), float(burst), float(weight))
        self.add(f'workspace/{name}', value)
        return WorkspaceBuilder(self, name)

    def route(
        self,
        name: str,
        *,
        service: str,
        path: str,
        methods: Iterable[str] = (),
        importance: str = 'normal',
        idempotent: bool = True,
        open_to_all: bool = False,
        timeout_ms: int = 10_000,
        on_stale: str | None = None,
        without_key: str = 'refuse',
    ) -> None:
        """Add a route.

        Args:
            name: Name of the route.
            service: Service that handles its requests.
            path: Path prefix, matched by whole segments.
            methods: HTTP methods; empty for all.
            importance: `critical`, `high`, `normal` or `low`.
            idempotent: Whether a request may run more than once.
            open_to_all: Whether requests without a caller's key are allowed.
            timeout_ms: Deadline of a request in milliseconds.
            on_stale: `serve` or `refuse` while configuration may be stale.
            without_key: `refuse` or `run-once` for a non-idempotent request
                without an idempotency key.

        Raises:
            ConfigError: The value of `importance`, `on_stale` or
                `without_key` is unknown, or the route already exists.
        """
        names = [item.name.lower() for item in Importance]
        if importance not in names:
            raise ConfigError(
                f'route {name}: importance must be one of {", ".join(names)}'
            )
        try:
            value = Route(
                service,
                path,
                tuple(methods),
                Importance[importance.upper()],
                idempotent,
                open_to_all,
                timeout_ms,
                StaleRule(on_stale) if on_stale else None,
                KeylessRule(without_key),
            )
        except ValueError as error:
            raise ConfigError(f'route {name}: {error}') from error
        self.add(f'route/{name}', value)

    def retire(self, target: str, *, note: str = '') -> None:
        """Retire a target, so that it receives no new requests."""
        self.add(f'retirement/{target}', Retirement(note))

    def add(self, scope: str, value: Value) -> None:
        """Add the value of a scope.

        Raises:
            ConfigError: The configuration already contains the scope.
        """
        if scope in self._values:
            raise ConfigError(f'{scope} is given twice')
        self._values[scope] = value

    def show_key(self, workspace: str, label: str, secret: str) -> None:
        """Print a new key, which is not stored and cannot be printed again."""
        output = self._keys_shown_on or sys.stderr
        note = f' ({label})' if label else ''
        print(f'new key of workspace {workspace}{note}: {secret}', file=output)

    def mistakes(self) -> list[ValidationProblem]:
        """Return all mistakes, empty if the configuration can be published."""
        source = 'configuration'
        try:
            parse_document(to_toml(self._values), source=source)
        except DocumentError as error:
            return list(error.mistakes)
        return check_values(self._values, source=source)

    def to_toml(self) -> str:
        """Return the configuration as a TOML document to publish.

        Raises:
            DocumentError: The configuration has mistakes.
        """
        mistakes = self.mistakes()
        if mistakes:
            raise DocumentError(mistakes)
        return to_toml(self._values)

"""Authorises requests of callers and converts them to calls."""

import dataclasses

from aiohttp import web

from turmericrouter_core.config import key_digest
from turmericrouter_core.config import KeylessRule
from turmericrouter_core.config import StaleRule
from turmericrouter_core.identity import hash_bucket
from turmericrouter_core.identity import OperationId
from turmericrouter_core.routing import is_safe_path
from turmericrouter_core.routing import NamedRoute
from turmericrouter_core.verdict import Reason
from turmericrouter_daemon.call import Answer
from turmericrouter_daemon.call import Call
from turmericrouter_daemon.call import Headers
from turmericrouter_daemon.call import refuse
from turmericrouter_daemon.config_sync import ConfigSync
from turmericrouter_daemon.runtime import Runtime
from turmericrouter_daemon.target_connection import HEADER_ENCODING

_BEARER_PREFIX = 'bearer '
_INTERNAL_HEADER_PREFIX = 'turmeric-'
# A longer number exceeds every timeout limit.
_MAX_TIMEOUT_DIGITS = 18
_DROPPED_HEADERS = frozenset(
    {
        'authorization',
        'connection',
        'content-length',
        'expect',
        'host',
        'idempotency-key',
        'keep-alive',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    }
)


def forwarded_headers(request: web.BaseRequest) -> Headers:
    """Return the headers that are forwarded to the target.

    The key of the caller, hop-by-hop headers and internal headers are
    removed.
    """
    headers = []
    for name_bytes, value in request.raw_headers:
        name = name_bytes.decode(HEADER_ENCODING)
        lower = name.lower()
        if lower not in _DROPPED_HEADERS and not lower.startswith(
            _INTERNAL_HEADER_PREFIX
        ):
            headers.append((name, value.decode(HEADER_ENCODING)))
    return tuple(headers)


def find_operation(
    request: web.BaseRequest, named: NamedRoute
) -> OperationId | None | Answer:
    """Return the operation id of a request, or why it is refused."""
    if named.route.idempotent:
        return None
    text = request.headers.get('Idempotency-Key', '').strip('" ')
    if not text:
        if named.route.without_key is KeylessRule.RUN_ONCE:
            return None
        return refuse(Reason.OPERATION_ID_MISSING)
    try:
        return OperationId.parse(text)
    except ValueError:
        return refuse(
            Reason.OPERATION_ID_INVALID,
            detail='Idempotency-Key must be a UUIDv7',
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """Result of authorising a request by its key and headers.

    Args:
        key_digest: Digest of the key, empty without a key.
        workspace: Workspace, empty on a route open to all.
        operation: Operation id of a non-idempotent request, else None.
    """

    key_digest: str
    workspace: str
    operation: OperationId | None


class Authorisation:
    """Finds the route and checks the key of callers' requests.

    Args:
        runtime: Services of the process.
        config: Current configuration.
    """

    def __init__(self, runtime: Runtime, config: ConfigSync) -> None:
        self._runtime = runtime
        self._config = config

    def find_route(self, request: web.BaseRequest) -> NamedRoute | Answer:
        """Return the route of a request, or why there is none."""
        if not is_safe_path(request.raw_path):
            return refuse(
                Reason.MALFORMED,
                detail='path with dot segments or encoded separators',
            )
        if 'Upgrade' in request.headers and request.can_read_body:
            return refuse(Reason.MALFORMED, detail='upgrade with a body')
        named = self._config.routes.find(request.method, request.raw_path)
        return named or refuse(Reason.ROUTE_UNKNOWN)

    def check(
        self, request: web.BaseRequest, named: NamedRoute
    ) -> Grant | Answer:
        """Return the grant of a request, or why it is refused."""
        route = named.route
        if self._config.is_stale and route.stale_rule is StaleRule.REFUSE:
            return refuse(Reason.CONFIG_STALE, retry_after_s=1.0)
        digest, workspace = '', ''
        if not route.open_to_all:
            checked = self._check_key(request)
            if isinstance(checked, Answer):
                return checked
            digest, workspace = checked
        operation = find_operation(request, named)
        if isinstance(operation, Answer):
            return operation
        return Grant(digest, workspace, operation)

    def make_call(
        self,
        request: web.BaseRequest,
        named: NamedRoute,
        grant: Grant,
        *,
        request_id: str,
        arrived_at: float,
        body: bytes,
    ) -> Call:
        """Return the call of an authorised request."""
        return Call(
            request_id=request_id,
            method=request.method,
            path=request.raw_path,
            headers=forwarded_headers(request),
            body=body,
            named_route=named,
            workspace=grant.workspace,
            key_digest=grant.key_digest,
            importance=named.route.importance,
            bucket=hash_bucket(request_id),
            deadline=arrived_at + self._timeout_s(request, named),
            retries_left=self._runtime.settings.overload.max_retries,
            operation=grant.operation,
        )

    def key_refusal(self, digest: str) -> Reason | None:
        """Return why a key is refused, or None for a valid key."""
        state = self._config.state
        key = state.key(digest)
        if key is None:
            return Reason.KEY_UNKNOWN
        if key.withdrawn:
            return Reason.KEY_WITHDRAWN
        if state.workspace(key.workspace) is None:
            return Reason.WORKSPACE_UNKNOWN
        return None

    def _check_key(self, request: web.BaseRequest) -> tuple[str, str] | Answer:
        header = request.headers.get('Authorization', '')
        if header[: len(_BEARER_PREFIX)].lower() != _BEARER_PREFIX:
            return refuse(Reason.KEY_MISSING)
        presented = header[len(_BEARER_PREFIX) :].strip()
        try:
            digest = key_digest(presented)
        except UnicodeEncodeError:
            return refuse(Reason.KEY_UNKNOWN)
        reason = self.key_refusal(digest)
        if reason is not None:
            return refuse(reason)
        key = self._config.state.key(digest)
        assert key is not None
        return digest, key.workspace

    def _timeout_s(self, request: web.BaseRequest, named: NamedRoute) -> float:
        limit_ms = min(
            named.route.timeout_ms,
            self._runtime.settings.entry.max_timeout_ms,
        )
        requested = request.headers.get('Turmeric-Timeout-Ms', '')
        if requested.isdecimal() and len(requested) <= _MAX_TIMEOUT_DIGITS:
            limit_ms = min(limit_ms, int(requested))
        return limit_ms / 1000

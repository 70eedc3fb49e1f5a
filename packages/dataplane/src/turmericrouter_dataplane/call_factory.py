"""Builds the state of a request from its headers, route and workspace."""

from collections.abc import Callable
from collections.abc import Mapping

import xxhash

from turmericrouter_dataplane.call import Call
from turmericrouter_dataplane.fleet_config import Route
from turmericrouter_dataplane.fleet_config import Workspace
from turmericrouter_dataplane.header_names import HeaderNames
from turmericrouter_dataplane.http_server import HttpRequest
from turmericrouter_dataplane.policy.gate_queue import RANK_COUNT
from turmericrouter_dataplane.policy.route_table import RouteTable
from turmericrouter_dataplane.request_head import RequestHeads

AUTHORIZATION = b'authorization'
_BEARER = b'bearer '
_PRIORITY_LEVELS = 4


def find_workspace(
    table: RouteTable, authorization: bytes
) -> Workspace | None:
    """Return the workspace of a bearer key, None if there is none."""
    scheme, key = authorization[: len(_BEARER)], authorization[len(_BEARER) :]
    if scheme.lower() != _BEARER:
        return None
    return table.find_workspace(key.strip())


class CallFactory:
    """Builds calls.

    Args:
        headers: Header names of the deployment.
        service: Service that requests of this host come from.
        parent_request_id: Returns the id of the request that makes a nested
            call, empty if the id of the call does not contain it.
    """

    def __init__(
        self,
        headers: HeaderNames,
        service: str,
        parent_request_id: Callable[[bytes], bytes],
    ) -> None:
        self._names = headers
        self._id_name = headers.request_id.lower()
        self._deadline_name = headers.deadline_ms.lower()
        self._heads = RequestHeads(headers, service)
        self._parent_request_id = parent_request_id

    def set_service(self, service: str) -> None:
        """Set the service that requests of this host come from."""
        self._heads = RequestHeads(self._names, service)

    def request_id(self, values: Mapping[bytes, bytes]) -> bytes:
        """Return the id of the caller's attempt, empty without one."""
        return values.get(self._id_name, b'')

    def make(
        self,
        request: HttpRequest,
        values: Mapping[bytes, bytes],
        route: Route,
        workspace: Workspace | None,
        now: float,
    ) -> Call:
        """Build the call of a request, and attach it to the request.

        Args:
            request: The request.
            values: Header values by lower-case name.
            route: Its route.
            workspace: Workspace of its key, None for a nested call.
            now: Monotonic seconds.
        """
        remaining_s = route.timeout_s
        deadline = values.get(self._deadline_name, b'')
        if deadline.isdigit():
            remaining_s = min(remaining_s, int(deadline) / 1000)
        call = Call(
            request,
            route,
            workspace=workspace.name if workspace else '',
            request_id=self.request_id(values),
            arrived_at=now,
            expires_at=now + remaining_s,
        )
        request.context = call
        call.is_nested = workspace is None
        if workspace is not None:
            call.rank = _rank(workspace, route)
        else:
            call.parent = self._parent_request_id(call.request_id)
        call.head = self._heads.build(request, call.workspace)
        call.digest = _digest(request, call.workspace)
        return call


def _rank(workspace: Workspace, route: Route) -> int:
    """Return the rank at gates; nested calls come before it, with rank 0."""
    level = min(workspace.priority, _PRIORITY_LEVELS - 1) * _PRIORITY_LEVELS
    level += min(route.priority, _PRIORITY_LEVELS - 1)
    return min(1 + level, RANK_COUNT - 1)


def _digest(request: HttpRequest, workspace: str) -> int:
    """Return a number of 63 bits that names equal requests of a workspace."""
    digest = xxhash.xxh3_64_intdigest(
        b'%b %b %b %b'
        % (workspace.encode(), request.method, request.target, request.body)
    )
    return digest & 0x7FFFFFFFFFFFFFFF

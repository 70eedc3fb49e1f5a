"""State of a request in the daemon where it entered."""

import math

from turmericrouter_core.verdict import Reason
from turmericrouter_dataplane.fleet_config import Route
from turmericrouter_dataplane.gate_job import GateJob
from turmericrouter_dataplane.http_server import HttpRequest
from turmericrouter_dataplane.links import Link
from turmericrouter_dataplane.timers import Deadline


class Call:
    """State of a request from its admission to its answer.

    Args:
        request: The request as it was read.
        route: Its route.
        workspace: Workspace of its key, empty on open routes.
        request_id: Id of the caller's attempt.
        arrived_at: Monotonic seconds.
        expires_at: When the answer is due, in monotonic seconds.
    """

    __slots__ = (
        'arrived_at', 'attempt', 'correlation', 'deadline', 'digest',
        'expires_at', 'head', 'host', 'is_done',
        'is_nested', 'job', 'last_reason', 'link', 'may_have_run', 'parent',
        'rank', 'rate_wait_s', 'request', 'request_id', 'route', 'sends',
        'service', 'tried', 'workspace',
    )  # fmt: skip

    def __init__(
        self,
        request: HttpRequest,
        route: Route,
        *,
        workspace: str,
        request_id: bytes,
        arrived_at: float,
        expires_at: float,
    ) -> None:
        self.request = request
        self.route = route
        self.workspace = workspace
        self.request_id = request_id
        self.arrived_at = arrived_at
        self.expires_at = expires_at
        self.rank = 0
        self.is_nested = False
        self.parent = b''
        self.service = ''
        self.head = b''
        self.digest = 0
        self.attempt = 0
        self.sends = 0
        self.tried: set[str] = set()
        self.host = ''
        self.link: Link | None = None
        self.correlation = 0
        self.job: GateJob | None = None
        self.deadline: Deadline | None = None
        self.may_have_run = False
        self.is_done = False
        self.last_reason = Reason.NO_TARGET
        # Shortest wait that a rate limit of a target asks for.
        self.rate_wait_s = math.inf

"""Names that a deployment uses in HTTP headers."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class HeaderNames:
    """Headers with a meaning for the request path, as they are written.

    Args:
        request_id: Id of one attempt of a caller.
        deadline_ms: Time in milliseconds that the caller still waits.
        target_id: Id of the target that is to run the request.
        workspace: Name of the workspace that the key belongs to.
        caller_service: Service of the host where the request began.
        not_run: Marks an answer of a target that did not run the request.
        load: Running and waiting requests and slots of a target.
        signature: Marks an answer as made by a target.
        rate_limit: Requests a second that a target takes from all hosts.
        leaving: Set to 1 in the answers of a target that leaves.
    """

    request_id: bytes
    deadline_ms: bytes
    target_id: bytes
    workspace: bytes
    caller_service: bytes
    not_run: bytes
    load: bytes
    signature: bytes
    rate_limit: bytes
    leaving: bytes

"""Builds the request heads that are forwarded to targets."""

from turmericrouter_dataplane.dialect import HeaderNames
from turmericrouter_dataplane.http_server import HOP_BY_HOP_HEADERS
from turmericrouter_dataplane.http_server import HttpRequest

# Headers that are not forwarded: keys and those that the daemon handles.
_REMOVED_HEADERS = HOP_BY_HOP_HEADERS | {
    b'proxy-authorization',
    b'expect',
    b'authorization',
}
# Values of `Connection` that name no header.
_CONNECTION_OPTIONS = frozenset({b'keep-alive', b'close'})


class RequestHeads:
    """Builds heads without keys, hop headers and what callers may not set.

    Args:
        headers: Header names of the deployment.
        service: Service that requests of this host come from.
    """

    def __init__(self, headers: HeaderNames, service: str) -> None:
        self._workspace = headers.workspace
        self._caller_line = b'%b: %b\r\n' % (
            headers.caller_service,
            service.encode(),
        )
        self._skipped = _REMOVED_HEADERS | {
            headers.deadline_ms.lower(),
            headers.target_id.lower(),
            headers.workspace.lower(),
            headers.caller_service.lower(),
        }

    def build(self, request: HttpRequest, workspace: str) -> bytes:
        """Return the head without the lines that the gate adds.

        Args:
            request: The request as it was read.
            workspace: Workspace of its key, empty for none.
        """
        skipped = self._skipped
        named = self._named_by_connection(request)
        if named:
            skipped = skipped | named
        lines = [b'%b %b HTTP/1.1\r\n' % (request.method, request.target)]
        lines += [
            b'%b: %b\r\n' % (name, value)
            for lower, name, value in request.headers
            if lower not in skipped
        ]
        lines.append(self._caller_line)
        if workspace:
            lines.append(b'%b: %b\r\n' % (self._workspace, workspace.encode()))
        if request.has_body:
            lines.append(b'Content-Length: %d\r\n' % len(request.body))
        return b''.join(lines)

    @staticmethod
    def _named_by_connection(request: HttpRequest) -> frozenset[bytes]:
        """Return the headers that concern this connection only."""
        tokens = {
            token.strip().lower()
            for lower, _, value in request.headers
            if lower == b'connection'
            for token in value.split(b',')
        }
        return frozenset(tokens - _CONNECTION_OPTIONS)

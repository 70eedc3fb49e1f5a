"""Builds the request heads that are forwarded to targets."""

from turmericrouter_dataplane.header_names import HeaderNames
from turmericrouter_dataplane.http_server import HOP_BY_HOP_HEADERS
from turmericrouter_dataplane.http_server import HttpRequest

# Headers that are not forwarded: hop-by-hop headers, headers with keys, and
# those that the daemon handles.
_REMOVED_HEADERS = HOP_BY_HOP_HEADERS | {
    b'proxy-authorization',
    b'expect',
    b'authorization',
}
# Values of `Connection` that name no header.
_CONNECTION_OPTIONS = frozenset({b'keep-alive', b'close'})


class RequestHeads:
    """Builds request heads from the headers that may be forwarded.

    Keys, hop-by-hop headers and headers that callers may not set are left
    out.

    Args:
        headers: Header names of the deployment.
        service: Service that sends the requests of this host.
    """

    def __init__(self, headers: HeaderNames, service: str) -> None:
        self._workspace = headers.workspace
        self._caller_line = b'%b: %b\r\n' % (
            headers.caller_service,
            service.encode(),
        )
        self._removed_headers = _REMOVED_HEADERS | {
            headers.deadline_ms.lower(),
            headers.target_id.lower(),
            headers.workspace.lower(),
            headers.caller_service.lower(),
        }

    def build(self, request: HttpRequest, workspace: str) -> bytes:
        """Return the head without the lines that the gate adds.

        Args:
            request: The request as received.
            workspace: Workspace of the key of the request; empty for none.
        """
        removed = self._removed_headers
        hop_by_hop = self._connection_headers(request)
        if hop_by_hop:
            removed = removed | hop_by_hop
        lines = [b'%b %b HTTP/1.1\r\n' % (request.method, request.target)]
        lines += [
            b'%b: %b\r\n' % (name, value)
            for lower, name, value in request.headers
            if lower not in removed
        ]
        lines.append(self._caller_line)
        if workspace:
            lines.append(b'%b: %b\r\n' % (self._workspace, workspace.encode()))
        if request.has_body:
            lines.append(b'Content-Length: %d\r\n' % len(request.body))
        return b''.join(lines)

    @staticmethod
    def _connection_headers(request: HttpRequest) -> frozenset[bytes]:
        """Return the headers that `Connection` lists as hop-by-hop."""
        tokens = {
            token.strip().lower()
            for lower, _, value in request.headers
            if lower == b'connection'
            for token in value.split(b',')
        }
        return frozenset(tokens - _CONNECTION_OPTIONS)

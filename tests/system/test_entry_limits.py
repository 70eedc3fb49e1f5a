"""Malformed, oversized and excess requests that an entry must refuse."""

import asyncio
import json
import pathlib

from turmericrouter_core.config import Fleet as FleetRecord
from turmericrouter_core.config import Key
from turmericrouter_core.config import Route
from turmericrouter_core.config import Value
from turmericrouter_core.config import Workspace
from turmericrouter_core.identity import OperationId
from turmericrouter_core.verdict import Importance
from turmericrouter_standins.fleet import Fleet
from turmericrouter_standins.fleet import key_scope
from turmericrouter_standins.host import ENTRY_PORT
from turmericrouter_standins.host import Host
from turmericrouter_standins.host import ServiceSpec

KEY = 'key-of-the-north-ward'
VALUES: dict[str, Value | None] = {
    'fleet': FleetRecord(domains=('south', 'north')),
    'workspace/east': Workspace(rate_per_s=1000, burst=1000),
    key_scope(KEY): Key('east'),
    'route/works': Route('works', '/works', importance=Importance.LOW),
    'route/crew': Route('works', '/crew', importance=Importance.CRITICAL),
}
SETTINGS = {
    'entry': {
        'max_body_bytes': 2000,
        'read_timeout_s': 0.3,
        'max_in_flight': 10,
    }
}
HEAD = f'Host: x\r\nAuthorization: Bearer {KEY}\r\n'
TRUNCATED_REQUEST = (
    f'POST /works/1 HTTP/1.1\r\n{HEAD}Content-Length: 9\r\n\r\nabc'
)


async def _exchange(
    host: Host, data: str, *, send_eof: bool
) -> tuple[str, str]:
    """Send bytes and read until the entry closes the connection."""
    reader, writer = await asyncio.open_connection(host.ip, ENTRY_PORT)
    writer.write(data.encode('latin-1'))
    if send_eof:
        writer.write_eof()
    async with asyncio.timeout(20):
        reply = (await reader.read()).decode('latin-1')
    writer.close()
    head, _, body = reply.partition('\r\n\r\n')
    return head, body


def _request(request_line: str, headers: str = HEAD, body: str = '') -> str:
    return f'{request_line} HTTP/1.1\r\n{headers}\r\n{body}'


async def _check_refused(host: Host) -> None:
    long_header = f'{HEAD}X-Long: {"y" * 9000}\r\n'
    chunked = f'{HEAD}Transfer-Encoding: chunked\r\n'
    upgrade = f'{HEAD}Upgrade: h2c\r\nContent-Length: 1\r\n'
    cases = [
        ('GET / HTTP/1.1\r\nHost x\r\n\r\n', False, 400, 'malformed'),
        ('GET /works HTTP/1.1\r\nHost: x', True, 400, 'malformed'),
        (_request('GET /works', long_header), False, 431, 'headers-too-large'),
        (_request('GET /w' + 'x' * 9000), False, 431, 'headers-too-large'),
        (TRUNCATED_REQUEST, True, 400, 'body-truncated'),
        (TRUNCATED_REQUEST, False, 400, 'body-truncated'),
        (_request('POST /works', chunked, 'zz\r\n'), False, 400, 'malformed'),
        (_request('POST /works', upgrade, 'x'), False, 400, 'malformed'),
        (
            _request('POST /works', f'{HEAD}Content-Length: 3000\r\n', 'x'),
            False,
            413,
            'body-too-large',
        ),
    ]
    for data, send_eof, status, reason in cases:
        head, body = await _exchange(host, data, send_eof=send_eof)
        assert head.split()[1:2] == [str(status)], (data[:60], send_eof, head)
        assert head.count('HTTP/1.') == 1, (data[:60], head)
        assert 'turmeric-request-id: ' in head.lower()
        assert 'content-type: application/problem+json' in head.lower()
        assert 'turmeric-verdict: not-run' in head.lower()
        problem = json.loads(body)
        assert (problem['reason'], problem['status']) == (reason, status)


async def _check_connection_is_kept(host: Host) -> None:
    # If a refused request has no unread bytes, its connection stays open and
    # the next request on it is answered.
    close = f'{HEAD}Connection: close\r\n'
    data = _request('GET /works/../x') + _request('GET /works?echo=b', close)
    head, body = await _exchange(host, data, send_eof=False)
    assert head.startswith('HTTP/1.1 400 ')
    assert 'HTTP/1.1 200 ' in body
    assert '"echo": "b"' in body


async def _check_daemon_paths(fleet: Fleet, host: Host) -> None:
    minted = await fleet.call(host, '/turmeric/operations', method='POST')
    assert minted.status == 201
    operation = OperationId.parse(minted.json()['operation_id'])
    assert operation.domain_index == 1
    health = await fleet.call(host, '/turmeric/health')
    assert (health.status, health.json()['status']) == (200, 'serving')
    assert (await fleet.call(host, '/turmeric/else')).status == 404


async def _check_in_flight_limit(fleet: Fleet, host: Host) -> None:
    # Guards against an entry that accepts more than `max_in_flight`, and
    # against a limit that refuses the most important requests first.
    calls = [
        fleet.call(host, '/works/1?work_ms=3000', key=KEY) for _ in range(14)
    ]
    tasks = [asyncio.ensure_future(call) for call in calls]
    first = asyncio.as_completed(tasks)
    for _ in range(6):
        await next(first)
    important = await fleet.call(host, '/crew/1', key=KEY)
    assert important.status == 200
    replies = await asyncio.gather(*tasks)
    refused = [reply for reply in replies if reply.status != 200]
    assert len(refused) == 6
    for reply in refused:
        assert (reply.status, reply.verdict) == (503, 'not-run')
        assert reply.reason == 'no-room'
    waits = [int(reply.headers['Retry-After']) for reply in refused]
    assert max(waits) > 1


async def _check(directory: pathlib.Path) -> None:
    services = [ServiceSpec('works')]
    async with Fleet(
        directory, ['north'], services, settings=SETTINGS
    ) as fleet:
        await fleet.publish(VALUES)
        await fleet.wait_until_served('/works/1', key=KEY)
        host = fleet.hosts[0]
        served = len(fleet.ledger(host))
        await _check_refused(host)
        assert len(fleet.ledger(host)) == served
        await _check_connection_is_kept(host)
        await _check_daemon_paths(fleet, host)
        await _check_in_flight_limit(fleet, host)
        log = host.daemon.output.read_text()
        assert 'Traceback' not in log
        assert KEY not in log


def test_bad_requests_are_refused_and_connections_stay_safe(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against missing or double answers and keys in the log."""
    asyncio.run(_check(tmp_path))

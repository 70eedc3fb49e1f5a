"""A planned stop answers or refuses every request that was read.

The callers keep sending on open connections until the process is gone, which
also covers the moment at which its last request ends.
"""

import asyncio
import collections
import dataclasses
import pathlib
import signal

import pytest

from platform_fleet import Fleet
from platform_fleet import Host
from platform_fleet import KEY
from platform_fleet import make_config
from platform_fleet import run_fleet

_CALLERS = 12
# Settings of the fleet: the process is killed this long after SIGTERM.
_GRACE_S = 6.0


@dataclasses.dataclass(frozen=True)
class _Sent:
    """A request and what came back.

    Args:
        request_id: Its id.
        status: Status of the answer, 0 without a complete one.
    """

    request_id: str
    status: int


async def _read_answer(reader: asyncio.StreamReader) -> tuple[int, bool]:
    """Return the status, and whether the connection stays open."""
    head = await reader.readuntil(b'\r\n\r\n')
    lines = head.decode('latin-1').lower().split('\r\n')
    headers = dict(line.split(': ', 1) for line in lines[1:] if ': ' in line)
    await reader.readexactly(int(headers['content-length']))
    status = int(lines[0].split()[1])
    return status, headers.get('connection') != 'close'


async def _send_until_refused(
    host: Host,
    name: str,
    pause_s: float,
    sent: list[_Sent],
    *,
    route: str = 'open',
    ends: asyncio.Event | None = None,
) -> None:
    """Send requests, over one connection while it lasts, until none opens.

    Args:
        host: Host of the daemon.
        name: Start of the ids of the requests.
        pause_s: Time between an answer and the next request.
        sent: Gets the requests.
        route: Route of the requests.
        ends: Set if no more requests are to be sent.
    """
    number = 0
    while ends is None or not ends.is_set():
        try:
            reader, writer = await asyncio.open_connection(
                '127.0.0.1', host.port
            )
        except OSError:
            return
        is_kept = True
        while is_kept and not (ends and ends.is_set()):
            number += 1
            request_id = f'{name}-{number}'
            writer.write(
                f'GET /{route}/{request_id} HTTP/1.1\r\nHost: api.example\r\n'
                f'X-Request-Id: {request_id}\r\n'
                f'Authorization: Bearer {KEY}\r\n'
                'X-Request-Deadline: 3000\r\n\r\n'.encode()
            )
            try:
                status, is_kept = await _read_answer(reader)
            except (OSError, asyncio.IncompleteReadError):
                status, is_kept = 0, False
            sent.append(_Sent(request_id, status))
            await asyncio.sleep(pause_s)
        writer.close()


@pytest.mark.parametrize('work_s', [0.0, 0.4])
@pytest.mark.parametrize('pause_s', [0.0, 0.01])
def test_requests_sent_until_the_end_of_a_stop_are_answered(
    tmp_path: pathlib.Path, work_s: float, pause_s: float
) -> None:
    """Guards against a stop that drops requests it has passed on."""

    async def scenario(fleet: Fleet) -> None:
        entry, other = fleet.hosts
        other.upstream.work_s = work_s
        sent: list[_Sent] = []
        callers = [
            asyncio.create_task(
                _send_until_refused(entry, f'c{number}', pause_s, sent)
            )
            for number in range(_CALLERS)
        ]
        await asyncio.sleep(0.3)
        entry.send_signal(signal.SIGTERM)
        async with asyncio.timeout(_GRACE_S):
            assert await entry.wait_for_exit() == 0
            await asyncio.gather(*callers)
        runs = {run.request_id for run in other.upstream.runs}
        assert any(each.status == 200 for each in sent)
        # The load exceeds the rate of the workspace at times.
        assert {each.status for each in sent} <= {200, 429, 503, 0}
        refused = {
            each.request_id for each in sent if each.status in (429, 503)
        }
        assert not refused & runs, 'a refused request has run'
        lost = {each.request_id for each in sent if each.status == 0}
        assert not lost & runs, 'a request that has run got no answer'

    async def work() -> None:
        async with run_fleet(tmp_path) as fleet:
            await scenario(fleet)

    asyncio.run(work())


def _check(sent: list[_Sent], hosts: list[Host]) -> None:
    """Check requests that may run once; all have an answer or did not run."""
    runs = collections.Counter(
        run.request_id for host in hosts for run in host.upstream.runs
    )
    assert any(each.status == 200 for each in sent)
    # The load exceeds the rate of the workspace at times.
    assert {each.status for each in sent} <= {200, 429, 503, 0}
    for each in sent:
        assert runs[each.request_id] == (each.status == 200), each


@pytest.mark.parametrize(('targets', 'work_s'), [(1, 0.4), (2, 0.0)])
def test_requests_at_a_peer_that_stops_are_answered(
    tmp_path: pathlib.Path, targets: int, work_s: float
) -> None:
    """Guards against requests that are lost while their target's host stops.

    The daemon at which they entered serves on.
    """

    async def scenario(fleet: Fleet) -> None:
        entry, stopping, *_ = fleet.hosts
        for host in fleet.hosts:
            host.upstream.work_s = work_s
        sent: list[_Sent] = []
        ends = asyncio.Event()
        callers = [
            asyncio.create_task(
                _send_until_refused(
                    entry, f'c{number}', 0.0, sent, route='book', ends=ends
                )
            )
            for number in range(_CALLERS)
        ]
        await asyncio.sleep(0.3)
        stopping.send_signal(signal.SIGTERM)
        async with asyncio.timeout(_GRACE_S):
            assert await stopping.wait_for_exit() == 0
        await asyncio.sleep(0.3)
        ends.set()
        await asyncio.gather(*callers)
        assert all(each.status for each in sent)
        _check(sent, fleet.hosts)

    async def work() -> None:
        async with run_fleet(
            tmp_path, ('design', *['works'] * targets)
        ) as fleet:
            await scenario(fleet)

    asyncio.run(work())


@pytest.mark.parametrize(('delay_s', 'has_store'), [(0.0, True), (1.0, False)])
def test_hosts_that_stop_at_once_answer_the_requests_of_each_other(
    tmp_path: pathlib.Path, delay_s: float, has_store: bool
) -> None:
    """Guards against requests that are lost between two stops.

    Both hosts serve callers, and each has the target of the other's callers.
    """

    async def scenario(fleet: Fleet) -> None:
        sent: list[_Sent] = []
        for host in fleet.hosts:
            host.upstream.work_s = 0.4
        callers = [
            asyncio.create_task(
                _send_until_refused(
                    host, f'{route}{number}', 0.0, sent, route=route
                )
            )
            for host, route in zip(fleet.hosts, ('book', 'edit'), strict=True)
            for number in range(_CALLERS // 2)
        ]
        await asyncio.sleep(0.3)
        if not has_store:
            await fleet.store.stop()
        for host in fleet.hosts:
            host.send_signal(signal.SIGTERM)
            await asyncio.sleep(delay_s)
        async with asyncio.timeout(_GRACE_S):
            for host in fleet.hosts:
                assert await host.wait_for_exit() == 0
            await asyncio.gather(*callers)
        _check(sent, fleet.hosts)

    async def work() -> None:
        async with run_fleet(tmp_path) as fleet:
            document = make_config(2)
            document['routes']['rows'].append(
                ['edit', 'api.example', '/edit/', 'non_idempotent', 2, 1, 0,
                 2, False, 'design']
            )  # fmt: skip
            fleet.publish(document)
            await fleet.wait_for_status(fleet.hosts[1], '/edit/warm')
            await scenario(fleet)

    asyncio.run(work())


async def _send_long(fleet: Fleet, host: Host, work_ms: int) -> int:
    """Return the status of a request with a long time limit."""
    status, _, _ = await fleet.request(
        host,
        f'/book/work-{work_ms}',
        method='POST',
        headers={'X-Request-Deadline': '9000'},
    )
    return status


async def _allow_long_requests(fleet: Fleet, host: Host) -> None:
    document = make_config(2)
    names = document['routes']['columns']
    for row in document['routes']['rows']:
        row[names.index('timeout_s')] = 10
    fleet.publish(document)
    async with asyncio.timeout(_GRACE_S):
        while await fleet.gauge(host, 'config_version') < 2:
            await asyncio.sleep(0.05)


def test_signals_during_a_stop_do_not_shorten_it(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a repeated signal that ends the process at once.

    New settings do not change a stop that has begun either.
    """

    async def scenario(fleet: Fleet) -> None:
        entry = fleet.hosts[0]
        await _allow_long_requests(fleet, entry)
        request = asyncio.create_task(_send_long(fleet, entry, 4000))
        await asyncio.sleep(0.2)
        entry.send_signal(signal.SIGTERM)
        text = entry.settings.read_text()
        entry.settings.write_text(text.replace('grace_s=6', 'grace_s=1'))
        for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGINT):
            await asyncio.sleep(0.3)
            entry.send_signal(number)
        assert await request == 200
        assert await entry.wait_for_exit() == 0
        assert len(entry.log_lines('stopping')) == 1
        assert entry.log_lines('reloaded')

    async def work() -> None:
        async with run_fleet(tmp_path) as fleet:
            await scenario(fleet)

    asyncio.run(work())


def test_stop_has_the_grace_time_of_the_last_reload(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a stop that is longer than the platform waits."""
    grace_s = 2.4

    async def scenario(fleet: Fleet) -> None:
        entry = fleet.hosts[0]
        await _allow_long_requests(fleet, entry)
        text = entry.settings.read_text()
        entry.settings.write_text(
            text.replace('grace_s=6', f'grace_s={grace_s}')
        )
        entry.send_signal(signal.SIGHUP)
        request = asyncio.create_task(_send_long(fleet, entry, 8000))
        await asyncio.sleep(0.2)
        entry.send_signal(signal.SIGTERM)
        async with asyncio.timeout(grace_s):
            assert await request == 502
            assert await entry.wait_for_exit() == 0

    async def work() -> None:
        async with run_fleet(tmp_path) as fleet:
            await scenario(fleet)

    asyncio.run(work())

"""A planned stop answers or refuses every request that was read.

The callers keep sending on open connections until the process is gone, which
also covers the moment at which its last request ends.
"""

import asyncio
import dataclasses
import pathlib
import signal

import pytest

from platform_fleet import Fleet
from platform_fleet import Host
from platform_fleet import KEY
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
    host: Host, name: str, pause_s: float, sent: list[_Sent]
) -> None:
    """Send requests, over one connection while it lasts, until none opens."""
    number = 0
    while True:
        try:
            reader, writer = await asyncio.open_connection(
                '127.0.0.1', host.port
            )
        except OSError:
            return
        is_kept = True
        while is_kept:
            number += 1
            request_id = f'{name}-{number}'
            writer.write(
                f'GET /open/{request_id} HTTP/1.1\r\nHost: api.example\r\n'
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

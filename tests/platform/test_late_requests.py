"""A planned stop ends each request that it took with a complete answer.

A request that runs at a busy upstream keeps the stop going, and requests with
long time limits arrive late in the grace time.
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


@dataclasses.dataclass(frozen=True)
class _Late:
    """A request and when it is sent.

    Args:
        request_id: Its id.
        path: Its path; `work-N` in it is the upstream's time in milliseconds.
        sent_at_s: Seconds after SIGTERM.
        has_key: Whether it comes from a caller; other calls are nested.
    """

    request_id: str
    path: str
    sent_at_s: float
    has_key: bool = True


def _make_config() -> dict[str, object]:
    """Return a configuration with time limits above the grace time.

    `call` and `near` are for nested calls that must not run twice, and `near`
    is served by the stopping host's own upstream.
    """
    names = ['name', 'hostname', 'path_prefix', 'route_type', 'timeout_s',
             'target_latency_s', 'priority', 'max_attempts',
             'allow_anonymous', 'service']  # fmt: skip
    rows = [
        ['read', 'api.example', '/read/', 'idempotent', 20, 1, 2, 2, False,
         'design'],
        ['book', 'api.example', '/book/', 'non_idempotent', 20, 1, 0, 2,
         False, 'works'],
        ['open', 'api.example', '/open/', 'idempotent', 20, 1, 1, 2, True,
         'works'],
        ['call', 'api.example', '/call/', 'non_idempotent', 20, 1, 1, 2, True,
         'works'],
        ['near', 'api.example', '/near/', 'non_idempotent', 20, 1, 1, 2, True,
         'design'],
    ]  # fmt: skip
    return make_config(2, routes={'columns': names, 'rows': rows})


async def _send(host: Host, late: _Late) -> int:
    """Send a request after its time; return the status of its answer.

    Returns:
        0 without a complete answer, -1 if no connection opened.
    """
    await asyncio.sleep(late.sent_at_s)
    try:
        reader, writer = await asyncio.open_connection('127.0.0.1', host.port)
    except OSError:
        return -1
    key = f'Authorization: Bearer {KEY}\r\n' if late.has_key else ''
    writer.write(
        f'POST {late.path} HTTP/1.1\r\nHost: api.example\r\n'
        f'X-Request-Id: {late.request_id}\r\n{key}Content-Length: 0\r\n'
        'X-Request-Deadline: 15000\r\n\r\n'.encode()
    )
    try:
        head = (await reader.readuntil(b'\r\n\r\n')).decode().lower()
        length = head.partition('content-length: ')[2].partition('\r\n')[0]
        await reader.readexactly(int(length))
    except (OSError, asyncio.IncompleteReadError):
        return 0
    finally:
        writer.close()
    return int(head.split()[1])


def _stop_with(
    folder: pathlib.Path,
    requests: list[_Late],
    *,
    grace_s: float = 6.0,
    running: str = '/book/work-12000',
) -> tuple[dict[str, int], collections.Counter[str], Host]:
    """Stop the host of the callers while it gets requests.

    Args:
        folder: Where settings and output are kept.
        requests: What is sent after the signal.
        grace_s: Time until the daemon is killed.
        running: Path of a request that is sent before the signal, with the
            id `before`.

    Returns:
        Status by request id, runs by request id, and the stopped host.
    """
    statuses: dict[str, int] = {}
    runs: collections.Counter[str] = collections.Counter()
    stopped: list[Host] = []

    async def scenario(fleet: Fleet) -> None:
        entry, other = fleet.hosts
        stopped.append(entry)
        fleet.publish(_make_config())
        await fleet.wait_for_status(entry, '/call/warm', key=None)
        before = asyncio.create_task(
            _send(entry, _Late('before', running, 0.0))
        )
        await asyncio.sleep(0.3)
        entry.send_signal(signal.SIGTERM)
        tasks = [asyncio.create_task(_send(entry, each)) for each in requests]
        async with asyncio.timeout(grace_s):
            assert await entry.wait_for_exit() == 0
        for each, task in zip(requests, tasks, strict=True):
            statuses[each.request_id] = await task
        statuses['before'] = await before
        for host in (entry, other):
            runs.update(run.request_id for run in host.upstream.runs)

    async def work() -> None:
        async with run_fleet(folder, grace_s=grace_s) as fleet:
            await scenario(fleet)

    asyncio.run(work())
    return statuses, runs, stopped[0]


@pytest.mark.parametrize('route', ['open', 'call', 'near'])
def test_nested_call_with_long_limit_ends_within_the_stop(
    tmp_path: pathlib.Path, route: str
) -> None:
    """Guards against a nested call that has more time than the stop."""
    path = f'/{route}/work-3000'
    late = [
        _Late(f'n-{number}', path, 3.1 + number / 10, has_key=False)
        for number in range(4)
    ]
    statuses, runs, _ = _stop_with(tmp_path, late)
    for each in late:
        assert statuses[each.request_id] == 504
        assert runs[each.request_id] == 1


def test_request_within_the_notice_ends_within_the_stop(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a caller's request that has more time than the stop."""
    late = [
        _Late(f'r-{number}', '/book/work-8000', 1.0 + number / 4)
        for number in range(5)
    ]
    late.append(_Late('quick', '/book/work-300', 2.2))
    statuses, runs, _ = _stop_with(tmp_path, late)
    assert statuses.pop('quick') == 200
    for each in late[:-1]:
        assert statuses[each.request_id] == 504
        assert runs[each.request_id] == 1


@pytest.mark.parametrize('route', ['open', 'call', 'near'])
def test_nested_call_that_cannot_be_served_in_time_is_refused_unsent(
    tmp_path: pathlib.Path, route: str
) -> None:
    """Guards against a call that is passed on shortly before the end."""
    path = f'/{route}/work-900'
    late = [
        _Late(f'n-{number}', path, 4.0 + number / 8, has_key=False)
        for number in range(6)
    ]
    statuses, runs, _ = _stop_with(tmp_path, late)
    for each in late:
        assert statuses[each.request_id] == 503
        assert not runs[each.request_id]


@pytest.mark.parametrize('route', ['open', 'book', 'near'])
def test_request_that_outlasts_the_stop_is_told_that_it_may_have_run(
    tmp_path: pathlib.Path, route: str
) -> None:
    """Guards against a connection that closes without an answer."""
    statuses, runs, host = _stop_with(
        tmp_path, [], running=f'/{route}/work-12000'
    )
    assert statuses == {'before': 502}
    assert runs['before'] == 1
    (line,) = host.log_lines('stopped')
    assert ' cut=1 oldest_cut_s=5.' in line


@pytest.mark.parametrize('route', ['book', 'near'])
def test_short_grace_gives_requests_most_of_its_time(
    tmp_path: pathlib.Path, route: str
) -> None:
    """Guards against a stop that ends at once since its grace is short."""
    statuses, runs, _ = _stop_with(
        tmp_path, [], grace_s=1.2, running=f'/{route}/work-900'
    )
    assert statuses == {'before': 200}
    assert runs['before'] == 1


def test_short_grace_leaves_time_for_the_last_answers(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a stop that takes callers' requests until its end."""
    late = [
        _Late(f'r-{number}', '/book/work-8000', number / 10)
        for number in range(12)
    ]
    statuses, runs, _ = _stop_with(tmp_path, late, grace_s=2.4)
    assert statuses['r-0'] == 504
    for each in late:
        status = statuses[each.request_id]
        assert status in (504, 503)
        assert runs[each.request_id] == (status == 504)

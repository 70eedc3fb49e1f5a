"""Tests of the request path with real daemons and platform stand-ins."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import json
import pathlib
import signal
import subprocess
import sys
import time

import aiohttp
import pytest

from platform_fleet import Fleet
from platform_fleet import Host
from platform_fleet import make_config
from platform_fleet import ROOT
from platform_fleet import run_fleet
from standin_store import Fault
from turmericrouter_operator import log_trace

Scenario = Callable[[Fleet], Awaitable[None]]


def run_scenario(
    folder: pathlib.Path,
    scenario: Scenario,
    services: tuple[str, ...] = ('design', 'works'),
) -> None:
    async def work() -> None:
        async with run_fleet(folder, services) as fleet:
            await scenario(fleet)

    asyncio.run(work())


def test_request_reaches_the_target_of_another_host(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against keys, forged headers or changed bytes at a target."""

    async def scenario(fleet: Fleet) -> None:
        entry, other = fleet.hosts
        status, body, headers = await fleet.request(
            entry,
            '/book/a%20b/?q=%2F',
            method='POST',
            data=b'{"x": 1}',
            headers={
                'X-Tenant': 'forged',
                'X-Caller-Service': 'forged',
                'X-Target-Instance': 'forged',
                'X-Other': 'kept',
            },
        )
        run = other.upstream.runs[-1]
        assert status == 200
        assert body == b'answer to ' + run.request_id.encode()
        assert headers['X-Server-Signature'].startswith('i-host-1.')
        assert run.path == '/book/a%20b/?q=%2F'
        assert run.body == b'{"x": 1}'
        assert run.headers['X-Tenant'] == 'east'
        assert run.headers['X-Caller-Service'] == 'design'
        assert run.headers['X-Target-Instance'] == 'i-host-1'
        assert run.headers['X-Other'] == 'kept'
        assert int(run.headers['X-Request-Deadline']) <= 2000
        assert 'Authorization' not in run.headers

    run_scenario(tmp_path, scenario)


def test_refused_request_has_not_run(tmp_path: pathlib.Path) -> None:
    """Guards against refusals of requests that have run."""

    async def scenario(fleet: Fleet) -> None:
        entry, other = fleet.hosts
        assert (await fleet.request(entry, '/read/1', key='no'))[0] == 401
        assert (await fleet.request(entry, '/read/1', key=None))[0] == 401
        assert (await fleet.request(entry, '/none/1'))[0] == 404
        assert (await fleet.request(entry, '/open/1', key=None))[0] == 200
        other.upstream.is_shedding = True
        runs = len(other.upstream.runs)
        status, _, headers = await fleet.request(
            entry, '/book/1', method='POST'
        )
        assert status == 503
        assert float(headers['Retry-After']) > 0
        assert len(other.upstream.runs) == runs
        await _until(lambda: bool(entry.log_lines('request_refused')))

    run_scenario(tmp_path, scenario)


def test_failed_non_idempotent_request_is_not_retried(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a second run of a request that may have run."""

    async def scenario(fleet: Fleet) -> None:
        entry = fleet.hosts[0]
        status, _, _ = await fleet.request(entry, '/book/crash', method='POST')
        runs = [
            run
            for host in fleet.hosts
            for run in host.upstream.runs
            if 'crash' in run.path
        ]
        assert status == 502
        assert len(runs) == 1

    run_scenario(tmp_path, scenario, ('design', 'works', 'works'))


def test_failed_idempotent_request_is_retried_at_another_target(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against failures that a second target would have avoided."""

    async def scenario(fleet: Fleet) -> None:
        entry = fleet.hosts[0]
        await fleet.request(entry, '/open/crash')
        tried = [
            sum('crash' in run.path for run in host.upstream.runs)
            for host in fleet.hosts
        ]
        assert sorted(tried) == [0, 1, 1]

    run_scenario(tmp_path, scenario, ('design', 'works', 'works'))


def test_configuration_and_withdrawn_key_take_effect(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a return to an older version or a withdrawn key.

    An older version and an undecodable one are published after the newest.
    """

    async def scenario(fleet: Fleet) -> None:
        entry = fleet.hosts[0]
        document = make_config(version=5)
        document['tenants']['rows'][0][1] = ['another']
        fleet.publish(document)
        await fleet.wait_for_status(entry, '/read/1', 401)
        fleet.publish(make_config(version=4))
        fleet.store.put('keyed.op', 'config', b'{"version": 9')
        await asyncio.sleep(0.3)
        assert (await fleet.request(entry, '/read/1'))[0] == 401
        assert (await fleet.request(entry, '/read/1', key='another'))[0] == 200
        assert entry.log_lines('config_refused')

    run_scenario(tmp_path, scenario)


def test_newest_version_is_read_after_compaction(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a version that is lost when the log is compacted.

    The version is published, and the log compacted, while reads fail.
    """

    async def scenario(fleet: Fleet) -> None:
        entry = fleet.hosts[0]
        fleet.store.fault = Fault.RESET
        fleet.publish(make_config(version=2, routes=_renamed_routes()))
        fleet.store.compact('keyed.op')
        await asyncio.sleep(0.3)
        fleet.store.fault = Fault.NONE
        await fleet.wait_for_status(entry, '/renamed/1')

    run_scenario(tmp_path, scenario)


def test_restarted_daemon_serves_while_the_store_is_down(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a start that needs the store although peers have it all.

    A daemon restarts while the store refuses all calls.
    """

    async def scenario(fleet: Fleet) -> None:
        entry, other = fleet.hosts
        fleet.store.fault = Fault.BUSY
        entry.send_signal(signal.SIGKILL)
        await entry.wait_for_exit()
        entry.launch()
        await fleet.wait_for_status(entry, '/open/1')
        await fleet.wait_for_status(entry, '/read/1')
        await fleet.wait_for_status(other, '/read/1')

    run_scenario(tmp_path, scenario)


def test_lost_answers_of_the_store_do_not_delay_the_start(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a start that waits for an acknowledgement forever.

    The store appends the record but resets the connection.
    """

    async def scenario(fleet: Fleet) -> None:
        entry, other = fleet.hosts
        fleet.store.fault = Fault.LOSE_ANSWERS
        other.send_signal(signal.SIGKILL)
        await other.wait_for_exit()
        other.launch()
        await fleet.wait_for_status(entry, '/open/1')

    run_scenario(tmp_path, scenario)


def test_leaving_target_gets_no_new_work(tmp_path: pathlib.Path) -> None:
    """Guards against requests to a target that announced that it leaves."""

    async def scenario(fleet: Fleet) -> None:
        entry, leaving = fleet.hosts[0], fleet.hosts[1]
        assert await leaving.upstream.drain() == 200
        runs = len(leaving.upstream.runs)
        for number in range(10):
            answer = await fleet.request(entry, f'/open/{number}')
            assert answer[0] == 200
        assert len(leaving.upstream.runs) == runs

    run_scenario(tmp_path, scenario, ('design', 'works', 'works'))


def test_restarted_daemon_keeps_a_target_leaving(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against new requests to a leaving target after a restart.

    The daemon beside the target is killed and started again.
    """

    async def scenario(fleet: Fleet) -> None:
        entry, leaving = fleet.hosts[0], fleet.hosts[1]
        await leaving.upstream.drain()
        await asyncio.sleep(0.4)
        leaving.send_signal(signal.SIGKILL)
        await leaving.wait_for_exit()
        runs = len(leaving.upstream.runs)
        leaving.launch()
        await fleet.wait_for_status(leaving, '/read/1')
        for number in range(10):
            await fleet.request(entry, f'/open/{number}')
        assert len(leaving.upstream.runs) == runs

    run_scenario(tmp_path, scenario, ('design', 'works', 'works'))


def test_departure_outlives_a_restart_during_a_store_outage(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a left target that an older record brings back.

    The target departs while the store is down, so the store keeps the record
    of before; then its daemon is killed and reads that record.
    """

    async def scenario(fleet: Fleet) -> None:
        entry, leaving = fleet.hosts[0], fleet.hosts[1]
        leaving.upstream.stop_announcing()
        fleet.store.fault = Fault.BUSY
        await leaving.upstream.depart()
        await asyncio.sleep(0.4)
        leaving.send_signal(signal.SIGKILL)
        await leaving.wait_for_exit()
        fleet.store.fault = Fault.NONE
        runs = len(leaving.upstream.runs)
        leaving.launch()
        await fleet.wait_for_status(leaving, '/read/1')
        for number in range(10):
            await fleet.request(entry, f'/open/{number}')
            await fleet.request(leaving, f'/open/{number}')
        assert len(leaving.upstream.runs) == runs

    run_scenario(tmp_path, scenario, ('design', 'works', 'works'))


def test_stop_cuts_off_no_request(tmp_path: pathlib.Path) -> None:
    """Guards against a planned stop that cuts off requests in flight."""

    async def scenario(fleet: Fleet) -> None:
        entry, other = fleet.hosts
        other.upstream.work_s = 0.8
        pending = [
            asyncio.create_task(fleet.request(entry, f'/open/{number}'))
            for number in range(5)
        ]
        await asyncio.sleep(0.2)
        entry.send_signal(signal.SIGTERM)
        assert [(await each)[0] for each in pending] == [200] * 5
        url = f'http://127.0.0.1:{entry.ready_port}/-/ready'
        async with (
            aiohttp.ClientSession() as session,
            session.get(url) as answer,
        ):
            assert answer.status == 503
        late = await fleet.request(entry, '/open/late')
        assert late[0] == 200
        assert await entry.wait_for_exit() == 0
        assert entry.log_lines('stopped')

    run_scenario(tmp_path, scenario)


def test_work_ends_when_its_caller_disconnects(tmp_path: pathlib.Path) -> None:
    """Guards against targets that work for callers that disconnected."""

    async def scenario(fleet: Fleet) -> None:
        entry, other = fleet.hosts
        other.upstream.work_s = 1.5
        for method, path in (('GET', '/open/1'), ('POST', '/book/1')):
            task = asyncio.create_task(
                fleet.request(entry, path, method=method)
            )
            await asyncio.sleep(0.3)
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
        await asyncio.sleep(0.3)
        # Only the idempotent request was cancelled.
        assert other.upstream.cancelled_count == 1

    run_scenario(tmp_path, scenario)


def test_request_is_answered_when_the_route_times_out(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against callers that wait longer than the time-out of a route."""

    async def scenario(fleet: Fleet) -> None:
        entry, other = fleet.hosts
        other.upstream.work_s = 30.0
        started_at = time.monotonic()
        status, _, _ = await fleet.request(entry, '/open/1')
        assert status in (502, 504)
        assert time.monotonic() - started_at >= 1.9

    run_scenario(tmp_path, scenario)


@pytest.mark.parametrize('name', ['SIGHUP', 'SIGTERM'])
def test_signals_do_not_break_a_daemon_that_is_starting(name: str) -> None:
    """Guards against signals whose default action ends a starting daemon."""
    # The import of uvloop fails, and the signal follows. At that point the
    # process has its handlers for the start, but not those of the daemon.
    script = (
        'import os, runpy, signal, sys\n'
        'sys.modules["uvloop"] = None\n'
        'try:\n'
        '    runpy.run_path("platform/daemon.py", run_name="__main__")\n'
        'except ImportError:\n'
        f'    os.kill(os.getpid(), signal.{name})\n'
    )
    ended = subprocess.run(
        [sys.executable, '-c', script], cwd=ROOT, check=False
    )
    assert ended.returncode == 0


def test_changed_settings_are_reloaded(tmp_path: pathlib.Path) -> None:
    """Guards against settings that end the daemon or need a signal.

    SIGHUP with a malformed file is refused; a changed file is reloaded
    without a signal.
    """

    async def scenario(fleet: Fleet) -> None:
        entry, other = fleet.hosts
        text = entry.settings.read_text()
        entry.settings.write_text('node_name = ')
        entry.send_signal(signal.SIGHUP)
        await _until(lambda: bool(entry.log_lines('settings_refused')))
        changed = text.replace('service = "design"', 'service = "design2"')
        entry.settings.write_text(changed)
        await _until(lambda: bool(entry.log_lines('reloaded')))
        await fleet.request(entry, '/open/1')
        caller = other.upstream.runs[-1].headers['X-Caller-Service']
        assert caller == 'design2'

    run_scenario(tmp_path, scenario)


def test_failed_request_can_be_explained(tmp_path: pathlib.Path) -> None:
    """Guards against refusals without a cause in log lines and metrics."""

    async def scenario(fleet: Fleet) -> None:
        entry, other = fleet.hosts
        other.upstream.is_shedding = True
        await fleet.request(
            entry, '/open/1', headers={'X-Request-Id': 'find-me'}
        )
        await _until(
            lambda: any(
                'find-me' in x for x in entry.log_lines('request_refused')
            )
        )
        attempts = entry.log_lines('request_attempt_failed')
        assert any(
            'find-me' in line and "reason='target-shed'" in line
            for line in attempts
        )
        url = f'http://127.0.0.1:{entry.metrics_port}/metrics'
        async with (
            aiohttp.ClientSession() as session,
            session.get(url) as answer,
        ):
            text = await answer.text()
        assert 'turmeric_requests_refused_total{route="open"' in text
        assert 'turmeric_request_seconds_bucket' in text

    run_scenario(tmp_path, scenario)


async def _until(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(10.0):
        while not condition():
            await asyncio.sleep(0.05)


def _renamed_routes() -> dict[str, list[object]]:
    routes = json.loads(json.dumps(make_config()['routes']))
    routes['rows'][0][2] = '/renamed/'
    return dict(routes)


def test_unusable_settings_fail_the_start(
    tmp_path: pathlib.Path, capfd: pytest.CaptureFixture[str]
) -> None:
    """Guards against a daemon that starts with incomplete settings."""

    async def work() -> tuple[int, str]:
        host = Host('host-0', 'design', 1, tmp_path)
        host.settings.write_text('node_name = "x"\n')
        host.launch()
        status = await host.wait_for_exit()
        return status, host.output.read_text()

    status, output = asyncio.run(work())
    assert status == 2
    assert output.startswith('event=settings_refused')
    assert len(output.splitlines()) == 1


def test_lost_request_is_explained_by_the_log(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a 502 without a cause in the log lines.

    The daemon of the target is killed while the request runs.
    """

    async def scenario(fleet: Fleet) -> None:
        entry, other = fleet.hosts
        other.upstream.work_s = 1.0
        task = asyncio.create_task(
            fleet.request(
                entry,
                '/book/1',
                method='POST',
                headers={'X-Request-Id': 'id-lost'},
            )
        )
        await _until(lambda: bool(other.upstream.runs[-1].path == '/book/1'))
        other.kill()
        status, _, _ = await task
        assert status == 502
        await _until(lambda: bool(entry.log_lines('request_refused')))
        lines = log_trace.read_lines([entry.output, other.output])
        events = [
            (each.line.event, each.is_request_line)
            for each in log_trace.trace_request('id-lost', lines)
        ]
        assert ('link_lost', False) in events
        assert ('request_attempt_failed', True) in events
        assert ('request_refused', True) in events

    run_scenario(tmp_path, scenario)

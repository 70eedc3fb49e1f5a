"""Stops of daemons with requests in flight, with real processes."""

import asyncio
import pathlib
import signal

import aiohttp

from turmericrouter_core.config import Route
from turmericrouter_core.config import Value
from turmericrouter_standins.fleet import Fleet
from turmericrouter_standins.host import Host
from turmericrouter_standins.host import Reply
from turmericrouter_standins.host import ServiceSpec

VALUES: dict[str, Value | None] = {
    'route/work': Route('design', '/work', open_to_all=True),
}
IN_FLIGHT = 12


def _fleet(directory: pathlib.Path) -> Fleet:
    return Fleet(
        directory,
        # Entries prefer their own domain, so both targets share one.
        ['north'],
        [ServiceSpec('design', targets_per_domain=2, slots=64)],
        settings={'stop': {'announce_s': 0.3}},
    )


def _count_runs(fleet: Fleet) -> int:
    return sum(len(fleet.ledger(host)) for host in fleet.hosts)


async def _wait_started(fleet: Fleet, count: int) -> None:
    """Wait until targets have started at least `count` requests."""
    for _ in range(1000):
        if _count_runs(fleet) >= count:
            return
        await asyncio.sleep(0.02)
    raise AssertionError('the requests did not start')


async def _wait_all_targets_used(fleet: Fleet) -> None:
    """Wait until every entry has sent requests to every target."""
    for entry in fleet.hosts:
        seen: set[str] = set()
        for _ in range(200):
            # Sequential calls may all go to the fastest target.
            replies = await asyncio.gather(
                *(fleet.call(entry, '/work') for _ in range(8))
            )
            for reply in replies:
                if reply.status == 200:
                    seen.add(reply.json()['target'])
            if len(seen) == len(fleet.hosts):
                break
            await asyncio.sleep(0.01)
        assert len(seen) == len(fleet.hosts)


async def _call_if_listening(fleet: Fleet, host: Host) -> Reply | None:
    try:
        return await fleet.call(host, '/work')
    except aiohttp.ClientConnectionError:
        # The listener is closed once all answers have been sent.
        return None


async def _check_graceful(directory: pathlib.Path) -> None:
    async with _fleet(directory) as fleet:
        await fleet.publish(VALUES)
        await _wait_all_targets_used(fleet)
        stopped, other = fleet.hosts
        before = _count_runs(fleet)
        calls = [
            asyncio.create_task(
                fleet.call(host, f'/work?work_ms=1500&echo={number}')
            )
            for number in range(IN_FLIGHT)
            for host in (stopped, other)
        ]
        await _wait_started(fleet, before + len(calls))
        stopped.daemon.send_signal(signal.SIGTERM)
        refused: list[Reply] = []
        while stopped.daemon.is_running:
            reply = await _call_if_listening(fleet, stopped)
            if reply is not None and reply.status != 200:
                refused.append(reply)
            await asyncio.sleep(0.05)
        replies = await asyncio.gather(*calls)
        assert [reply.status for reply in replies] == [200] * len(calls)
        assert [reply.json()['echo'] for reply in replies] == [
            str(number) for number in range(IN_FLIGHT) for _ in range(2)
        ]
        assert await stopped.daemon.wait(1) == 0
        assert refused
        assert {(r.verdict, r.reason) for r in refused} == {
            ('not-run', 'daemon-stopping')
        }
        assert 'event=daemon_stopped' in stopped.daemon.output.read_text()


def test_stop_cuts_no_request_in_flight(tmp_path: pathlib.Path) -> None:
    """Guards against answers lost at a planned stop of a daemon or peer."""
    asyncio.run(_check_graceful(tmp_path))


async def _check_forced(directory: pathlib.Path) -> None:
    async with _fleet(directory) as fleet:
        await fleet.publish(VALUES)
        await fleet.wait_until_served('/work')
        host = fleet.hosts[0]
        call = asyncio.create_task(fleet.call(host, '/work?work_ms=20000'))
        await asyncio.sleep(0.2)
        host.daemon.send_signal(signal.SIGTERM)
        await asyncio.sleep(0.5)
        assert host.daemon.is_running
        host.daemon.send_signal(signal.SIGTERM)
        assert await host.daemon.wait(10) == 3
        output = host.daemon.output.read_text()
        assert 'event=daemon_ended_by_second_signal' in output
        call.cancel()
        await asyncio.gather(call, return_exceptions=True)


def test_second_signal_ends_at_once(tmp_path: pathlib.Path) -> None:
    """Guards against a draining daemon that ignores further signals."""
    asyncio.run(_check_forced(tmp_path))

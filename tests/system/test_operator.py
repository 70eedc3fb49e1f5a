"""Operator commands against real daemons and the log service stand-in."""

import asyncio
import json
import os
import pathlib
import subprocess
import sys

from turmericrouter_core.config import CONFIG_STREAM
from turmericrouter_core.config import decode_record
from turmericrouter_core.config import Publication
from turmericrouter_operator.builder import Configuration
from turmericrouter_standins.fleet import Fleet
from turmericrouter_standins.host import ADMIN_PORT
from turmericrouter_standins.host import ServiceSpec

DOMAINS = ['north', 'south']
STALE_AFTER_S = 3.0


class Operator:
    """Runs turmericctl against a fleet and collects its output."""

    def __init__(self, fleet: Fleet) -> None:
        self.printed = ''
        self._environment = dict(
            os.environ,
            PYTHONPATH=os.pathsep.join(sys.path),
            TURMERIC_LOG_URL=fleet.log_url,
            TURMERIC_DAEMONS=f'{fleet.hosts[0].ip}:{ADMIN_PORT}',
        )

    async def run(
        self, *arguments: str, status: int = 0, text: str = ''
    ) -> str:
        done = await asyncio.to_thread(
            subprocess.run,
            [sys.executable, '-m', 'turmericrouter_operator', *arguments],
            env=self._environment,
            input=text,
            capture_output=True,
            text=True,
            timeout=60,
        )
        output = str(done.stdout + done.stderr)
        assert done.returncode == status, output
        self.printed += output
        return output


def _document() -> str:
    config = Configuration(domains=DOMAINS)
    config.workspace('east', rate_per_s=500, burst=500)
    config.route('catalogue', service='design', path='/catalogue')
    config.route(
        'deposit', service='design', path='/deposit', idempotent=False
    )
    return str(config)


async def _records(fleet: Fleet) -> list[Publication]:
    page = await fleet.log_client.read(CONFIG_STREAM, -1)
    records = [
        decode_record(record.decode_payload()) for record in page.records
    ]
    return [r for r in records if isinstance(r, Publication)]


async def _check_commands(directory: pathlib.Path) -> None:
    # Polls shorter than `stale_after_s` keep an idle log from being stale.
    async with Fleet(
        directory,
        DOMAINS,
        [ServiceSpec('design')],
        settings={
            'platform': {'long_poll_s': 0.5},
            'config': {'stale_after_s': STALE_AFTER_S},
        },
    ) as fleet:
        operator = Operator(fleet)
        # The log stores every append, but the answer is lost.
        await fleet.set_log_faults(lose_answers=1.0)
        published = await operator.run(
            'config', 'publish', '-', '--wait=20', text=_document()
        )
        assert len(await _records(fleet)) == 1
        for domain in DOMAINS:
            assert f'{domain}   yes' in published
        await fleet.set_log_faults(lose_answers=0.0)
        await fleet.wait_for_rosters()
        await _check_keys(fleet, operator)
        await _check_conflict(operator)
        await _check_targets(fleet, operator)
        await _check_unreachable(fleet, operator)


async def _check_keys(fleet: Fleet, operator: Operator) -> None:
    granted = await operator.run('key', 'grant', 'east', '--json', '--wait=20')
    key = json.loads(granted.splitlines()[0])['key']
    assert granted.count(key) == 1
    operator.printed = ''
    host = fleet.hosts[1]
    reply = await fleet.call(host, '/catalogue/1', key=key)
    assert reply.status == 200
    explained = await operator.run(
        'explain', reply.headers['Turmeric-Request-Id']
    )
    assert host.address in explained
    assert 'reason=served' in explained
    await operator.run('explain', 'f' * 32, status=1)
    await operator.run('key', 'withdraw', key, status=2)
    await operator.run(
        'key', 'withdraw', '--stdin', '--wait=20', text=key + '\n'
    )
    assert (await fleet.call(host, '/catalogue/1', key=key)).status == 401
    await operator.run('key', 'grant', 'east', '--stdin', status=1, text=key)
    await operator.run('key', 'grant', 'nobody', status=1)
    assert key not in operator.printed
    for path in fleet.directory.iterdir():
        assert key not in path.read_text(), path.name


async def _check_conflict(operator: Operator) -> None:
    shown = await operator.run('config', 'show')
    first = shown.replace('rate_per_s = 500.0', 'rate_per_s = 1.0')
    assert 'rate_per_s = 1.0' in await operator.run(
        'config', 'diff', '-', text=first
    )
    await operator.run('config', 'publish', '-', text=first)
    second = shown.replace('rate_per_s = 500.0', 'rate_per_s = 2.0')
    refused = await operator.run(
        'config', 'publish', '-', status=1, text=second
    )
    assert 'workspace/east' in refused
    await operator.run('config', 'check', '-', status=1, text='[shop]')
    await operator.run('config', 'publish', '/none', status=2)
    await operator.run('shop', status=2)


async def _check_targets(fleet: Fleet, operator: Operator) -> None:
    host = fleet.hosts[0]
    await operator.run('target', 'retire', host.name, '--wait=20')
    rows = json.loads(await operator.run('target', 'list', '--json'))
    states = {row['target']: row['state'] for row in rows}
    assert states == {host.name: 'retired', fleet.hosts[1].name: 'serving'}
    await operator.run('target', 'unretire', host.name, '--wait=20')
    # The target's next announcement brings it back.
    for _ in range(100):
        status = json.loads(await operator.run('status', '--json'))
        if status[0]['target_state'] == 'serving':
            break
        await asyncio.sleep(0.1)
    assert [row['target_state'] for row in status] == ['serving', 'serving']
    assert [row['domain'] for row in status] == DOMAINS
    assert not any(row['stale'] for row in status)
    await operator.run('quota')


async def _check_stale(operator: Operator) -> None:
    """Check that status lists routes refused while the log is down."""
    for _ in range(60):
        rows = json.loads(await operator.run('status', '--json', status=3))
        if rows[0]['stale']:
            break
        await asyncio.sleep(0.2)
    assert rows[0]['refused_routes'] == ['deposit']
    assert rows[0]['log_age_s'] > STALE_AFTER_S


async def _check_unreachable(fleet: Fleet, operator: Operator) -> None:
    dead = fleet.hosts[1]
    dead.daemon.kill()
    partial = await operator.run(
        'target', 'retire', 'old-one', '--wait=1', status=3
    )
    assert 'north   yes' in partial
    assert dead.address in partial
    assert 'unreachable' in await operator.run('status', status=3)
    await fleet.set_log_faults(down=True)
    await operator.run('config', 'show', status=3)
    await _check_stale(operator)
    fleet.hosts[0].daemon.kill()
    await operator.run('status', status=3)


def test_commands_report_what_happened(tmp_path: pathlib.Path) -> None:
    """Guards against duplicate publications, shown keys, wrong statuses."""
    asyncio.run(_check_commands(tmp_path))

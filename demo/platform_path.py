"""Shows the request path on stand-ins of the users' platform.

The exit status is 0 only if every step succeeds.
"""

import asyncio
import pathlib
import signal
import sys
import tempfile

sys.path.insert(
    0, str(pathlib.Path(__file__).parents[1] / 'tests' / 'platform')
)

from platform_fleet import Fleet  # noqa: E402
from platform_fleet import make_config  # noqa: E402
from platform_fleet import run_fleet  # noqa: E402


def _report_step(is_ok: bool, step: str) -> None:
    print(f'{"ok" if is_ok else "FAILED"}: {step}')
    if not is_ok:
        raise SystemExit(1)


async def _show_answers(fleet: Fleet) -> None:
    entry = fleet.hosts[0]
    for path, method in (('/read/1', 'GET'), ('/book/1', 'POST')):
        status, body, headers = await fleet.request(entry, path, method=method)
        signature = headers.get('X-Server-Signature', 'none')
        print(f'   {method} {path}: {status}, signed {signature}, {body!r}')
        _report_step(status == 200, f'{method} {path} is served')


async def _show_refusal(fleet: Fleet) -> None:
    entry = fleet.hosts[0]
    works = [h for h in fleet.hosts if h.upstream.service == 'works']
    for host in works:
        host.upstream.is_shedding = True
    runs = sum(len(host.upstream.runs) for host in works)
    status, body, headers = await fleet.request(
        entry, '/book/2', method='POST'
    )
    wait = headers.get('Retry-After')
    print(f'   POST /book/2: {status}, {body!r}, retry after {wait} s')
    after = sum(len(host.upstream.runs) for host in works)
    _report_step(status == 503 and after == runs, 'the refusal says not run')
    for host in works:
        host.upstream.is_shedding = False


async def _show_withdrawal(fleet: Fleet) -> None:
    document = make_config(version=2)
    document['tenants']['rows'][0][1] = ['another-key']
    fleet.publish(document)
    await fleet.wait_for_status(fleet.hosts[0], '/read/3', 401)
    _report_step(True, 'the withdrawn key is refused')
    await fleet.wait_for_status(fleet.hosts[0], '/read/3', key='another-key')
    _report_step(True, 'the new key is served')


async def _show_stop(fleet: Fleet) -> None:
    for host in fleet.hosts:
        host.send_signal(signal.SIGTERM)
    statuses = [await host.wait_for_exit() for host in fleet.hosts]
    _report_step(not any(statuses), 'all daemons stopped gracefully')


async def _demo(folder: pathlib.Path) -> None:
    services = ('design', 'works', 'design', 'works')
    domains = ('north', 'north', 'south', 'south')
    async with run_fleet(folder, services, domains) as fleet:
        print('4 daemons with their targets in 2 failure domains are ready')
        await _show_answers(fleet)
        await _show_refusal(fleet)
        await _show_withdrawal(fleet)
        await _show_stop(fleet)


def main() -> None:
    """Run the demo in a folder that is removed after it."""
    with tempfile.TemporaryDirectory() as folder:
        asyncio.run(_demo(pathlib.Path(folder)))


if __name__ == '__main__':
    main()

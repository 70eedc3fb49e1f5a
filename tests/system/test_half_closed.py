"""A caller that half-closes its connection while its request runs."""

import asyncio
import pathlib

from turmericrouter_core.config import Fleet as FleetRecord
from turmericrouter_core.config import Route
from turmericrouter_standins.fleet import Fleet
from turmericrouter_standins.host import ENTRY_PORT
from turmericrouter_standins.host import ServiceSpec

REQUEST = (
    b'POST /works/1?work_ms=2000 HTTP/1.1\r\nHost: x\r\n'
    b'Content-Length: 3\r\n\r\nabc'
)


async def _check(directory: pathlib.Path) -> None:
    async with Fleet(directory, ['north'], [ServiceSpec('works')]) as fleet:
        await fleet.publish(
            {
                'fleet': FleetRecord(domains=('north',)),
                'route/works': Route('works', '/works', open_to_all=True),
            }
        )
        await fleet.wait_until_served('/works/1')
        host = fleet.hosts[0]
        started = len(fleet.ledger(host))
        reader, writer = await asyncio.open_connection(host.ip, ENTRY_PORT)
        writer.write(REQUEST)
        async with asyncio.timeout(20):
            while len(fleet.ledger(host)) == started:
                await asyncio.sleep(0.01)
            writer.write_eof()
            reply = await reader.read()
        writer.close()
        assert reply == b''
        assert 'request_unreadable' not in host.daemon.output.read_text()


def test_request_that_runs_is_not_refused_as_cut_off(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against the verdict not-run for a request that has started."""
    asyncio.run(_check(tmp_path))

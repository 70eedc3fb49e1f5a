"""The connections to the store go silent for good, while new ones work."""

import asyncio
import json
import random
import time

from fault_proxy import FaultProxy
from platform_fleet import make_config
from platform_fleet import OPERATOR_TOPIC
from standin_store import StandinStore
from turmericrouter_dataplane.config_feed import ConfigFeed
from turmericrouter_dataplane.decision_log import DecisionLog
from turmericrouter_dataplane.policy.log_era import LogEra
from turmericrouter_dataplane.settings import Address
from turmericrouter_platform.configuration import decode_config
from turmericrouter_platform.log_store import LogStore

# A silent connection counts as reset for this time (`stable_window_s`); then
# the bound for changes holds again.
_STABLE_WINDOW_S = 3.0


def test_reader_notices_a_silent_connection_in_time() -> None:
    """Guards against a reader that waits for an answer that cannot come.

    Its read has just begun, and it is the only reader of its fleet.
    """

    async def work() -> None:
        store = StandinStore()
        await store.start()
        proxy = FaultProxy(0, store.port)
        await proxy.start()
        feed = ConfigFeed(
            LogStore(Address('127.0.0.1', proxy.port)),
            LogEra(),
            decode_config,
            lambda config: None,
            DecisionLog('host'),
            random.Random(1),
        )

        def publish(version: int) -> None:
            document = json.dumps(make_config(version=version)).encode()
            store.put(OPERATOR_TOPIC, 'config', document)

        async def wait_for(version: int) -> None:
            async with asyncio.timeout(10.0):
                while feed.version < version:
                    await asyncio.sleep(0.01)

        publish(1)
        task = asyncio.create_task(feed.run())
        await wait_for(1)
        # The wait of the first read is shorter; the next one is a whole one.
        calls = store.calls
        async with asyncio.timeout(5.0):
            while store.calls < calls + 2:
                await asyncio.sleep(0.005)
        proxy.silence()
        silent_at = time.monotonic()
        publish(2)
        await wait_for(2)
        assert time.monotonic() - silent_at < _STABLE_WINDOW_S
        task.cancel()
        proxy.stop()
        await store.stop()

    asyncio.run(work())

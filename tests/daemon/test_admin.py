"""Admin interface over loopback, with a stub of the quota service."""

import asyncio
from collections.abc import Sequence
import socket
from typing import Any
from unittest import mock

import pytest

from turmericrouter_client.admin import AdminClient
from turmericrouter_client.admin import QuotaRow
from turmericrouter_core.errors import SettingsError
from turmericrouter_daemon.admin import AdminHandlers
from turmericrouter_daemon.admin import AdminServer
from turmericrouter_daemon.decisions import DecisionLog
from turmericrouter_daemon.quota_service import QuotaUsage
from turmericrouter_daemon.settings import TlsSettings

USE = QuotaUsage('east', 10.0, 20.0, 3, 1.5, 2)
ROW = QuotaRow('east', 10.0, 20.0, 3, 1.5, 2.0)


class SingleRowQuota:
    """Quota view with one workspace."""

    def usage(self) -> Sequence[QuotaUsage]:
        return [USE]


def _runtime(port: int) -> Any:
    runtime = mock.Mock()
    runtime.settings.host.ip = '127.0.0.1'
    runtime.settings.host.admin_port = port
    runtime.settings.tls = TlsSettings()
    runtime.decisions = DecisionLog(mock.Mock())
    return runtime


async def _check(port: int) -> None:
    runtime = _runtime(port)
    handlers = AdminHandlers(
        runtime, mock.Mock(), mock.Mock(), mock.Mock(), SingleRowQuota()
    )
    server = AdminServer(runtime, handlers)
    await server.start()
    runtime.decisions.record('request_routed', request_id='a', depth=2)
    runtime.decisions.record('request_routed', request_id='b')
    async with AdminClient(f'127.0.0.1:{port}') as client:
        assert (await client.quota()).rows == (ROW,)
        (decision,) = (await client.explain('a')).decisions
        assert decision.event == 'request_routed'
        assert decision.fields == {'request_id': 'a', 'depth': '2'}
    with pytest.raises(SettingsError, match='cannot listen'):
        await AdminServer(runtime, handlers).start()
    await server.stop()


def test_quota_and_decisions_reach_the_operator() -> None:
    """Guards against lost fields, and two daemons on one admin port."""
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        port = probe.getsockname()[1]
    asyncio.run(_check(port))

"""Tests the answers to nested calls when the daemon fails."""

import asyncio
import socket
from types import SimpleNamespace
from typing import Any
from unittest import mock

import aiohttp

from turmericrouter_daemon.local_listener import LocalListener
from turmericrouter_daemon.settings import HostSettings
from turmericrouter_daemon.settings import PlatformSettings
from turmericrouter_daemon.settings import Settings

IP = '127.0.0.1'
SECRET = 'text-of-the-error'


def test_internal_error_of_a_nested_call_is_reported() -> None:
    """Guards against a lost answer, a false not-run and leaked error text."""

    async def check() -> None:
        with socket.create_server((IP, 0)) as probe:
            port = probe.getsockname()[1]
        host = HostSettings(IP, 'north', 1, 2, port, 4)
        settings = Settings(host, PlatformSettings('http://127.0.0.1:1'))
        runtime: Any = mock.Mock(settings=settings)
        gate = mock.Mock()
        gate.contexts.find.return_value = SimpleNamespace(request_id='r1')
        config: Any = mock.Mock()
        config.routes.find.side_effect = RuntimeError(SECRET)
        local = LocalListener(runtime, config, gate, mock.Mock(), mock.Mock())
        await local.start()
        try:
            async with (
                aiohttp.ClientSession() as session,
                session.get(f'http://{IP}:{port}/works/1') as response,
            ):
                assert response.status == 500
                headers = response.headers
                assert headers['Turmeric-Verdict'] == 'may-have-run'
                assert headers['Turmeric-Reason'] == 'internal-error'
                assert SECRET not in await response.text()
            assert SECRET not in str(runtime.log.mock_calls)
        finally:
            await local.stop()

    asyncio.run(check())

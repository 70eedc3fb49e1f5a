"""TLS of callers, peer links and the admin interface.

The test creates its own certificate authorities.
"""

import asyncio
import datetime
import ipaddress
import pathlib
import signal
import ssl

import aiohttp
from cryptography import x509
from cryptography.hazmat.primitives import hashes
from cryptography.hazmat.primitives import serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID
import pytest

from turmericrouter_client.admin import AdminClient
from turmericrouter_client.admin import AdminError
from turmericrouter_client.admin import AdminTls
from turmericrouter_core.config import Route
from turmericrouter_core.errors import SettingsError
from turmericrouter_daemon.settings import TlsSettings
from turmericrouter_daemon.tls import TlsContexts
from turmericrouter_standins.fleet import Fleet
from turmericrouter_standins.host import ADMIN_PORT
from turmericrouter_standins.host import ENTRY_PORT
from turmericrouter_standins.host import Host
from turmericrouter_standins.host import PEER_PORT
from turmericrouter_standins.host import ServiceSpec

SERVER_NAME = 'fleet.example'
_DAY = datetime.timedelta(days=1)


class Authority:
    """A CA that writes daemon certificates into a directory."""

    def __init__(self, name: str) -> None:
        self._key = ec.generate_private_key(ec.SECP256R1())
        self._name = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])
        self._certificate = self._sign(
            self._name, self._key, x509.BasicConstraints(True, 0)
        )

    def _sign(
        self,
        name: x509.Name,
        key: ec.EllipticCurvePrivateKey,
        *extensions: x509.ExtensionType,
    ) -> x509.Certificate:
        now = datetime.datetime.now(datetime.UTC)
        builder = (
            x509.CertificateBuilder()
            .subject_name(name)
            .issuer_name(self._name)
            .public_key(key.public_key())
            .serial_number(x509.random_serial_number())
            .not_valid_before(now - _DAY)
            .not_valid_after(now + _DAY)
        )
        for extension in extensions:
            builder = builder.add_extension(extension, critical=False)
        return builder.sign(self._key, hashes.SHA256())

    def write(self, directory: pathlib.Path) -> None:
        """Write ca.pem, host.pem and host.key."""
        directory.mkdir(exist_ok=True)
        key = ec.generate_private_key(ec.SECP256R1())
        names = x509.SubjectAlternativeName(
            [
                x509.DNSName(SERVER_NAME),
                x509.IPAddress(ipaddress.ip_address('127.0.0.1')),
            ]
        )
        host = self._sign(
            x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, 'host')]),
            key,
            names,
        )
        encoding = serialization.Encoding.PEM
        (directory / 'ca.pem').write_bytes(
            self._certificate.public_bytes(encoding)
        )
        (directory / 'host.pem').write_bytes(host.public_bytes(encoding))
        (directory / 'host.key').write_bytes(
            key.private_bytes(
                encoding,
                serialization.PrivateFormat.PKCS8,
                serialization.NoEncryption(),
            )
        )


def _client_context(
    directory: pathlib.Path, *, with_certificate: bool
) -> ssl.SSLContext:
    context = ssl.create_default_context(cafile=str(directory / 'ca.pem'))
    context.check_hostname = False
    if with_certificate:
        context.load_cert_chain(directory / 'host.pem', directory / 'host.key')
    return context


class TlsFleet(Fleet):
    """A fleet whose entries accept only TLS connections."""

    def __init__(self, directory: pathlib.Path, tls: pathlib.Path) -> None:
        files = {
            'entry_certificate': str(tls / 'host.pem'),
            'entry_key': str(tls / 'host.key'),
            'peer_certificate': str(tls / 'host.pem'),
            'peer_key': str(tls / 'host.key'),
            'fleet_ca': str(tls / 'ca.pem'),
        }
        super().__init__(
            directory,
            ['north'],
            [ServiceSpec('design'), ServiceSpec('works')],
            settings={'tls': files},
        )
        self.client = _client_context(tls, with_certificate=False)

    async def wait_for(self, url: str) -> None:
        if url.endswith(f':{ENTRY_PORT}'):
            for _ in range(500):
                try:
                    await self.get(url)
                except aiohttp.ClientError:
                    await asyncio.sleep(0.02)
                else:
                    return
        await super().wait_for(url)

    async def get(self, url: str) -> tuple[int, str]:
        async with self.session.get(
            url.replace('http:', 'https:'), ssl=self.client
        ) as response:
            return response.status, await response.text()


async def _read_first_byte(host: Host, context: ssl.SSLContext) -> bytes:
    """Return the first byte of a peer listener, or empty if it refuses."""
    writer = None
    try:
        reader, writer = await asyncio.open_connection(
            host.ip, PEER_PORT, ssl=context
        )
        return await asyncio.wait_for(reader.read(1), 5)
    except (OSError, ssl.SSLError):
        return b''
    finally:
        if writer is not None:
            writer.close()


async def _reload(fleet: Fleet, event: str) -> None:
    for host in fleet.hosts:
        count = host.daemon.output.read_text().count(event)
        host.daemon.send_signal(signal.SIGHUP)
        for _ in range(500):
            if host.daemon.output.read_text().count(event) > count:
                break
            await asyncio.sleep(0.02)
        else:
            raise AssertionError(f'{host.name}: no {event}')


async def _status(host: Host, tls: pathlib.Path) -> str:
    files = [str(tls / name) for name in ('host.pem', 'host.key', 'ca.pem')]
    credentials = AdminTls(*files, SERVER_NAME)
    address = f'{host.ip}:{ADMIN_PORT}'
    async with AdminClient(address, tls=credentials) as client:
        return (await client.status()).address


async def _check(directory: pathlib.Path) -> None:
    tls, old, other = (directory / n for n in ('tls', 'old', 'other'))
    authority = Authority('fleet CA')
    authority.write(tls)
    authority.write(old)
    Authority('another CA').write(other)
    (directory / 'run').mkdir()
    async with TlsFleet(directory / 'run', tls) as fleet:
        await fleet.publish(
            {'route/work': Route('design', '/work', open_to_all=True)}
        )
        entry = fleet.host('works-north-0')
        url = entry.entry_url + '/work'
        for _ in range(500):
            if (await fleet.get(url))[0] == 200:
                break
            await asyncio.sleep(0.02)
        await _check_client_certificates(entry, old, other)
        await _check_reload(fleet, entry, tls, old)


async def _check_client_certificates(
    host: Host, own: pathlib.Path, other: pathlib.Path
) -> None:
    trusting = _client_context(own, with_certificate=False)
    assert await _read_first_byte(
        host, _client_context(own, with_certificate=True)
    )
    assert not await _read_first_byte(host, trusting)
    trusting.load_cert_chain(other / 'host.pem', other / 'host.key')
    assert not await _read_first_byte(host, trusting)
    assert await _status(host, own) == host.address
    with pytest.raises(AdminError):
        await _status(host, other)
    async with AdminClient(f'{host.ip}:{ADMIN_PORT}') as plain:
        with pytest.raises(AdminError):
            await plain.status()


async def _check_reload(
    fleet: TlsFleet, entry: Host, tls: pathlib.Path, old: pathlib.Path
) -> None:
    slow = asyncio.create_task(
        fleet.get(entry.entry_url + '/work?work_ms=2000')
    )
    await asyncio.sleep(0.2)
    Authority('next CA').write(tls)
    await _reload(fleet, 'event=files_reloaded')
    assert await _read_first_byte(
        entry, _client_context(tls, with_certificate=True)
    )
    # The old CA is no longer trusted; callers get the new certificate.
    stale = _client_context(tls, with_certificate=False)
    stale.load_cert_chain(old / 'host.pem', old / 'host.key')
    assert not await _read_first_byte(entry, stale)
    assert (await slow)[0] == 200
    with pytest.raises(aiohttp.ClientConnectorCertificateError):
        async with aiohttp.ClientSession() as session:
            await session.get(
                entry.entry_url.replace('http:', 'https:'),
                ssl=_client_context(old, with_certificate=False),
            )
    assert await _status(entry, tls) == entry.address
    good = _client_context(tls, with_certificate=True)
    (tls / 'host.key').write_text('no key')
    await _reload(fleet, 'event=tls_reload_failed')
    # Open links and connections work after both reloads.
    assert (await fleet.get(entry.entry_url + '/work'))[0] == 200
    assert await _read_first_byte(entry, good)


def test_links_are_pinned_and_reload_drops_nothing(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against untrusted peers and connections closed by SIGHUP."""
    asyncio.run(_check(tmp_path))


def test_part_of_the_files_is_refused(tmp_path: pathlib.Path) -> None:
    """Guards against a listener without TLS after incomplete settings."""
    for part in (
        TlsSettings(entry_certificate='a'),
        TlsSettings(fleet_ca='a'),
        TlsSettings(entry_certificate='a', entry_key='b'),
    ):
        with pytest.raises(SettingsError, match='tls'):
            TlsContexts(part)

"""TLS contexts of the daemon, reloaded without dropping connections."""

import dataclasses
import ipaddress
import ssl

from turmericrouter_core.errors import SettingsError
from turmericrouter_daemon.settings import Settings
from turmericrouter_daemon.settings import TlsSettings


@dataclasses.dataclass(frozen=True, slots=True)
class _LoadedContexts:
    """Contexts from one load of the certificate and key files."""

    entry: ssl.SSLContext | None
    peer_server: ssl.SSLContext | None
    peer_client: ssl.SSLContext | None


class TlsContexts:
    """Contexts for callers and for links between daemons.

    Links use mutual TLS: both sides must present a certificate signed by
    the fleet CA. Host names are not checked, since daemons connect by IP
    address and the private CA signs only certificates of the fleet.

    A listener keeps the context it was opened with, but its SNI callback
    switches each handshake to the context loaded last. A reload can
    therefore also withdraw a CA, and open connections stay.

    Args:
        settings: Paths of the certificate and key files.

    Raises:
        SettingsError: A file cannot be read, or a certificate is set
            without its key or CA.
    """

    def __init__(self, settings: TlsSettings) -> None:
        self._settings = settings
        self._loaded = self._load()
        self.entry = self._loaded.entry
        self.peer_server = self._loaded.peer_server
        if self.entry:
            self.entry.sni_callback = self._switch_entry_context
        if self.peer_server:
            self.peer_server.sni_callback = self._switch_peer_context

    @property
    def peer_client(self) -> ssl.SSLContext | None:
        """Return the context for links that this daemon opens."""
        return self._loaded.peer_client

    def reload(self) -> None:
        """Reload the files; new connections use them.

        Raises:
            SettingsError: A file cannot be read; the old contexts stay.
        """
        self._loaded = self._load()

    def _switch_entry_context(
        self, connection: ssl.SSLObject, _: str | None, __: ssl.SSLContext
    ) -> None:
        if self._loaded.entry:
            connection.context = self._loaded.entry

    def _switch_peer_context(
        self, connection: ssl.SSLObject, _: str | None, __: ssl.SSLContext
    ) -> None:
        if self._loaded.peer_server:
            connection.context = self._loaded.peer_server

    def _load(self) -> _LoadedContexts:
        settings = self._settings
        _check_all_or_none(settings, 'entry_certificate', 'entry_key')
        _check_all_or_none(
            settings, 'peer_certificate', 'peer_key', 'fleet_ca'
        )
        try:
            return _LoadedContexts(
                _entry_context(settings),
                _peer_context(settings, ssl.PROTOCOL_TLS_SERVER),
                _peer_context(settings, ssl.PROTOCOL_TLS_CLIENT),
            )
        except (OSError, ssl.SSLError) as error:
            raise SettingsError(f'tls: {error}') from error


def _check_all_or_none(settings: TlsSettings, *names: str) -> None:
    given = [bool(getattr(settings, name)) for name in names]
    if any(given) and not all(given):
        raise SettingsError(f'tls: {", ".join(names)} must be set together')


def _entry_context(settings: TlsSettings) -> ssl.SSLContext | None:
    if not settings.entry_certificate:
        return None
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.load_cert_chain(settings.entry_certificate, settings.entry_key)
    return context


def _peer_context(
    settings: TlsSettings, protocol: int
) -> ssl.SSLContext | None:
    if not settings.peer_certificate:
        return None
    context = ssl.SSLContext(protocol)
    context.minimum_version = ssl.TLSVersion.TLSv1_3
    context.check_hostname = False
    context.verify_mode = ssl.CERT_REQUIRED
    context.load_cert_chain(settings.peer_certificate, settings.peer_key)
    context.load_verify_locations(settings.fleet_ca)
    if protocol == ssl.PROTOCOL_TLS_SERVER:
        # A resumed session would skip the verification against a new CA.
        context.num_tickets = 0
    return context


def check_plain_allowed(settings: Settings) -> None:
    """Reject plain TCP beyond loopback unless `tls.allow_plain` is set.

    Raises:
        SettingsError: `host.ip` is not loopback, and the entry or peer
            listener would be unencrypted.
    """
    if ipaddress.ip_address(settings.host.ip).is_loopback:
        return
    tls = settings.tls
    if tls.allow_plain:
        return
    if not (tls.entry_certificate and tls.peer_certificate):
        raise SettingsError(
            f'host.ip {settings.host.ip} is not loopback: set '
            'tls.entry_certificate and tls.peer_certificate, or '
            'tls.allow_plain = true'
        )

"""TLS contexts of the daemon, reloaded without dropping connections."""

import ipaddress
import ssl

from turmericrouter_core.errors import SettingsError
from turmericrouter_daemon.settings import Settings
from turmericrouter_daemon.settings import TlsSettings


def _server_context(certificate: str, key: str) -> ssl.SSLContext:
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.load_cert_chain(certificate, key)
    return context


class TlsContexts:
    """Contexts for callers and for links between daemons.

    Links use mutual TLS: both sides must show a certificate that the fleet
    CA has signed. Host names are not checked, since hosts are reached by IP
    address and the private CA signs nothing else.

    Args:
        settings: Files of certificates and keys.

    Raises:
        SettingsError: A file cannot be read, or only part of them is named.
    """

    def __init__(self, settings: TlsSettings) -> None:
        self._settings = settings
        self.entry: ssl.SSLContext | None = None
        self.peer_server: ssl.SSLContext | None = None
        self.peer_client: ssl.SSLContext | None = None
        try:
            self._build()
        except (OSError, ssl.SSLError) as error:
            raise SettingsError(f'tls: {error}') from error

    def reload(self) -> None:
        """Load the certificate files again, for new connections.

        Raises:
            SettingsError: A file cannot be read; the old ones stay.
        """
        settings = self._settings
        try:
            if self.entry:
                self.entry.load_cert_chain(
                    settings.entry_certificate, settings.entry_key
                )
            for context in (self.peer_server, self.peer_client):
                if context:
                    context.load_cert_chain(
                        settings.peer_certificate, settings.peer_key
                    )
                    context.load_verify_locations(settings.fleet_ca)
        except (OSError, ssl.SSLError) as error:
            raise SettingsError(f'tls: {error}') from error

    def _build(self) -> None:
        settings = self._settings
        if settings.entry_certificate:
            self.entry = _server_context(
                settings.entry_certificate, settings.entry_key
            )
        named = (
            settings.peer_certificate,
            settings.peer_key,
            settings.fleet_ca,
        )
        if not any(named):
            return
        if not all(named):
            raise SettingsError(
                'tls: peer_certificate, peer_key and fleet_ca go together'
            )
        self.peer_server = _server_context(
            settings.peer_certificate, settings.peer_key
        )
        self.peer_server.load_verify_locations(settings.fleet_ca)
        self.peer_server.verify_mode = ssl.CERT_REQUIRED
        self.peer_client = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
        self.peer_client.check_hostname = False
        self.peer_client.load_cert_chain(
            settings.peer_certificate, settings.peer_key
        )
        self.peer_client.load_verify_locations(settings.fleet_ca)


def check_plain_allowed(settings: Settings) -> None:
    """Refuse plain TCP beyond loopback unless a setting allows it.

    Raises:
        SettingsError: A listener would be open and unencrypted.
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

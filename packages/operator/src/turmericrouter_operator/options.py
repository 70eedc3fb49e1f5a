"""Options shared by the commands of `turmericctl`, and exit statuses."""

from collections.abc import AsyncIterator
import contextlib
import dataclasses
import enum
import getpass
from typing import Annotated

import cyclopts

from turmericrouter_client.admin import AdminTls
from turmericrouter_client.log_service import LogClient
from turmericrouter_core.errors import SettingsError
from turmericrouter_operator.fleet_client import FleetClient
from turmericrouter_operator.publisher import Publisher


class ExitStatus(enum.IntEnum):
    """Exit status of a command."""

    OK = 0
    REFUSED = 1
    USAGE = 2
    UNREACHABLE = 3


@cyclopts.Parameter(name='*')
@dataclasses.dataclass(frozen=True)
class Options:
    """Addresses and credentials of the fleet, and output format.

    Args:
        log_url: URL of the platform's log service.
        daemon: `IP:PORT` of the admin interface of a daemon; may be given
            several times. The others are found through it.
        tls_certificate: PEM file of the operator's certificate.
        tls_key: PEM file of its private key.
        tls_fleet_ca: PEM file of the fleet CA.
        tls_server_name: Name in daemons' certificates, if they do not carry
            IP addresses.
        as_json: Print JSON.
    """

    log_url: Annotated[str, cyclopts.Parameter(env_var='TURMERIC_LOG_URL')] = (
        ''
    )
    daemon: Annotated[
        tuple[str, ...], cyclopts.Parameter(env_var='TURMERIC_DAEMONS')
    ] = ()
    tls_certificate: Annotated[
        str, cyclopts.Parameter(env_var='TURMERIC_TLS_CERTIFICATE')
    ] = ''
    tls_key: Annotated[str, cyclopts.Parameter(env_var='TURMERIC_TLS_KEY')] = (
        ''
    )
    tls_fleet_ca: Annotated[
        str, cyclopts.Parameter(env_var='TURMERIC_TLS_FLEET_CA')
    ] = ''
    tls_server_name: Annotated[
        str, cyclopts.Parameter(env_var='TURMERIC_TLS_SERVER_NAME')
    ] = ''
    as_json: Annotated[
        bool, cyclopts.Parameter(name='--json', negative='')
    ] = False

    @property
    def author(self) -> str:
        """Return the user name to publish under, empty if it is unknown."""
        try:
            return getpass.getuser()
        except (KeyError, OSError):
            return ''

    def fleet_client(self) -> FleetClient:
        """Return a client of the fleet's daemons.

        Raises:
            SettingsError: An option is missing or wrong.
        """
        return FleetClient(self.daemon, tls=self._tls())

    @contextlib.asynccontextmanager
    async def publisher(self) -> AsyncIterator[Publisher]:
        """Open a connection to the log service and yield a publisher.

        Raises:
            SettingsError: The URL is missing.
        """
        if not self.log_url:
            raise SettingsError('--log-url or TURMERIC_LOG_URL is missing')
        client = LogClient(self.log_url)
        try:
            yield Publisher(client)
        finally:
            await client.close()

    def _tls(self) -> AdminTls | None:
        files = (self.tls_certificate, self.tls_key, self.tls_fleet_ca)
        if not any(files):
            return None
        if not all(files):
            raise SettingsError(
                '--tls-certificate, --tls-key and --tls-fleet-ca must be '
                'given together'
            )
        return AdminTls(*files, self.tls_server_name)

"""Runs the failure detection of a failure domain over UDP."""

import asyncio
import hashlib
import hmac
import ipaddress
import random
import struct
from typing import cast

import msgspec

from turmericrouter_core.clock import Subscription
from turmericrouter_core.codec import decode_message
from turmericrouter_core.codec import encode_message
from turmericrouter_core.errors import ProtocolError
from turmericrouter_core.errors import SettingsError
from turmericrouter_core.membership import Action
from turmericrouter_core.membership import Datagram
from turmericrouter_core.membership import Membership
from turmericrouter_core.membership import MembershipLimits
from turmericrouter_core.membership import SendDatagram
from turmericrouter_core.messages import Ack
from turmericrouter_core.messages import CODE_OF_TYPE
from turmericrouter_core.messages import Ping
from turmericrouter_core.messages import PingRequest
from turmericrouter_daemon.config_sync import ConfigSync
from turmericrouter_daemon.directory_sync import DirectorySync
from turmericrouter_daemon.gossip import Gossip
from turmericrouter_daemon.runtime import Runtime
from turmericrouter_daemon.settings import Settings

MAX_DATAGRAM_BYTES = 1_200
_HEADER = struct.Struct('>BQ')
_MAC_BYTES = hashlib.sha256().digest_size
_TICKS_PER_TIMEOUT = 4


def check_secret(settings: Settings) -> None:
    """Require a datagram secret unless the host address is loopback.

    Raises:
        SettingsError: The secret is missing.
    """
    ip = settings.host.ip
    if not settings.membership.secret and not (
        ipaddress.ip_address(ip).is_loopback
    ):
        raise SettingsError(
            f'membership.secret is required because host.ip {ip} is not a '
            'loopback address'
        )


class DatagramCodec:
    """Signs datagrams and checks those received.

    A datagram is an HMAC-SHA256, then a message type, the sender's time in
    milliseconds, and the message. A replayed datagram is refused once it
    is older than the bound. Before that it is harmless: it repeats an
    acknowledgement, or entries that merge to the same state.

    Args:
        secret: HMAC key shared by the fleet.
        max_age_ms: Largest accepted difference between the sender's time
            and the receiver's clock.
    """

    def __init__(self, secret: str, max_age_ms: int) -> None:
        self._secret = secret.encode()
        self._max_age_ms = max_age_ms

    def encode(self, message: Datagram, wall_s: float) -> bytes:
        """Return the signed datagram of a message."""
        header = _HEADER.pack(CODE_OF_TYPE[type(message)], int(wall_s * 1000))
        body = header + encode_message(message)
        return self._mac(body) + body

    def decode(self, data: bytes, wall_s: float) -> Datagram:
        """Verify a datagram and return its message.

        Raises:
            ProtocolError: The HMAC is wrong, or the datagram is too old or
                malformed.
        """
        if len(data) < _MAC_BYTES + _HEADER.size:
            raise ProtocolError(
                f'datagram of {len(data)} bytes is shorter than its header'
            )
        mac, body = data[:_MAC_BYTES], data[_MAC_BYTES:]
        if not hmac.compare_digest(mac, self._mac(body)):
            raise ProtocolError('datagram has a wrong HMAC')
        code, sent_ms = _HEADER.unpack_from(body)
        if abs(wall_s * 1000 - sent_ms) > self._max_age_ms:
            raise ProtocolError(
                f'timestamp of the datagram differs by more than '
                f'{self._max_age_ms} ms from the local clock'
            )
        message = decode_message(code, body[_HEADER.size :])
        if not isinstance(message, Ping | Ack | PingRequest):
            raise ProtocolError(
                f'message type {code} is not allowed in datagrams'
            )
        return message

    def _mac(self, body: bytes) -> bytes:
        return hmac.digest(self._secret, body, 'sha256')


class MembershipService(asyncio.DatagramProtocol):
    """Owns the UDP socket of the failure detection.

    Args:
        runtime: Services of the process.
        config: Source of the log age and offset that datagrams carry.
        directory: Merges the entries that change.
        gossip: Counts the control traffic sent.

    Raises:
        SettingsError: The secret is missing.
    """

    def __init__(
        self,
        runtime: Runtime,
        config: ConfigSync,
        directory: DirectorySync,
        gossip: Gossip,
    ) -> None:
        check_secret(runtime.settings)
        self._runtime = runtime
        self._config = config
        self._directory = directory
        self._gossip = gossip
        settings = runtime.settings.membership
        # A datagram may wait up to a probe period in the socket of a busy
        # receiver.
        max_age_ms = runtime.settings.operation.max_clock_skew_ms + int(
            settings.probe_period_s * 1000
        )
        self._codec = DatagramCodec(settings.secret, max_age_ms)
        self._membership = Membership(
            directory.directory,
            runtime.address,
            runtime.settings.host.domain,
            MembershipLimits(
                settings.probe_period_s,
                settings.probe_timeout_s,
                settings.indirect_probes,
                settings.suspicion_s,
            ),
            random.Random(runtime.rng.getrandbits(64)),
        )
        self._transport: asyncio.DatagramTransport | None = None
        self._timer: Subscription | None = None
        directory.on_forwarded_change(self._membership.enqueue)

    async def start(self) -> None:
        """Open the socket and start probing."""
        host = self._runtime.settings.host
        await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: self, local_addr=(host.ip, host.peer_port)
        )
        timeout_s = self._runtime.settings.membership.probe_timeout_s
        self._timer = self._runtime.timers.every(
            timeout_s / _TICKS_PER_TIMEOUT, self._tick, name='membership'
        )

    async def stop(self) -> None:
        """Stop probing and close the socket."""
        if self._timer is not None:
            self._timer.cancel()
        if self._transport is not None:
            self._transport.close()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport of the socket."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(
        self, data: bytes, addr: tuple[str | object, int]
    ) -> None:
        """Handle a datagram; drop it if it is invalid."""
        clock = self._runtime.clock
        try:
            message = self._codec.decode(data, clock.wall())
        except ProtocolError as error:
            self._runtime.metrics.incr('membership.dropped')
            self._runtime.log.debug('datagram_dropped', error=str(error))
            return
        if isinstance(message, Ping | Ack):
            self._config.handle_log_age(
                message.log_age_ms, message.config_offset
            )
        self._execute(self._membership.receive(message, clock.monotonic()))

    def error_received(self, exc: Exception) -> None:
        """Ignore ICMP errors; probes detect the members that are gone."""

    def _tick(self) -> None:
        self._execute(self._membership.tick(self._runtime.clock.monotonic()))

    def _execute(self, actions: tuple[Action, ...]) -> None:
        for action in actions:
            if isinstance(action, SendDatagram):
                self._send(action.address, action.message)
            else:
                self._directory.merge_entries(action.entries)

    def _send(self, address: str, message: Datagram) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        if isinstance(message, Ping | Ack):
            message = msgspec.structs.replace(
                message,
                log_age_ms=self._config.log_age_ms,
                config_offset=self._config.state.offset,
            )
        data = self._codec.encode(message, self._runtime.clock.wall())
        ip, _, port = address.rpartition(':')
        self._transport.sendto(data, (ip, int(port)))
        self._gossip.count_sent(len(data))

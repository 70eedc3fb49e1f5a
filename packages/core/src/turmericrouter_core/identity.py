"""Identifiers of hosts, requests and operations."""

import dataclasses
import random
import uuid

from turmericrouter_core.port import parse_port

REQUEST_ID_BITS = 128
CONTEXT_ID_BITS = 128
HASH_BUCKETS = 128
MAX_FAILURE_DOMAINS = 256

_UUID_VERSION = 7
_TIMESTAMP_SHIFT = 80
_DOMAIN_SHIFT = 54
_RANDOM_LOW_BITS = 54
_RANDOM_HIGH_BITS = 12


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class HostAddress:
    """IP address and TCP port of a daemon's peer listener."""

    ip: str
    port: int

    def __str__(self) -> str:
        return f'{self.ip}:{self.port}'

    @classmethod
    def parse(cls, text: str) -> 'HostAddress':
        """Read `IP:PORT`.

        Raises:
            ValueError: The text has no port, or one that is out of range.
        """
        ip, _, port = text.rpartition(':')
        if not ip:
            raise ValueError(f'{text!r} is not IP:PORT')
        return cls(ip, parse_port(port))


def new_request_id(rng: random.Random) -> str:
    """Return a random request id of 32 hexadecimal digits."""
    return f'{rng.getrandbits(REQUEST_ID_BITS):032x}'


def hash_bucket(request_id: str) -> int:
    """Return the shedding bucket, 0 to 127, of a top-level request id."""
    return int(request_id[-2:], 16) % HASH_BUCKETS


@dataclasses.dataclass(frozen=True, slots=True)
class OperationId:
    """Time-ordered id of a non-idempotent request, a UUIDv7.

    The first eight random bits after the variant hold the index of the
    home failure domain in the list of failure domains of the fleet.

    Args:
        text: Canonical text form.
        timestamp_ms: Milliseconds since the Unix epoch.
        domain_index: Index of the home failure domain, 0 to 255. Its
            daemons keep the record of the operation.
    """

    text: str
    timestamp_ms: int
    domain_index: int

    @classmethod
    def mint(
        cls, wall_s: float, domain_index: int, rng: random.Random
    ) -> 'OperationId':
        """Create an id.

        Args:
            wall_s: Seconds since the Unix epoch.
            domain_index: Index of the home failure domain.
            rng: Source of the random bits.

        Raises:
            ValueError: The index is out of range.
        """
        if not 0 <= domain_index < MAX_FAILURE_DOMAINS:
            raise ValueError(f'domain index {domain_index} is out of range')
        timestamp_ms = int(wall_s * 1000)
        value = timestamp_ms << _TIMESTAMP_SHIFT
        value |= _UUID_VERSION << 76
        value |= rng.getrandbits(_RANDOM_HIGH_BITS) << 64
        value |= 0b10 << 62
        value |= domain_index << _DOMAIN_SHIFT
        value |= rng.getrandbits(_RANDOM_LOW_BITS)
        return cls(str(uuid.UUID(int=value)), timestamp_ms, domain_index)

    @classmethod
    def parse(cls, text: str) -> 'OperationId':
        """Read an id.

        Raises:
            ValueError: The text is not a UUIDv7.
        """
        parsed = uuid.UUID(text)
        if parsed.version != _UUID_VERSION:
            raise ValueError(f'{text!r} is not a UUIDv7')
        domain_index = (parsed.int >> _DOMAIN_SHIFT) % MAX_FAILURE_DOMAINS
        return cls(str(parsed), parsed.int >> _TIMESTAMP_SHIFT, domain_index)

"""Settings of a daemon on the request path."""

import dataclasses

from turmericrouter_core.port import parse_port


@dataclasses.dataclass(frozen=True, slots=True)
class Address:
    """An IP address and a port."""

    ip: str
    port: int

    @classmethod
    def parse(cls, text: str) -> 'Address':
        """Read `IP:PORT`.

        Raises:
            ValueError: The text is no such address.
        """
        ip, colon, port = text.rpartition(':')
        if not colon or not ip:
            raise ValueError(f'{text!r} is not IP:PORT')
        return cls(ip, parse_port(port))

    def __str__(self) -> str:
        return f'{self.ip}:{self.port}'


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Settings that a daemon reads at its start.

    Args:
        host: Unique name of the host.
        domain: Failure domain of the host.
        service: Service of the target on this host.
        target: Address of the target.
        callers: Listener for callers and for calls of the target.
        ready: Listener for the readiness check.
        control: Listener for announcements of the target.
        peers: Listener for other daemons.
        advertised: Address under which other daemons reach that listener.
        metrics: Listener for metrics.
        log_service: Address of the platform's log service.
        stop_within_s: Time after SIGTERM until the process is killed.
        retry_ratio: Retries that a service may get for each request.
        retry_slack: Retries in 10 s that are allowed in addition.
    """

    host: str
    domain: str
    service: str
    target: Address
    callers: Address
    ready: Address
    control: Address
    peers: Address
    advertised: Address
    metrics: Address
    log_service: Address
    stop_within_s: float
    retry_ratio: float
    retry_slack: float

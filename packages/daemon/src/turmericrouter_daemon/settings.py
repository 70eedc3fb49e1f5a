"""Settings of the daemon, with their units, defaults and ranges.

Units are in the names. `settings_file` reads them; docs/OPERATIONS.md lists
them.
"""

from typing import Annotated
from typing import Literal

import msgspec

Port = Annotated[int, msgspec.Meta(ge=1, le=65535)]
PositiveFloat = Annotated[float, msgspec.Meta(gt=0)]
NonNegativeInt = Annotated[int, msgspec.Meta(ge=0)]
PositiveInt = Annotated[int, msgspec.Meta(ge=1)]
LogLevel = Literal['debug', 'info', 'warning', 'error']


class _Section(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Base of all sections; unknown names are errors."""


class HostSettings(_Section, frozen=True):
    """Where the daemon runs.

    Args:
        ip: IP address of the entry and peer listeners.
        domain: Name of the failure domain of the host.
        entry_port: Port for callers.
        peer_port: TCP and UDP port for other daemons.
        local_port: Port of the listener for the local target.
        admin_port: Port for operators, 0 for none.
        peers: `IP:PORT` of daemons to contact first, may be empty.
        local_ip: Loopback address of the listener for the local target.
        peer_listen_port: TCP port that is bound instead of `peer_port`,
            where traffic is forwarded from there; 0 for the same port.
    """

    ip: str
    domain: str
    entry_port: Port
    peer_port: Port
    local_port: Port
    admin_port: Annotated[int, msgspec.Meta(ge=0, le=65535)] = 0
    peers: tuple[str, ...] = ()
    local_ip: str = '127.0.0.1'
    peer_listen_port: Annotated[int, msgspec.Meta(ge=0, le=65535)] = 0


class PlatformSettings(_Section, frozen=True):
    """The platform's log service.

    Args:
        log_url: Base URL.
        timeout_s: Seconds to wait for an answer.
        long_poll_s: Seconds that a read waits for new records.
        retention_s: Seconds for which the service keeps records.
    """

    log_url: str
    timeout_s: PositiveFloat = 5.0
    long_poll_s: PositiveFloat = 10.0
    retention_s: PositiveFloat = 86_400.0


class EntrySettings(_Section, frozen=True):
    """Limits on callers.

    Args:
        max_body_bytes: Longest request body.
        max_line_bytes: Longest request line.
        max_field_bytes: Longest header field.
        read_timeout_s: Seconds for a caller to send a whole body.
        max_timeout_ms: Upper bound of `Turmeric-Timeout-Ms`.
        max_in_flight: Requests in flight at this entry; the last fifth is
            kept for the more important ones.
        idle_timeout_s: Seconds to wait for a complete request head on a
            connection.
    """

    max_body_bytes: PositiveInt = 1_048_576
    max_line_bytes: PositiveInt = 8190
    max_field_bytes: PositiveInt = 8190
    read_timeout_s: PositiveFloat = 10.0
    max_timeout_ms: PositiveInt = 60_000
    max_in_flight: PositiveInt = 1024
    idle_timeout_s: PositiveFloat = 75.0


class TargetSettings(_Section, frozen=True):
    """The local target.

    Args:
        connect_timeout_s: Seconds to open a connection.
        max_answer_bytes: Longest answer body.
        announcement_timeout_s: Seconds without an announcement after
            which the target counts as lost.
        connections: Upper bound of connections, 0 for the announced one.
    """

    connect_timeout_s: PositiveFloat = 1.0
    max_answer_bytes: PositiveInt = 8_388_608
    announcement_timeout_s: PositiveFloat = 5.0
    connections: NonNegativeInt = 0


class LogSettings(_Section, frozen=True):
    """Log output.

    Args:
        level: `debug`, `info`, `warning` or `error`.
        file: Path of the log file; empty for standard error.
        decisions: Whether to log a line per routing decision.
    """

    level: LogLevel = 'info'
    file: str = ''
    decisions: bool = True


class MetricsSettings(_Section, frozen=True):
    """Metrics by statsd over UDP; off without a host.

    Args:
        host: IP address of the statsd server.
        port: UDP port.
        prefix: Prefix of every metric.
    """

    host: str = ''
    port: Port = 8125
    prefix: str = 'turmeric'


class TlsSettings(_Section, frozen=True):
    """TLS; plain TCP is allowed on loopback or if `allow_plain` is set.

    Args:
        entry_certificate: PEM file for the entry listener.
        entry_key: PEM file of its private key.
        peer_certificate: PEM file for links between daemons.
        peer_key: PEM file of its private key.
        fleet_ca: PEM file of the CA that signs peers' certificates.
        allow_plain: Allow plain TCP beyond loopback.
    """

    entry_certificate: str = ''
    entry_key: str = ''
    peer_certificate: str = ''
    peer_key: str = ''
    fleet_ca: str = ''
    allow_plain: bool = False


class ConfigSettings(_Section, frozen=True):
    """Distribution of the configuration.

    Args:
        stale_after_s: Age of the last known log read in seconds after
            which the configuration counts as stale.
        readers_per_domain: Daemons of a domain that read the log.
        push_fanout: Members to which a new record is forwarded.
        pull_period_s: Seconds between two pulls from a random member.
    """

    stale_after_s: PositiveFloat = 10.0
    readers_per_domain: PositiveInt = 2
    push_fanout: PositiveInt = 4
    pull_period_s: PositiveFloat = 1.0


class QuotaSettings(_Section, frozen=True):
    """Quota tokens and the roster of their holders.

    Args:
        holders_per_domain: Maximum number of holders per failure domain.
        token_lifetime_ms: Milliseconds for which a drawn token is valid.
        draw_timeout_ms: Milliseconds to wait for a holder.
        max_wait_ms: Milliseconds that a request waits for a token that is
            due by then; 0 to refuse at once.
        fence_after_s: Seconds without the log after which a holder that
            sees at most half of its domain stops.
        takeover_after_s: Seconds after which a dead holder is replaced.
        max_pause_s: Longest pause of the event loop after which a holder
            continues without verifying the roster.
    """

    holders_per_domain: PositiveInt = 8
    token_lifetime_ms: PositiveInt = 250
    draw_timeout_ms: PositiveInt = 200
    max_wait_ms: NonNegativeInt = 100
    fence_after_s: PositiveFloat = 20.0
    takeover_after_s: PositiveFloat = 60.0
    max_pause_s: PositiveFloat = 5.0


class OperationSettings(_Section, frozen=True):
    """Single execution of non-idempotent requests.

    Args:
        retention_s: Seconds for which an operation is recorded.
        max_clock_skew_ms: Largest difference between the clocks of two
            hosts.
        max_id_ahead_ms: Largest time by which an id may be ahead of the
            clock.
        max_answer_bytes: Longest answer that is kept for replay.
        home_timeout_ms: Milliseconds to wait for the home daemon, which
            keeps the record of an operation.
        max_operations: Maximum number of operations that a home daemon
            records.
        max_answers_bytes: Maximum bytes of answers that a home daemon
            keeps.
    """

    retention_s: PositiveFloat = 900.0
    max_clock_skew_ms: NonNegativeInt = 500
    max_id_ahead_ms: NonNegativeInt = 500
    max_answer_bytes: PositiveInt = 65_536
    home_timeout_ms: PositiveInt = 1000
    max_operations: PositiveInt = 100_000
    max_answers_bytes: PositiveInt = 16_777_216


class MembershipSettings(_Section, frozen=True):
    """Failure detection inside a failure domain.

    Args:
        probe_period_s: Seconds between two probes.
        probe_timeout_s: Seconds to wait for an acknowledgement.
        indirect_probes: Members asked to probe one that did not reply.
        suspicion_s: Seconds after which a suspected member counts as
            dead.
        bridges_per_domain: Members that exchange directories with other
            domains.
        exchange_period_s: Seconds between two exchanges of a bridge.
        secret: Key of the HMAC on datagrams; empty only on loopback.
        expire_after_s: Seconds after which a dead member is removed;
            must be longer than any partition lasts.
    """

    probe_period_s: PositiveFloat = 1.0
    probe_timeout_s: PositiveFloat = 0.4
    indirect_probes: PositiveInt = 3
    suspicion_s: PositiveFloat = 4.0
    bridges_per_domain: PositiveInt = 3
    exchange_period_s: PositiveFloat = 1.0
    secret: str = ''
    expire_after_s: PositiveFloat = 21_600.0


class OverloadSettings(_Section, frozen=True):
    """Admission, shedding, retries and quarantine.

    Args:
        initial_limit: Concurrency limit of a target without known slots.
        max_limit: Upper bound of the concurrency limit.
        queue_per_limit: Queue length as a multiple of the limit.
        queue_delay_target_ms: Queue delay that counts as overload.
        queue_interval_ms: Interval for which the delay must persist.
        level_window_ms: Window of the admission level's controller.
        cold_start_s: Seconds over which the limit of a new target ramps.
        shedding: Whether to refuse by admission level.
        adaptive: Whether the concurrency limit adapts.
        max_retries: Extra attempts per top-level request.
        retry_ratio: Retries allowed per success.
        retry_floor_per_s: Retries a second allowed without successes.
        max_depth: Deepest call chain.
        quarantine_s: Seconds for which crash records are kept.
        quarantine_crashes: Number of crashes after which a request is
            blocked.
    """

    initial_limit: PositiveInt = 16
    max_limit: PositiveInt = 1000
    queue_per_limit: PositiveFloat = 4.0
    queue_delay_target_ms: PositiveFloat = 100.0
    queue_interval_ms: PositiveFloat = 100.0
    level_window_ms: PositiveFloat = 100.0
    cold_start_s: PositiveFloat = 5.0
    shedding: bool = True
    adaptive: bool = True
    max_retries: NonNegativeInt = 2
    retry_ratio: PositiveFloat = 0.1
    retry_floor_per_s: PositiveFloat = 1.0
    max_depth: PositiveInt = 16
    quarantine_s: PositiveFloat = 600.0
    quarantine_crashes: PositiveInt = 2


class StopSettings(_Section, frozen=True):
    """Graceful shutdown.

    Args:
        announce_s: Seconds between announcing the stop and refusing work.
        drain_s: Maximum seconds to wait for requests in flight.
    """

    announce_s: Annotated[float, msgspec.Meta(ge=0)] = 0.5
    drain_s: PositiveFloat = 30.0


class Settings(_Section, frozen=True):
    """All settings of one daemon."""

    host: HostSettings
    platform: PlatformSettings
    entry: EntrySettings = EntrySettings()
    target: TargetSettings = TargetSettings()
    config: ConfigSettings = ConfigSettings()
    quota: QuotaSettings = QuotaSettings()
    operation: OperationSettings = OperationSettings()
    membership: MembershipSettings = MembershipSettings()
    overload: OverloadSettings = OverloadSettings()
    log: LogSettings = LogSettings()
    metrics: MetricsSettings = MetricsSettings()
    tls: TlsSettings = TlsSettings()
    stop: StopSettings = StopSettings()

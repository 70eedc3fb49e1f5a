"""Settings of the daemon, with their units, defaults and ranges.

Units are in the names. `settings_file` reads them; docs/OPERATIONS.md lists
them.
"""

from typing import Annotated
from typing import Literal

import msgspec

Port = Annotated[int, msgspec.Meta(ge=1, le=65535)]
Positive = Annotated[float, msgspec.Meta(gt=0)]
NotNegative = Annotated[int, msgspec.Meta(ge=0)]
Count = Annotated[int, msgspec.Meta(ge=1)]
LogLevel = Literal['debug', 'info', 'warning', 'error']


class _Section(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Base of all sections; unknown names are refused."""


class HostSettings(_Section, frozen=True):
    """Where the daemon runs.

    Args:
        ip: IP address of the entry and peer listeners.
        domain: Failure domain of the host.
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
    timeout_s: Positive = 5.0
    long_poll_s: Positive = 10.0
    retention_s: Positive = 86_400.0


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
        idle_timeout_s: Seconds that a connection may wait for a whole
            request head.
    """

    max_body_bytes: Count = 1_048_576
    max_line_bytes: Count = 8190
    max_field_bytes: Count = 8190
    read_timeout_s: Positive = 10.0
    max_timeout_ms: Count = 60_000
    max_in_flight: Count = 1024
    idle_timeout_s: Positive = 75.0


class TargetSettings(_Section, frozen=True):
    """The local target.

    Args:
        connect_timeout_s: Seconds to open a connection.
        max_answer_bytes: Longest answer body.
        announcement_timeout_s: Seconds without an announcement after
            which the target counts as gone.
        connections: Upper bound of connections, 0 for the announced one.
    """

    connect_timeout_s: Positive = 1.0
    max_answer_bytes: Count = 8_388_608
    announcement_timeout_s: Positive = 5.0
    connections: NotNegative = 0


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
        stale_after_s: Seconds without word from the log after which the
            configuration may be stale.
        readers_per_domain: Daemons of a domain that read the log.
        push_fanout: Members that a new record is sent on to.
        pull_period_s: Seconds between two pulls from a random member.
    """

    stale_after_s: Positive = 10.0
    readers_per_domain: Count = 2
    push_fanout: Count = 4
    pull_period_s: Positive = 1.0


class QuotaSettings(_Section, frozen=True):
    """Quota tokens and the roster of their holders.

    Args:
        holders_per_domain: Most holder addresses per failure domain.
        token_lifetime_ms: Milliseconds for which a drawn token holds.
        draw_timeout_ms: Milliseconds to wait for a holder.
        max_wait_ms: Milliseconds that a request waits for a token that is
            due by then; 0 to refuse at once.
        fence_after_s: Seconds without the log after which a holder that
            sees at most half of its domain stops.
        takeover_after_s: Seconds after which a dead holder is replaced.
        max_pause_s: Longest pause of the event loop after which a holder
            goes on without asking.
    """

    holders_per_domain: Count = 8
    token_lifetime_ms: Count = 250
    draw_timeout_ms: Count = 200
    max_wait_ms: NotNegative = 100
    fence_after_s: Positive = 20.0
    takeover_after_s: Positive = 60.0
    max_pause_s: Positive = 5.0


class OperationSettings(_Section, frozen=True):
    """Single execution of non-idempotent requests.

    Args:
        retention_s: Seconds for which an operation is remembered.
        max_clock_skew_ms: Bound of the difference between two hosts'
            clocks.
        max_id_ahead_ms: How far an id may be stamped ahead of the clock.
        max_answer_bytes: Longest answer that is kept for replay.
        home_timeout_ms: Milliseconds to wait for an operation home.
        max_operations: Most operations that a home remembers.
        max_answers_bytes: Most bytes of answers that a home keeps.
    """

    retention_s: Positive = 900.0
    max_clock_skew_ms: NotNegative = 500
    max_id_ahead_ms: NotNegative = 500
    max_answer_bytes: Count = 65_536
    home_timeout_ms: Count = 1000
    max_operations: Count = 100_000
    max_answers_bytes: Count = 16_777_216


class MembershipSettings(_Section, frozen=True):
    """Failure detection inside a failure domain.

    Args:
        probe_period_s: Seconds between two probes.
        probe_timeout_s: Seconds to wait for an acknowledgement.
        indirect_probes: Members asked to probe on our behalf.
        suspicion_s: Seconds between suspicion and death.
        bridges_per_domain: Members that exchange directories with other
            domains.
        exchange_period_s: Seconds between two exchanges of a bridge.
        secret: Key of the HMAC on datagrams; empty only on loopback.
        expire_after_s: Seconds after which a dead member is forgotten;
            longer than any partition lasts.
    """

    probe_period_s: Positive = 1.0
    probe_timeout_s: Positive = 0.4
    indirect_probes: Count = 3
    suspicion_s: Positive = 4.0
    bridges_per_domain: Count = 3
    exchange_period_s: Positive = 1.0
    secret: str = ''
    expire_after_s: Positive = 21_600.0


class OverloadSettings(_Section, frozen=True):
    """Admission, shedding, retries and quarantine.

    Args:
        initial_limit: Concurrency limit of a target without known slots.
        max_limit: Upper bound of the concurrency limit.
        queue_per_limit: Queue length as a multiple of the limit.
        queue_delay_target_ms: Queue delay that counts as overload.
        queue_interval_ms: Interval for which the delay must stand.
        level_window_ms: Window of the admission level's controller.
        cold_start_s: Seconds over which the limit of a new target ramps.
        shedding: Whether to refuse by admission level.
        adaptive: Whether the concurrency limit adapts.
        max_retries: Extra attempts per top-level request.
        retry_ratio: Retries allowed per success.
        retry_floor_per_s: Retries a second allowed without successes.
        max_depth: Deepest call chain.
        quarantine_s: Seconds for which crash marks are kept.
        quarantine_crashes: Crashes that block a request.
    """

    initial_limit: Count = 16
    max_limit: Count = 1000
    queue_per_limit: Positive = 4.0
    queue_delay_target_ms: Positive = 100.0
    queue_interval_ms: Positive = 100.0
    level_window_ms: Positive = 100.0
    cold_start_s: Positive = 5.0
    shedding: bool = True
    adaptive: bool = True
    max_retries: NotNegative = 2
    retry_ratio: Positive = 0.1
    retry_floor_per_s: Positive = 1.0
    max_depth: Count = 16
    quarantine_s: Positive = 600.0
    quarantine_crashes: Count = 2


class StopSettings(_Section, frozen=True):
    """Graceful shutdown.

    Args:
        announce_s: Seconds between announcing the stop and refusing work.
        drain_s: Most seconds to wait for requests in flight.
    """

    announce_s: Annotated[float, msgspec.Meta(ge=0)] = 0.5
    drain_s: Positive = 30.0


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

"""A request at the gate."""

from collections.abc import Callable
import enum

from turmericrouter_dataplane.frames import Dispatch
from turmericrouter_dataplane.frames import Outcome
from turmericrouter_dataplane.http_client import HttpClientConnection
from turmericrouter_dataplane.timers import Deadline

ReplyCallback = Callable[[Outcome], None]


class Phase(enum.Enum):
    """Phase of a request at the gate."""

    WAITING = 'waiting'
    CONNECTING = 'connecting'
    RUNNING = 'running'
    DONE = 'done'


class GateJob:
    """One request at the gate."""

    __slots__ = ('connection', 'deadline', 'frame', 'wait_timer', 'peak_load',
                 'phase', 'received_at', 'reply', 'sent_at')  # fmt: skip

    def __init__(
        self, frame: Dispatch, reply: ReplyCallback, received_at: float
    ) -> None:
        self.frame = frame
        self.reply = reply
        self.received_at = received_at
        self.phase = Phase.WAITING
        self.connection: HttpClientConnection | None = None
        self.deadline: Deadline | None = None
        self.wait_timer: Deadline | None = None
        self.peak_load = 0.0
        self.sent_at = 0.0

    @property
    def is_done(self) -> bool:
        """Return whether the request has its outcome."""
        return self.phase is Phase.DONE

    @property
    def is_local(self) -> bool:
        """Return whether the request entered at this host.

        Only a request that came over a link has a correlation.
        """
        return not self.frame.correlation

    @property
    def has_started(self) -> bool:
        """Return whether the target may have seen the request."""
        return self.phase is Phase.RUNNING

    @property
    def expires_at(self) -> float:
        """Return when the answer is due, in monotonic seconds."""
        return self.received_at + self.frame.remaining_ms / 1000

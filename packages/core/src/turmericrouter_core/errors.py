"""Exceptions of turmericrouter."""


class TurmericError(Exception):
    """Base class of all turmericrouter exceptions."""


class SettingsError(TurmericError):
    """A setting is missing, unknown or out of range."""


class ConfigError(TurmericError):
    """A configuration record or document is invalid."""


class ConflictError(ConfigError):
    """A publication is based on a revision that is no longer current."""

    def __init__(self, scopes: tuple[str, ...]) -> None:
        super().__init__(
            'publication conflicts with newer changes of: ' + ', '.join(scopes)
        )
        self.scopes = scopes


class ProtocolError(TurmericError):
    """A peer sent a frame or message that does not follow the protocol."""


class FrameTooLargeError(ProtocolError):
    """A frame is longer than the agreed limit."""


class LinkError(TurmericError):
    """A link between two daemons failed."""


class NotSentError(LinkError):
    """The link failed before the frame left this process."""


class LinkLostError(LinkError):
    """The link failed after the frame may have left this process."""


class LogServiceError(TurmericError):
    """The platform's log service refused a request or could not be reached."""


class AppendUnknownError(LogServiceError):
    """An append got no answer, so the record may or may not be stored."""


class TargetError(TurmericError):
    """The local target did not return a complete answer."""


class TargetUnreachableError(TargetError):
    """Connecting to the target failed; nothing was sent."""


class TargetBrokenError(TargetError):
    """The target's connection broke while a request was in flight."""


class LinkTimeoutError(LinkLostError):
    """A peer did not answer in time; it may still handle the request."""


class AnswerTooLargeError(TargetError):
    """The target's answer is longer than the setting allows."""


class RequestInvalidError(TargetError):
    """A request cannot be written as HTTP; nothing was sent."""


class TargetStaleError(TargetError):
    """A reused keep-alive connection had been closed by the target."""


class AnswerInvalidError(TargetError):
    """The target's answer is not valid HTTP."""

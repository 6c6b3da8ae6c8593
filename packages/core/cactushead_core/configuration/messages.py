"""Messages and log records of configurations."""

from dataclasses import dataclass

from ..messages.base import Message, wire_type


@wire_type(135)
@dataclass(frozen=True, slots=True)
class ConfigurationRecord(Message):
    """A configuration in the replicated log and in its snapshot.

    Attributes:
        version: Its version; 0 in a snapshot without a configuration.
        source: Its bytes.
    """

    version: int
    source: bytes


@wire_type(130)
@dataclass(frozen=True, slots=True)
class SubmitConfiguration(Message):
    """An entry passes a checked configuration to the leader.

    Attributes:
        attempt: Number under which the entry waits.
        version: Its version.
        source: Its bytes.
    """

    attempt: int
    version: int
    source: bytes


@wire_type(131)
@dataclass(frozen=True, slots=True)
class SubmissionReply(Message):
    """The leader's answer.

    Attributes:
        attempt: Number of the request.
        stored: Whether a version at least as high is stored for good;
            otherwise the outcome is unknown.
    """

    attempt: int
    stored: bool


@wire_type(132)
@dataclass(frozen=True, slots=True)
class ConfigurationUpdate(Message):
    """A stored configuration, for those that hold an older one.

    Attributes:
        version: Its version.
        source: Its bytes.
    """

    version: int
    source: bytes


@wire_type(133)
@dataclass(frozen=True, slots=True)
class NewestRequest(Message):
    """An entry asks the leader which version is newest.

    Attributes:
        attempt: Number under which the entry waits.
    """

    attempt: int


@wire_type(134)
@dataclass(frozen=True, slots=True)
class NewestReply(Message):
    """The leader's answer, given under a valid lease only.

    Attributes:
        attempt: Number of the request.
        sure: Whether the lease was valid.
        version: The newest stored version, 0 for none.
        source: Its bytes.
    """

    attempt: int
    known: bool
    version: int
    source: bytes

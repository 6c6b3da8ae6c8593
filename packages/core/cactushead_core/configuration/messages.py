"""Messages and log records that carry configurations."""

from dataclasses import dataclass

from ..messages.base import Message, wire_type


@wire_type(135)
@dataclass(frozen=True, slots=True)
class ConfigurationRecord(Message):
    """A configuration in the replicated log and in its snapshot.

    Attributes:
        version: Version of the configuration; 0 in a snapshot without one.
        source: Bytes of the configuration.
    """

    version: int
    source: bytes


@wire_type(130)
@dataclass(frozen=True, slots=True)
class SubmitConfiguration(Message):
    """An entry forwards a validated configuration to the leader.

    Attributes:
        attempt: Number of the request at the sending entry.
        version: Its version.
        source: Its bytes.
    """

    attempt: int
    version: int
    source: bytes


@wire_type(131)
@dataclass(frozen=True, slots=True)
class SubmissionReply(Message):
    """The leader's reply to a submission.

    Attributes:
        attempt: Number of the request.
        stored: Whether a version at least as high is committed; otherwise
            the outcome is unknown.
    """

    attempt: int
    stored: bool


@wire_type(132)
@dataclass(frozen=True, slots=True)
class ConfigurationUpdate(Message):
    """A committed configuration, sent to processes with an older one.

    Attributes:
        version: Its version.
        source: Its bytes.
    """

    version: int
    source: bytes


@wire_type(133)
@dataclass(frozen=True, slots=True)
class NewestRequest(Message):
    """An entry requests the newest configuration from the leader.

    Attributes:
        attempt: Number of the request at the sending entry.
    """

    attempt: int


@wire_type(134)
@dataclass(frozen=True, slots=True)
class NewestReply(Message):
    """The leader's reply to a request for the newest configuration.

    Attributes:
        attempt: Number of the request.
        known: Whether the leader lease was valid; without it the reply has
            no version.
        version: The newest committed version, 0 for none.
        source: Its bytes.
    """

    attempt: int
    known: bool
    version: int
    source: bytes

"""Responses to operators' configuration requests."""

from dataclasses import dataclass

from ..effects import Response


@dataclass(frozen=True, slots=True)
class ConfigurationStored(Response):
    """A version at least as high as the submitted one is committed."""


@dataclass(frozen=True, slots=True)
class NewestConfiguration(Response):
    """The newest committed configuration.

    Attributes:
        version: Its version, 0 if there is none yet.
        source: Its bytes.
    """

    version: int
    source: bytes


@dataclass(frozen=True, slots=True)
class Unavailable(Response):
    """The outcome of a submission is unknown, or a read is impossible.

    Attributes:
        cause: Short text.
    """

    cause: str

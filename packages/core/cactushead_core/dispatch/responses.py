"""Answers to callers of best-effort jobs."""

from dataclasses import dataclass

from ..effects import Response
from ..tasks import JobEnd


@dataclass(frozen=True, slots=True)
class BestEffortEnded(Response):
    """How a job ended, or that it never ran.

    Attributes:
        end: How it ended; after `REFUSED` no task ran or will run.
        cause: Short text.
        retry_s: After a refusal, when it is worth coming back.
    """

    end: JobEnd
    cause: str = ''
    retry_s: float = 0.0


@dataclass(frozen=True, slots=True)
class CancelAnswered(Response):
    """Whether a job was open and is cancelled now."""

    found: bool

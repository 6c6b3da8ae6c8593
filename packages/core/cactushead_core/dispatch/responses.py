"""Answers to callers of best-effort jobs."""

from dataclasses import dataclass

from ..effects import Response
from ..tasks import JobEnd


@dataclass(frozen=True, slots=True)
class BestEffortEnded(Response):
    """Final state of a job, including the refusal of a job.

    Attributes:
        end: The final state; `REFUSED` guarantees that no task ran or will run.
        cause: Short reason.
        retry_after_s: After a refusal, the delay after which a retry is useful.
    """

    end: JobEnd
    cause: str = ''
    retry_after_s: float = 0.0


@dataclass(frozen=True, slots=True)
class CancelAnswered(Response):
    """Answer to a cancellation.

    Attributes:
        found: Whether the job was open at any entry; it is cancelled then.
    """

    found: bool

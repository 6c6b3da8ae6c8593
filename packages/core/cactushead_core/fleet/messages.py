"""Messages between the entries of a fleet, and the snapshot of its state."""

from dataclasses import dataclass

from ..configuration import ConfigurationRecord
from ..evacuation import EvacuationState
from ..messages.base import Message, wire_type


@wire_type(141)
@dataclass(frozen=True, slots=True)
class FleetSnapshot(Message):
    """Snapshot of the replicated state.

    Attributes:
        configuration: The newest committed configuration.
        evacuations: The evacuated data centres.
    """

    configuration: ConfigurationRecord
    evacuations: EvacuationState


@wire_type(142)
@dataclass(frozen=True, slots=True)
class CancelJob(Message):
    """An entry asks another one to cancel a job if it has it.

    Attributes:
        number: Number of the search at the sending entry.
        job: Id of the job.
        relay: Whether the receiver asks all other entries too.
    """

    number: int
    job: str
    relay: bool


@wire_type(143)
@dataclass(frozen=True, slots=True)
class CancelJobReply(Message):
    """Reply to the question.

    Attributes:
        number: Number of the search.
        found: Whether a job was found and cancelled.
        complete: Whether all entries that were asked have replied.
    """

    number: int
    found: bool
    complete: bool

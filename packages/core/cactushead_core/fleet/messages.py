"""Snapshot of the state that the voters of a fleet replicate."""

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

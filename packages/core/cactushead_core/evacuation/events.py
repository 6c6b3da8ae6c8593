"""Operator requests that evacuate a data centre or withdraw that."""

from dataclasses import dataclass

from ..events import CallerEvent


@dataclass(frozen=True, slots=True)
class EvacuationRequested(CallerEvent):
    """An operator evacuates a data centre or ends its evacuation.

    Attributes:
        data_centre: Name of the data centre.
        evacuated: Whether no more tasks may start there.
    """

    data_centre: str
    evacuated: bool

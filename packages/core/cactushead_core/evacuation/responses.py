"""Responses to operators' evacuation requests."""

from dataclasses import dataclass

from ..effects import Response


@dataclass(frozen=True, slots=True)
class EvacuationStored(Response):
    """The requested state of the data centre is committed."""


@dataclass(frozen=True, slots=True)
class DataCentreUnknown(Response):
    """The settings of the entry name no such data centre.

    Attributes:
        data_centre: The requested name.
    """

    data_centre: str

"""What a fault did, and when."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class FaultNote:
    """One step of a fault.

    Attributes:
        at_s: When, from the start of the run.
        wall_s: The same as wall clock.
        step: What was done to which process.
    """

    at_s: float
    wall_s: float
    step: str

"""Messages and log records about evacuated data centres."""

from dataclasses import dataclass

from ..messages.base import Message, wire_type


@wire_type(137)
@dataclass(frozen=True, slots=True)
class EvacuationRecord(Message):
    """An order of an operator in the replicated log.

    Attributes:
        data_centre: Name of the data centre.
        evacuated: Whether no more tasks may start there.
    """

    data_centre: str
    evacuated: bool


@wire_type(138)
@dataclass(frozen=True, slots=True)
class SubmitEvacuation(Message):
    """An entry forwards an operator's order to the leader.

    Attributes:
        attempt: Number of the request at the sending entry.
        data_centre: Name of the data centre.
        evacuated: Whether no more tasks may start there.
    """

    attempt: int
    data_centre: str
    evacuated: bool


@wire_type(139)
@dataclass(frozen=True, slots=True)
class EvacuationReply(Message):
    """The leader's reply to an order.

    Attributes:
        attempt: Number of the request.
        stored: Whether the order is committed; otherwise the outcome is
            unknown.
    """

    attempt: int
    stored: bool


@wire_type(140)
@dataclass(frozen=True, slots=True)
class EvacuationState(Message):
    """The evacuated data centres, sent to processes and kept in snapshots.

    Attributes:
        version: Number of orders that changed the state; the highest is in
            force.
        data_centres: Names of the evacuated data centres, sorted.
    """

    version: int = 0
    data_centres: tuple[str, ...] = ()

    def apply(self, record: EvacuationRecord) -> 'EvacuationState':
        """Returns the state after an order; the same one if nothing changes.

        Examples:
            >>> state = EvacuationState().apply(EvacuationRecord('dc', True))
            >>> state
            EvacuationState(version=1, data_centres=('dc',))
            >>> state.apply(EvacuationRecord('dc', True)) is state
            True

        Args:
            record: The order.
        """
        evacuated = set(self.data_centres)
        if (record.data_centre in evacuated) is record.evacuated:
            return self
        evacuated ^= {record.data_centre}
        return EvacuationState(self.version + 1, tuple(sorted(evacuated)))

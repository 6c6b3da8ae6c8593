"""Stores evacuations in the replicated log and distributes them."""

from ..configuration.requests import LeaderRequests, Proposals
from ..configuration.responses import Unavailable
from ..effects import Effect, LogEntry, Record, Respond, Send
from ..messages.codec import decode_message, encode_message
from ..replication import Replica
from .events import EvacuationRequested
from .messages import (
    EvacuationRecord,
    EvacuationReply,
    EvacuationState,
    SubmitEvacuation,
)
from .responses import DataCentreUnknown, EvacuationStored


class EvacuationManager:
    """Manages the evacuated data centres and open requests.

    Explanation:
        Orders are absolute, so an order that is sent again changes nothing.
        Only committed states are distributed, and a process keeps the one
        with the highest version.

    Attributes:
        active: The newest known state.
    """

    def __init__(self, name: str, data_centres: tuple[str, ...]) -> None:
        """Starts without evacuations.

        Args:
            name: Name of this entry.
            data_centres: Data centres that may be evacuated; empty if any
                name is accepted.
        """
        self.active = EvacuationState()
        self._name = name
        self._data_centres = data_centres
        self._stored = EvacuationState()
        self._applied_index = 0
        self._requests = LeaderRequests()
        self._proposals = Proposals(EvacuationReply)

    @property
    def version(self) -> int:
        """Version of the newest known state."""
        return self.active.version

    @property
    def stored(self) -> EvacuationState:
        """The newest committed state in the log of this entry."""
        return self._stored

    # The replicated log.

    def entries_committed(
        self,
        entries: tuple[LogEntry, ...],
        effects: list[Effect],
    ) -> None:
        """Applies committed log entries."""
        for entry in entries:
            self._applied_index = entry.index
            if not entry.command:
                continue
            record = decode_message(entry.command)
            if isinstance(record, EvacuationRecord):
                self._stored = self._stored.apply(record)
                self.state_received(self._stored, effects)

    def snapshot_installed(
        self,
        index: int,
        state: EvacuationState,
        effects: list[Effect],
    ) -> None:
        """Replaces the state by that of a snapshot."""
        self._applied_index = index
        self._stored = state
        self.state_received(state, effects)

    # Requests of operators, handled at any entry.

    def requested(
        self,
        event: EvacuationRequested,
        leader: str,
        effects: list[Effect],
    ) -> None:
        """Forwards an order to the leader."""
        data_centre = event.data_centre
        if self._data_centres and data_centre not in self._data_centres:
            response = DataCentreUnknown(data_centre)
            effects.append(Respond(event.request_id, response))
            return
        attempt = self._requests.open(
            event.request_id, leader, event.now_s, effects
        )
        if attempt:
            order = SubmitEvacuation(attempt, data_centre, event.evacuated)
            effects.append(Send(leader, order))

    def replied(self, message: EvacuationReply, effects: list[Effect]) -> None:
        """Responds to the operator with the result of an order."""
        request_id = self._requests.close(message.attempt)
        if request_id is None:
            return
        response = (
            EvacuationStored()
            if message.stored
            else Unavailable('the leader could not store it')
        )
        effects.append(Respond(request_id, response))

    def caller_disconnected(self, request_id: int) -> None:
        """Removes the requests of a caller that disconnected."""
        self._requests.caller_disconnected(request_id)

    def tick(self, now_s: float, effects: list[Effect]) -> None:
        """Responds to requests that timed out."""
        self._requests.tick(now_s, effects)

    # Requests of entries, handled at the leader.

    def store(
        self,
        sender: str,
        message: SubmitEvacuation,
        replica: Replica | None,
        now_s: float,
        effects: list[Effect],
    ) -> None:
        """Proposes an order.

        Explanation:
            An order that changes nothing is proposed too, since an earlier
            one that is not committed yet may be its opposite.
        """
        if replica is None or not replica.has_leader_lease(now_s):
            reply = EvacuationReply(message.attempt, stored=False)
            effects.append(Send(sender, reply))
            return
        record = EvacuationRecord(message.data_centre, message.evacuated)
        index = replica.propose(
            [encode_message(record)], memory_ack_requested=False
        )
        self._proposals.add(index, sender, message.attempt)

    def acknowledge_stored(self, effects: list[Effect]) -> None:
        """Acknowledges the orders that are committed."""
        self._proposals.acknowledge(self._applied_index, effects)

    def leadership_lost(self, effects: list[Effect]) -> None:
        """Replies to the senders of open orders: the outcome is unknown."""
        self._proposals.discard(effects)

    # Distribution.

    def state_received(
        self, state: EvacuationState, effects: list[Effect]
    ) -> None:
        """Activates a committed state, if newer."""
        if state.version <= self.active.version:
            return
        self.active = state
        effects.append(
            Record(
                'evacuations in force',
                subject=self._name,
                detail=f'version {state.version}:'
                f' {", ".join(state.data_centres) or "none"}',
                logged=True,
            ),
        )

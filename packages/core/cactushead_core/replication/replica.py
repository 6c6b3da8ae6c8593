"""Replica of the replicated log in one process."""

from ..events import (
    Event,
    LogSynced,
    MessageReceived,
    PeerConnected,
    SnapshotSaved,
    Tick,
    TurnEnded,
    VoteSaved,
)
from .invariants import ReplicationInvariantError, require
from .membership import encode_members
from .notices import SnapshotNeeded
from .receiver import Components, Receiver
from .settings import ReplicaOutput, ReplicaSettings, StoredLog
from .state import ReplicaState, Role, Snapshot


class Replica:
    """Replica of the replicated log.

    Explanation:
        The owner passes every event to `handle`, proposes commands while
        the replica leads, and performs the effects of the output. Appends
        of one loop turn are batched and sent at `TurnEnded`.

        The protocol is Raft (Ongaro and Ousterhout 2014) with pre-votes,
        leader leases, leadership transfer and membership changes of one
        vote at a time (Ongaro's thesis, 2014).
    """

    def __init__(
        self,
        settings: ReplicaSettings,
        stored: StoredLog,
        now_s: float,
    ) -> None:
        """Initializes from the state found on disk.

        Args:
            settings: Settings.
            stored: State found on disk.
            now_s: Monotonic clock.
        """
        self.settings = settings
        self._state = ReplicaState(settings, stored, now_s)
        self._components = Components(self._state)
        self._receiver = Receiver(self._components)
        self._state.notify_stored_snapshot()
        self._handlers = {
            Tick: self._tick,
            TurnEnded: self._turn_ended,
            MessageReceived: self._message_received,
            LogSynced: self._log_synced,
            VoteSaved: self._vote_saved,
            SnapshotSaved: self._snapshot_saved,
            PeerConnected: self._peer_connected,
        }

    @property
    def term(self) -> int:
        """The current term."""
        return self._state.term

    @property
    def leader(self) -> str:
        """Name of the leader, empty if it is unknown."""
        return self._state.leader

    @property
    def last_index(self) -> int:
        """Index of the last entry in the log."""
        return self._state.log.last_index

    @property
    def committed_index(self) -> int:
        """Index of the last committed entry."""
        return self._state.committed_index

    @property
    def leads(self) -> bool:
        """Whether this replica is the leader of its term."""
        return self._state.role is Role.LEADER

    @property
    def votes(self) -> bool:
        """Whether the known membership lists this disk as a voter."""
        return self._state.is_voter

    def has_leader_lease(self, now_s: float) -> bool:
        """Whether the leader lease is valid: no other leader is elected yet.

        Explanation:
            Valid while a majority has answered messages that were sent
            within the minimum election timeout, reduced by a margin for
            the allowed clock drift.

        Args:
            now_s: Monotonic clock.
        """
        leader = self._components.active_leader()
        return leader is not None and leader.has_leader_lease(now_s)

    def propose(
        self,
        commands: list[bytes],
        *,
        memory_ack_requested: bool = True,
        sync_ack_requested: bool = True,
    ) -> int:
        """Appends commands as entries; only the leader may call it.

        Explanation:
            A follower acknowledges the entries when it holds them in memory,
            when it has synced them, or both, as requested; requesting both
            costs one more reply. Progress that was not requested is
            reported with a later reply.

        Args:
            commands: Encoded records.
            memory_ack_requested: Whether a decision waits for
                `MemoryCommitted`.
            sync_ack_requested: Whether a decision waits for
                `EntriesCommitted`.

        Returns:
            Index of the last appended entry.

        Raises:
            ReplicationInvariantError: This replica is not the leader.
        """
        leader = self._components.active_leader()
        if leader is None:
            raise ReplicationInvariantError(
                f'{self.settings.name} proposes but is not the leader',
            )
        return leader.append(
            commands,
            memory_ack_requested=memory_ack_requested,
            sync_ack_requested=sync_ack_requested,
        )

    def transfer_leadership(self) -> ReplicaOutput:
        """Transfers leadership to a voter that has all entries, if any.

        Returns:
            Effects and notices.
        """
        leader = self._components.active_leader()
        if leader is not None and leader.transfer_leadership():
            self._components.election.leadership_transferred()
        return self._state.drain_output()

    def set_membership_contacts(self, names: tuple[str, ...]) -> None:
        """Sets further receivers of membership queries.

        Explanation:
            While this replica is no voter, its queries also request that
            the leader admits it.

        Args:
            names: Processes that may know the membership.
        """
        self._components.formation.update_contacts(names)

    def select_voters(self, names: tuple[str, ...]) -> None:
        """Sets the voters that form the cell, unless they are known.

        Args:
            names: Names of the voters.
        """
        self._components.formation.select_voters(names)

    @property
    def voters(self) -> tuple[str, ...]:
        """Names of the voters of the known membership."""
        return tuple(member.name for member in self._state.membership.voters())

    @property
    def membership_index(self) -> int:
        """Index of the log entry of the known membership, 0 without one."""
        return self._state.membership.index

    @property
    def membership_source(self) -> str:
        """How this replica came to know the membership, as text."""
        index = self.membership_index
        if not index:
            return 'reported by a member'
        if index <= self._state.snapshot.index:
            return f'from the snapshot at {self._state.snapshot.index}'
        return f'from entry {index} of its log'

    def compact(self, index: int, state: bytes) -> ReplicaOutput:
        """Saves a snapshot that replaces the log up to an index.

        Args:
            index: Index of the last entry that the state covers.
            state: Encoded replicated state.

        Returns:
            The effects.
        """
        shared_state = self._state
        require(
            index <= shared_state.committed_index,
            f'snapshot {index} is beyond commit {shared_state.committed_index}',
        )
        if index <= shared_state.snapshot.index:
            return ReplicaOutput()
        term = shared_state.log.term_at(index)
        members = encode_members(shared_state.membership.at(index))
        effects = shared_state.output.effects
        previous_count = len(effects)
        shared_state.save_snapshot(Snapshot(term, index, members, state))
        output = ReplicaOutput(effects[previous_count:])
        del effects[previous_count:]
        return output

    def handle(self, event: Event) -> ReplicaOutput:
        """Handles one event.

        Args:
            event: Any event; those that don't concern the log are ignored.

        Returns:
            Effects and notices.
        """
        handler = self._handlers.get(type(event))
        if handler is not None:
            self._state.now_s = event.now_s
            handler(event)
        return self._state.drain_output()

    def _tick(self, event: Tick) -> None:
        self._components.formation.tick(
            self._components.election.last_contact_s
        )
        self._components.become_leader_if(self._components.election.tick())
        leader = self._components.active_leader()
        if leader is not None:
            leader.tick()
        self._request_snapshot_if_due()

    def _turn_ended(self, event: TurnEnded) -> None:
        leader = self._components.active_leader()
        if leader is not None:
            leader.turn_ended()
            return
        self._state.write_log()
        self._components.follower.turn_ended()

    def _message_received(self, event: MessageReceived) -> None:
        self._receiver.receive(event.sender, event.message)

    def _log_synced(self, event: LogSynced) -> None:
        self._state.disk.append_synced(event.term, event.index)
        leader = self._components.active_leader()
        if leader is None:
            self._components.follower.synced()
        else:
            leader.advance_commit()

    def _vote_saved(self, event: VoteSaved) -> None:
        won = self._components.election.vote_saved(event.term, event.voted_for)
        self._components.become_leader_if(won)

    def _snapshot_saved(self, event: SnapshotSaved) -> None:
        self._state.snapshot_saved(event.term, event.index)
        if not self.leads:
            self._components.follower.synced()

    def _peer_connected(self, event: PeerConnected) -> None:
        leader = self._components.active_leader()
        if leader is not None:
            leader.peer_connected(event.peer.name)

    def _request_snapshot_if_due(self) -> None:
        state = self._state
        uncompacted_entries = state.committed_index - state.snapshot.index
        if state.snapshot_pending:
            return
        if uncompacted_entries > self.settings.snapshot_entries:
            state.output.notices.append(SnapshotNeeded())

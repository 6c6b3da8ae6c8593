"""Dispatches messages from other processes to the component concerned."""

from ..events import Peer
from ..messages.base import Message
from .election import Election
from .follower import Follower
from .formation import Formation
from .invariants import require
from .leader import Leader
from .messages import (
    AppendEntries,
    AppendReply,
    InstallSnapshot,
    MembershipQuery,
    MembershipReply,
    SnapshotReply,
    TimeoutNow,
    VoteReply,
    VoteRequest,
)
from .state import ReplicaState, Role


class Components:
    """Components of one replica."""

    def __init__(self, state: ReplicaState) -> None:
        """Creates the components that every replica has.

        Args:
            state: State that the components share.
        """
        self.state = state
        self.election = Election(state)
        self.follower = Follower(state)
        self.formation = Formation(state)
        self._leader: Leader | None = None

    def active_leader(self) -> Leader | None:
        """Returns the leader component if this replica leads, else None."""
        return self._leader if self.state.role is Role.LEADER else None

    def become_leader_if(self, won: bool) -> None:
        """Creates the leader component if an election was won."""
        if won:
            silent = self.election.take_silent_leader()
            self._leader = Leader(self.state, silent)


class Receiver:
    """Calls the handler for each type of message."""

    def __init__(self, components: Components) -> None:
        """Initializes the table of handlers.

        Args:
            components: Components that handle the messages.
        """
        self._components = components
        self._state = components.state
        self._handlers = {
            AppendEntries: self._append_entries,
            AppendReply: self._append_reply,
            VoteRequest: self._vote_request,
            VoteReply: self._vote_reply,
            TimeoutNow: self._timeout_now,
            InstallSnapshot: self._install_snapshot,
            SnapshotReply: self._snapshot_reply,
            MembershipQuery: self._membership_query,
            MembershipReply: self._membership_reply,
        }

    def receive(self, sender: Peer, message: Message) -> None:
        """Handles a message; ignores types that don't concern the log.

        Args:
            sender: The process at the other end of the link.
            message: The message.
        """
        handler = self._handlers.get(type(message))
        if handler is not None:
            handler(sender, message)

    def _append_entries(self, sender: Peer, message: AppendEntries) -> None:
        if self._accept_term(message):
            self._components.follower.append_received(message)

    def _install_snapshot(
        self,
        sender: Peer,
        message: InstallSnapshot,
    ) -> None:
        if self._accept_term(message):
            self._components.follower.snapshot_chunk_received(message)

    def _accept_term(
        self,
        message: AppendEntries | InstallSnapshot,
    ) -> bool:
        """Follows the sender, or rejects it if its term is stale."""
        state = self._state
        leads = state.role is Role.LEADER
        if message.term < state.term:
            self._reject_stale_leader(message.leader)
            return False
        require(
            message.term > state.term or not leads,
            f'{message.leader} also leads term {state.term}',
        )
        if message.term > state.term or state.role is not Role.FOLLOWER:
            state.become_follower(message.term)
        state.record_leader(message.leader)
        self._components.election.record_leader_contact()
        return True

    def _reject_stale_leader(self, leader: str) -> None:
        settings = self._state.settings
        reply = AppendReply(
            self._state.term,
            settings.name,
            settings.incarnation,
            match_index=0,
            synced_index=0,
            rejected_index=0,
            hint_index=0,
            sequence=0,
            echo_s=0.0,
        )
        self._state.send(leader, reply)

    def _append_reply(self, sender: Peer, message: AppendReply) -> None:
        leader = self._leader_for_reply(message)
        if leader is not None:
            leader.append_replied(sender.incarnation, message)

    def _snapshot_reply(self, sender: Peer, message: SnapshotReply) -> None:
        leader = self._leader_for_reply(message)
        if leader is not None:
            leader.snapshot_replied(sender.incarnation, message)

    def _leader_for_reply(
        self,
        message: AppendReply | SnapshotReply,
    ) -> Leader | None:
        """Returns the leader that the reply answers; follows higher terms."""
        if message.term > self._state.term:
            self._state.become_follower(message.term)
        if message.term < self._state.term:
            return None
        return self._components.active_leader()

    def _vote_request(self, sender: Peer, message: VoteRequest) -> None:
        self._components.election.vote_requested(message)

    def _vote_reply(self, sender: Peer, message: VoteReply) -> None:
        self._components.become_leader_if(
            self._components.election.vote_replied(message)
        )

    def _timeout_now(self, sender: Peer, message: TimeoutNow) -> None:
        self._components.election.timeout_now_received(message.term)

    def _membership_query(
        self,
        sender: Peer,
        message: MembershipQuery,
    ) -> None:
        self._components.formation.query_received(message)
        leader = self._components.active_leader()
        if leader is not None:
            leader.join_requested(message.name, message.incarnation)

    def _membership_reply(
        self,
        sender: Peer,
        message: MembershipReply,
    ) -> None:
        self._components.formation.reply_received(message)

"""Passes messages of other members to the part that they concern."""

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


class Parts:
    """The parts of one replica."""

    def __init__(self, state: ReplicaState) -> None:
        """Makes the parts that every replica has.

        Args:
            state: State that they share.
        """
        self.state = state
        self.election = Election(state)
        self.follower = Follower(state)
        self.formation = Formation(state)
        self._leader: Leader | None = None

    def leading(self) -> Leader | None:
        """Returns the leader part while this replica leads."""
        return self._leader if self.state.role is Role.LEADER else None

    def lead_if(self, won: bool) -> None:
        """Takes over when an election was won."""
        if won:
            self._leader = Leader(self.state)


class Receiver:
    """Receives messages."""

    def __init__(self, parts: Parts) -> None:
        """Receives for the parts of a replica.

        Args:
            parts: The parts.
        """
        self._parts = parts
        self._state = parts.state
        self._handlers = {
            AppendEntries: self._append_entries,
            AppendReply: self._append_reply,
            VoteRequest: self._vote_request,
            VoteReply: self._vote_reply,
            TimeoutNow: self._lead_now,
            InstallSnapshot: self._install_snapshot,
            SnapshotReply: self._snapshot_reply,
            MembershipQuery: self._membership_query,
            MembershipReply: self._membership_report,
        }

    def receive(self, sender: Peer, message: Message) -> None:
        """Takes a message; one of another subject does nothing.

        Args:
            sender: The process at the other end of the link.
            message: The message.
        """
        handler = self._handlers.get(type(message))
        if handler is not None:
            handler(sender, message)

    def _append_entries(self, sender: Peer, message: AppendEntries) -> None:
        if self._accept_leader(message):
            self._parts.follower.entries_received(message)

    def _install_snapshot(
        self,
        sender: Peer,
        message: InstallSnapshot,
    ) -> None:
        if self._accept_leader(message):
            self._parts.follower.part_received(message)

    def _accept_leader(
        self,
        message: AppendEntries | InstallSnapshot,
    ) -> bool:
        """Follows the sender, or tells it that its term is over."""
        state = self._state
        leads = state.role is Role.LEADER
        if message.term < state.term:
            self._tell_term(message.leader)
            return False
        require(
            message.term > state.term or not leads,
            f'{message.leader} also leads term {state.term}',
        )
        if message.term > state.term or state.role is not Role.FOLLOWER:
            state.follow(message.term)
        state.learn_leader(message.leader)
        self._parts.election.leader_heard()
        return True

    def _tell_term(self, leader: str) -> None:
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
        leader = self._answered_leader(message)
        if leader is not None:
            leader.replied(sender.incarnation, message)

    def _snapshot_reply(self, sender: Peer, message: SnapshotReply) -> None:
        leader = self._answered_leader(message)
        if leader is not None:
            leader.part_replied(sender.incarnation, message)

    def _answered_leader(
        self,
        message: AppendReply | SnapshotReply,
    ) -> Leader | None:
        if message.term > self._state.term:
            self._state.follow(message.term)
        if message.term < self._state.term:
            return None
        return self._parts.leading()

    def _vote_request(self, sender: Peer, message: VoteRequest) -> None:
        self._parts.election.requested(message)

    def _vote_reply(self, sender: Peer, message: VoteReply) -> None:
        self._parts.lead_if(self._parts.election.replied(message))

    def _lead_now(self, sender: Peer, message: TimeoutNow) -> None:
        self._parts.election.handed_over(message.term)

    def _membership_query(
        self,
        sender: Peer,
        message: MembershipQuery,
    ) -> None:
        self._parts.formation.asked(message)
        leader = self._parts.leading()
        if leader is not None:
            leader.applied(message.name, message.incarnation)

    def _membership_report(
        self,
        sender: Peer,
        message: MembershipReply,
    ) -> None:
        self._parts.formation.reported(message)

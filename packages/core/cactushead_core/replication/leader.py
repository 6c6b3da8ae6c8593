"""Leader: appends, replicates, commits and changes the membership.

Explanation:
    An entry is memory-committed when a majority holds it in memory; it may
    be lost if voters restart before syncing it and the leader changes. An
    entry is permanently committed when a majority has synced it. A leader
    counts replicas only for entries of its own term (Ongaro and Ousterhout
    2014, section 5.4.2).
"""

from operator import attrgetter

from ..effects import LogEntry
from .election import SilentMember
from .invariants import require
from .membership import (
    Members,
    add_learner,
    encode_members,
    find_member,
    promote,
    replace_disk,
    replace_member,
)
from .messages import AppendReply, Member, SnapshotReply, TimeoutNow
from .notices import LeaderReady, MemoryCommitted
from .progress import Progress, SnapshotTransfer
from .quorum import majority_value
from .sender import Sender
from .state import ReplicaState, Role


class Leader:
    """Leader role of one replica in one term."""

    def __init__(self, state: ReplicaState, silent: SilentMember) -> None:
        """Becomes leader after a won election and appends an empty entry.

        Args:
            state: State of the replica.
            silent: The leader before, whose silence led to the election.
        """
        require(
            state.role is Role.CANDIDATE,
            f'{state.role} becomes leader of term {state.term}',
        )
        state.role = Role.LEADER
        state.record_leader(state.settings.name)
        self.term = state.term
        self._state = state
        self._sender = Sender(state)
        self._elected_s = state.now_s
        self._first_index = state.log.last_index + 1
        self._memory_committed_index = 0
        self._ready = False
        self._peers: dict[str, Progress] = {}
        self._voting_peers: list[Progress] = []
        self._join_requests: dict[str, str] = {}
        self._refresh_peers()
        self._count_silence(silent)
        self.append([b''])

    def append(
        self,
        commands: list[bytes],
        *,
        memory_ack_requested: bool = True,
        sync_ack_requested: bool = True,
    ) -> int:
        """Appends commands, which are sent at the end of the loop turn.

        Args:
            commands: Encoded records.
            memory_ack_requested: Whether followers acknowledge the entries
                as soon as they hold them in memory.
            sync_ack_requested: Whether followers acknowledge the entries
                once they have synced them.

        Returns:
            Index of the last entry.
        """
        log = self._state.log
        term = self.term
        entries = [
            LogEntry(term, index, command)
            for index, command in enumerate(commands, log.last_index + 1)
        ]
        log.append(entries)
        requested_acks = self._state.requested_acks
        if memory_ack_requested:
            requested_acks.memory_index = log.last_index
        if sync_ack_requested:
            requested_acks.synced_index = log.last_index
        return log.last_index

    def has_leader_lease(self, now_s: float) -> bool:
        """Whether a majority certainly grants no vote to another candidate.

        Args:
            now_s: Monotonic clock.
        """
        settings = self._state.settings
        margin = (1 - settings.drift) / (1 + settings.drift)
        confirmed_s = self._majority_confirmed_s(now_s)
        return now_s - confirmed_s < settings.election_timeout_s * margin

    def turn_ended(self) -> None:
        """Writes the loop turn's entries and sends them to the members."""
        self._state.write_log()
        for progress in self._peers.values():
            self._sender.turn_ended(progress)
        if not self._voting_peers:
            self.advance_commit()

    def tick(self) -> None:
        """Sends heartbeats; steps down without replies from a majority."""
        state = self._state
        quorum_s = self._majority_confirmed_s(state.now_s)
        silence_s = state.now_s - max(quorum_s, self._elected_s)
        if silence_s > state.settings.election_timeout_s:
            state.become_follower(state.term)
            return
        for progress in self._peers.values():
            self._sender.tick(progress)
        self._propose_membership_change()

    def append_replied(self, session: str, reply: AppendReply) -> None:
        """Handles a member's reply to `AppendEntries`.

        Args:
            session: Incarnation of the member's process.
            reply: The reply.
        """
        progress = self._progress_for_reply(session, reply)
        if progress is None:
            return
        require(
            reply.match_index <= self._state.log.last_index,
            f'{reply.follower} matches up to {reply.match_index}, beyond the'
            f' last entry {self._state.log.last_index}',
        )
        now_s = self._state.now_s
        transfer = progress.transfer
        if transfer and reply.match_index >= transfer.snapshot.index:
            progress.transfer = None
        progress.acknowledge(reply.match_index, reply.synced_index, now_s)
        if reply.rejected_index:
            progress.reject(reply.rejected_index, reply.hint_index)
        self.advance_commit()

    def snapshot_replied(self, session: str, reply: SnapshotReply) -> None:
        """Handles a reply to a snapshot chunk and schedules the next one.

        Args:
            session: Incarnation of the member's process.
            reply: The reply, with the number of bytes received.
        """
        progress = self._progress_for_reply(session, reply)
        if progress is None or progress.transfer is None:
            return
        snapshot = progress.transfer.snapshot
        if reply.snapshot_index != snapshot.index:
            return
        if reply.received_bytes != progress.transfer.offset_bytes:
            progress.transfer = SnapshotTransfer(snapshot, reply.received_bytes)
            progress.send_due = True

    def transfer_leadership(self) -> bool:
        """Transfers leadership to the voter with the most complete log.

        Returns:
            Whether a voter has all entries and replied within the election
            timeout; this replica is then no longer the leader.
        """
        state = self._state
        successor = max(
            self._voting_peers,
            key=attrgetter('match_index', 'last_contact_s'),
            default=None,
        )
        if successor is None or successor.match_index < state.log.last_index:
            return False
        if self._is_silent(successor):
            return False
        state.become_follower(state.term)
        state.send(successor.name, TimeoutNow(state.term))
        return True

    def peer_connected(self, name: str) -> None:
        """Probes the log of a peer at once after its link was set up."""
        progress = self._peers.get(name)
        if progress is not None:
            progress.restart_probing()

    def join_requested(self, name: str, incarnation: str) -> None:
        """Records that a process requests to join with its disk.

        Args:
            name: Name of the process.
            incarnation: Incarnation of its disk.
        """
        self._join_requests[name] = incarnation

    def advance_commit(self) -> None:
        """Advances the commit indices to what a majority holds."""
        state = self._state
        peers = self._voting_peers
        memory = [progress.match_index for progress in peers]
        memory_index = majority_value([state.log.last_index, *memory])
        if memory_index > max(
            self._memory_committed_index, self._first_index - 1
        ):
            self._memory_committed_index = memory_index
            state.output.notices.append(MemoryCommitted(memory_index))
        synced = [progress.synced_index for progress in peers]
        synced_index = majority_value([state.disk.synced_index, *synced])
        if synced_index > state.committed_index:
            self._commit(synced_index)

    def _commit(self, index: int) -> None:
        state = self._state
        if state.log.term_at(index) != self.term:
            return
        state.commit_to(index)
        if not self._ready:
            self._ready = True
            state.output.notices.append(LeaderReady(self.term))

    def _progress_for_reply(
        self,
        session: str,
        reply: AppendReply | SnapshotReply,
    ) -> Progress | None:
        """Returns the member's progress, None if the reply must be ignored."""
        progress = self._peers.get(reply.follower)
        if progress is None or progress.incarnation != reply.incarnation:
            return None
        if not progress.accept_session(session, reply.sequence):
            return None
        progress.record_contact(reply.echo_s, self._state.now_s)
        return progress

    def _majority_confirmed_s(self, now_s: float) -> float:
        """Returns the time since which a majority has followed this leader."""
        confirmed = [peer.confirmed_s for peer in self._voting_peers]
        return majority_value([now_s, *confirmed])

    def _refresh_peers(self) -> None:
        """Updates the tracked progress to the members of the log."""
        own_name = self._state.settings.name
        others = [
            member
            for member in self._state.membership.members
            if member.name != own_name
        ]
        self._peers = {
            member.name: self._progress_of(member) for member in others
        }
        self._voting_peers = [
            self._peers[member.name] for member in others if member.votes
        ]

    def _count_silence(self, silent: SilentMember) -> None:
        """Counts a member's silence from before this replica led.

        Explanation:
            It still gets an election timeout to answer the new leader, as it
            may have returned meanwhile.
        """
        progress = self._peers.get(silent.name)
        if progress is None:
            return
        settings = self._state.settings
        credit_s = settings.replace_after_s - settings.election_timeout_s
        progress.last_contact_s = max(
            silent.last_contact_s, self._state.now_s - max(credit_s, 0)
        )

    def _progress_of(self, member: Member) -> Progress:
        known = self._peers.get(member.name)
        if known is not None and known.incarnation == member.incarnation:
            return known
        state = self._state
        return Progress(member, state.log.last_index, state.now_s)

    def _propose_membership_change(self) -> None:
        """Proposes one change if the previous change is committed."""
        state = self._state
        members = state.membership.members
        join_requests = self._join_requests
        self._join_requests = {}
        if not self._ready or state.membership.index > state.committed_index:
            return
        changed = self._replace_lost_disk(members, join_requests)
        if changed == members:
            changed = self._admit_new_member(members, join_requests)
        if changed == members:
            changed = self._promote_learner(members)
        if changed == members:
            return
        index = self.append([encode_members(changed)])
        state.membership.record_changes([state.log.entry(index)])
        self._refresh_peers()

    def _replace_lost_disk(
        self,
        members: Members,
        join_requests: dict[str, str],
    ) -> Members:
        """Replaces the disk of a silent member that joins with a new one."""
        for name, incarnation in join_requests.items():
            progress = self._peers.get(name)
            if progress is None or progress.incarnation == incarnation:
                continue
            if self._is_silent(progress) and find_member(members, name):
                return replace_disk(members, name, incarnation)
        return members

    def _admit_new_member(
        self,
        members: Members,
        join_requests: dict[str, str],
    ) -> Members:
        """Adds a new process, in place of an unreachable member if full."""
        settings = self._state.settings
        for name, incarnation in join_requests.items():
            if find_member(members, name):
                continue
            if len(members) < settings.voters_wanted:
                return add_learner(members, name, incarnation)
            unreachable = self._find_unreachable_member()
            if unreachable and settings.voters_wanted:
                return replace_member(members, unreachable, name, incarnation)
        return members

    def _find_unreachable_member(self) -> str:
        """Returns the member silent for longest, empty if within the limit."""
        last_contacts = {
            name: peer.last_contact_s for name, peer in self._peers.items()
        }
        oldest = min(last_contacts, key=last_contacts.__getitem__, default='')
        limit_s = self._state.settings.replace_after_s
        if oldest and self._state.now_s - last_contacts[oldest] > limit_s:
            return oldest
        return ''

    def _is_silent(self, progress: Progress) -> bool:
        silence_s = self._state.now_s - progress.last_contact_s
        return silence_s > self._state.settings.election_timeout_s

    def _promote_learner(self, members: Members) -> Members:
        """Promotes a learner that has synced all committed entries."""
        committed = self._state.committed_index
        for member in members:
            progress = self._peers.get(member.name)
            if member.votes or progress is None:
                continue
            caught_up = progress.synced_index >= committed
            if caught_up and not self._is_silent(progress):
                return promote(members, member.name)
        return members

"""Reducer of the entry process."""

from ..agents.messages import LeaderHint
from ..config import EntryConfig
from ..documents.applied_versions import AppliedVersions
from ..documents.messages import (
    DocumentAccepted,
    DocumentRefused,
    DocumentsListed,
    DocumentUpdate,
)
from ..effects import Drained, Effect, EventKind, Record, Send
from ..events import (
    CallerDisconnected,
    CallerEvent,
    DrainRequested,
    Event,
    MessageReceived,
    Peer,
    PeerConnected,
    PeerLost,
    PeerRole,
    Tick,
    TurnEnded,
)
from ..jobs.messages import (
    JobAccepted,
    JobAnswered,
    JobRefused,
    JobReported,
    TermMismatch,
)
from ..loopback import extract_self_sends
from ..messages.base import Message
from ..messages.codec import decode_message
from ..reducer import Node
from ..replication import (
    EntriesCommitted,
    LeaderKnown,
    LeaderLost,
    LeaderReady,
    MemoryCommitted,
    Notice,
    ReplicaOutput,
    SnapshotInstalled,
    SnapshotNeeded,
    StoredLog,
)
from .applied import AppliedLog
from .gateway import Gateway
from .leader import Leader
from .policy import make_scheduler
from .redirects import is_misdirected, redirect
from .voting import make_replica

_ANSWERS = (
    JobAccepted,
    JobAnswered,
    JobRefused,
    JobReported,
    DocumentAccepted,
    DocumentRefused,
    DocumentsListed,
)


class EntryNode(Node):
    """Reducer of an entry, which may also be a voter and the leader.

    Explanation:
        An entry with a disk takes part in the replicated log, and creates a
        `Leader` when it is elected. Each entry forwards callers' requests
        through its `Gateway`; messages to itself are handled in the same
        turn and are not sent.
    """

    def __init__(
        self,
        config: EntryConfig,
        stored: StoredLog,
        now_s: float,
    ) -> None:
        """Starts from the contents of the disk.

        Args:
            config: Configuration of the entry.
            stored: Contents of the disk; empty for an entry without a disk.
            now_s: Monotonic clock.
        """
        super().__init__()
        self.config = config
        self.applied_log = AppliedLog()
        self.gateway = Gateway(config)
        self.leader: Leader | None = None
        self.applied_versions = AppliedVersions(config.name, config.incarnation)
        self._own_peer = Peer(config.name, PeerRole.ENTRY, config.incarnation)
        self._peers: dict[str, Peer] = {}
        self._memory_index = 0
        self._drained = False
        self._replica = make_replica(config, stored, now_s)
        self._notice_handlers = {
            LeaderKnown: self._on_leader_known,
            LeaderReady: self._on_leader_ready,
            LeaderLost: self._on_leader_lost,
            MemoryCommitted: self._on_memory_committed,
            EntriesCommitted: self._on_entries_committed,
            SnapshotInstalled: self._on_snapshot_installed,
            SnapshotNeeded: self._on_snapshot_needed,
        }

    @property
    def ready(self) -> bool:
        """Whether a leader is known and connected."""
        return self.gateway.leader in self.gateway.connected

    @property
    def votes(self) -> bool:
        """Whether this entry is a voting member of the replicated log."""
        return self._replica is not None and self._replica.votes

    def _reduce(self, event: Event, effects: list[Effect]) -> None:
        if not isinstance(event, TurnEnded):
            self._step_replica(event, effects)
        self._dispatch(event, effects)
        self._drain_loopback(event.now_s, effects)
        if isinstance(event, TurnEnded):
            self._end_turn(event, effects)

    def _dispatch(self, event: Event, effects: list[Effect]) -> None:
        match event:
            case MessageReceived():
                self._on_message(event, effects)
            case CallerDisconnected():
                self.gateway.on_caller_disconnected(event.request_id)
            case CallerEvent():
                self.gateway.on_request(event, effects)
            case Tick():
                self._on_tick(event, effects)
            case PeerConnected():
                self._on_peer_connected(event, effects)
            case PeerLost():
                self._on_peer_lost(event, effects)
            case DrainRequested():
                self._on_drain_requested(effects)

    def _end_turn(self, event: TurnEnded, effects: list[Effect]) -> None:
        if self.leader is not None:
            self.leader.flush(event.now_s)
        self._step_replica(event, effects)
        self._drain_loopback(event.now_s, effects)
        if self.gateway.draining and self.gateway.idle and not self._drained:
            self._drained = True
            effects.append(
                Record(
                    EventKind.DRAIN_COMPLETED,
                    subject=self.config.name,
                    logged=True,
                ),
            )
            effects.append(Drained())

    def _collect_leader_effects(self, effects: list[Effect]) -> None:
        if self.leader is not None:
            effects.extend(self.leader.drain_effects())

    def _drain_loopback(self, now_s: float, effects: list[Effect]) -> None:
        self._collect_leader_effects(effects)
        for message in extract_self_sends(effects, self.config.name):
            event = MessageReceived(now_s, self._own_peer, message)
            self._on_message(event, effects)
            self._collect_leader_effects(effects)

    # Notices of the replicated log.

    def _step_replica(self, event: Event, effects: list[Effect]) -> None:
        if self._replica is None:
            return
        output = self._replica.handle(event)
        self._handle_output(output, event.now_s, effects)

    def _handle_output(
        self,
        output: ReplicaOutput,
        now_s: float,
        effects: list[Effect],
    ) -> None:
        effects.extend(output.effects)
        for notice in output.notices:
            handler = self._notice_handlers[type(notice)]
            handler(notice, now_s, effects)

    def _on_leader_known(
        self,
        notice: LeaderKnown,
        now_s: float,
        effects: list[Effect],
    ) -> None:
        self.gateway.on_leader_known(notice.term, '', now_s, effects)
        if notice.leader != self.config.name:
            # This process announces itself when it is ready to lead, after
            # the first entry of its term is committed.
            self._announce_leader(notice.term, notice.leader, now_s, effects)

    def _on_leader_ready(
        self,
        notice: LeaderReady,
        now_s: float,
        effects: list[Effect],
    ) -> None:
        if self._replica is None:
            return
        self.leader = Leader(
            self.config,
            self._replica,
            self.applied_log.state,
            make_scheduler(self.config),
            now_s,
        )
        effects.append(
            Record(
                EventKind.LEADER_ELECTED,
                subject=self.config.name,
                detail=f'term {notice.term}',
                logged=True,
            ),
        )
        for peer in self._peers.values():
            self.leader.on_connected(peer)
        self._announce_leader(notice.term, self.config.name, now_s, effects)

    def _on_leader_lost(
        self,
        notice: LeaderLost,
        now_s: float,
        effects: list[Effect],
    ) -> None:
        self.leader = None
        if self.gateway.leader == self.config.name:
            self.gateway.leader = ''
        effects.append(
            Record(
                EventKind.LEADER_LOST,
                subject=self.config.name,
                detail=f'term {notice.term}',
                logged=True,
            ),
        )

    def _on_memory_committed(
        self,
        notice: MemoryCommitted,
        now_s: float,
        effects: list[Effect],
    ) -> None:
        self._memory_index = notice.index
        self._release_decisions(now_s)

    def _on_entries_committed(
        self,
        notice: EntriesCommitted,
        now_s: float,
        effects: list[Effect],
    ) -> None:
        self.applied_log.apply(notice.entries, self._read_record)
        self._release_decisions(now_s)

    def _read_record(self, command: bytes) -> Message:
        record = None
        if self.leader is not None:
            record = self.leader.pop_record(command)
        return record or decode_message(command)

    def _on_snapshot_installed(
        self,
        notice: SnapshotInstalled,
        now_s: float,
        effects: list[Effect],
    ) -> None:
        self.applied_log.install(notice.index, notice.state)

    def _on_snapshot_needed(
        self,
        notice: Notice,
        now_s: float,
        effects: list[Effect],
    ) -> None:
        if self._replica is None:
            return
        output = self._replica.compact(
            self.applied_log.index,
            self.applied_log.encode(),
        )
        self._handle_output(output, now_s, effects)

    def _release_decisions(self, now_s: float) -> None:
        if self.leader is not None:
            self.leader.on_commit(
                self._memory_index,
                self.applied_log.index,
                now_s,
            )

    def _announce_leader(
        self,
        term: int,
        leader: str,
        now_s: float,
        effects: list[Effect],
    ) -> None:
        hint = LeaderHint(term, leader)
        effects.extend([Send(peer, hint) for peer in self._peers])
        self.gateway.on_leader_known(term, leader, now_s, effects)

    # Timers, links and messages.

    def _on_tick(self, event: Tick, effects: list[Effect]) -> None:
        if self.leader is not None:
            self.leader.tick(event.now_s)
        self.gateway.tick(event.now_s, effects)

    def _on_peer_connected(
        self,
        event: PeerConnected,
        effects: list[Effect],
    ) -> None:
        peer = event.peer
        self._peers[peer.name] = peer
        if self._replica is not None:
            hint = LeaderHint(self.gateway.term, self.gateway.leader)
            effects.append(Send(peer.name, hint))
        if self.leader is not None:
            self.leader.on_connected(peer)
        self.gateway.on_connected(peer.name, event.now_s, effects)

    def _on_peer_lost(self, event: PeerLost, effects: list[Effect]) -> None:
        self._peers.pop(event.peer.name, None)
        self.gateway.on_disconnected(event.peer.name)
        if self.leader is not None:
            self.leader.on_disconnected(event.peer, event.now_s)

    def _on_drain_requested(self, effects: list[Effect]) -> None:
        if self.gateway.draining:
            return
        self.gateway.draining = True
        effects.append(
            Record(
                EventKind.DRAIN_STARTED, subject=self.config.name, logged=True
            ),
        )

    def _on_message(
        self,
        event: MessageReceived,
        effects: list[Effect],
    ) -> None:
        message = event.message
        now_s = event.now_s
        match message:
            case TermMismatch():
                self.gateway.on_term_mismatch(message, now_s, effects)
            case LeaderHint():
                self._on_leader_hint(message, now_s, effects)
            case DocumentUpdate():
                reply = self.applied_versions.apply_update(message)
                effects.append(Send(event.sender.name, reply))
            case _ if isinstance(message, _ANSWERS):
                self.gateway.on_answer(message, now_s, effects)
            case _:
                self._on_leader_message(message, event.sender, now_s, effects)

    def _on_leader_message(
        self,
        message: Message,
        sender: Peer,
        now_s: float,
        effects: list[Effect],
    ) -> None:
        if is_misdirected(message, self.leader):
            gateway = self.gateway
            reply = redirect(message, gateway.term, gateway.leader)
            effects.append(Send(sender.name, reply))
        elif self.leader is not None:
            self.leader.handle(sender, message, now_s)

    def _on_leader_hint(
        self,
        message: LeaderHint,
        now_s: float,
        effects: list[Effect],
    ) -> None:
        if self._replica is None:
            self.gateway.on_leader_known(
                message.term,
                message.leader,
                now_s,
                effects,
            )

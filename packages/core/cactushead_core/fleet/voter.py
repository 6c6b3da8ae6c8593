"""An entry's replica of the log and its leadership."""

from ..effects import Effect, EventKind, Record
from ..events import Event, TurnEnded
from ..replication import (
    EntriesCommitted,
    LeaderKnown,
    LeaderLost,
    LeaderReady,
    Notice,
    Replica,
    ReplicaOutput,
    ReplicaSettings,
    SnapshotInstalled,
    SnapshotNeeded,
    StoredLog,
)
from .settings import FleetSettings
from .state_machine import StateMachine


class Voter:
    """The replicated log of an entry with a disk.

    Explanation:
        The replica's membership is the only list of the voters that an entry
        keeps. An empty disk gets it from the leader that admits it, or from
        the selection of the first start.

    Attributes:
        replica: The replica, None without a disk.
        is_leader: Whether this entry leads and may propose log entries.
    """

    def __init__(
        self,
        settings: FleetSettings,
        stored: StoredLog,
        state_machine: StateMachine,
        now_s: float,
    ) -> None:
        """Initializes the replica from the contents of the disk.

        Args:
            settings: Settings of the entry.
            stored: Contents of the disk.
            state_machine: Applies committed entries.
            now_s: The process's clock.
        """
        self.replica: Replica | None = None
        self.is_leader = False
        self._settings = settings
        self._state_machine = state_machine
        self._handlers = {
            LeaderReady: self._on_leader_ready,
            LeaderLost: self._on_leader_lost,
            EntriesCommitted: self._on_entries_committed,
            SnapshotInstalled: self._on_snapshot_installed,
            SnapshotNeeded: self._on_snapshot_needed,
        }
        if settings.own.disk_incarnation:
            self.replica = Replica(_replica_settings(settings), stored, now_s)

    @property
    def term(self) -> int:
        """Newest term known to the replica, 0 without a replica."""
        return 0 if self.replica is None else self.replica.term

    @property
    def leader(self) -> str:
        """Name of the leader that the replica follows, empty if none."""
        return '' if self.replica is None else self.replica.leader

    def describe_source(self) -> str:
        """Returns how this entry came to know the voters."""
        if self.replica is None:
            return 'an entry without a disk keeps no list'
        if not self.replica.voters:
            return 'no membership received yet'
        return self.replica.membership_source

    @property
    def voters(self) -> tuple[str, ...]:
        """Voters of the replica's membership, empty if it knows none."""
        return () if self.replica is None else self.replica.voters

    @property
    def needs_contacts(self) -> bool:
        """Whether the replica may have to ask for the membership."""
        return self.replica is not None and not self.follows

    @property
    def follows(self) -> bool:
        """Whether the replica votes and follows a leader."""
        replica = self.replica
        return replica is not None and replica.votes and bool(replica.leader)

    def select_voters(self, voters: tuple[str, ...]) -> None:
        """Passes the selection of the first start to the replica."""
        if self.replica is not None:
            self.replica.select_voters(voters)

    def set_contacts(self, names: tuple[str, ...]) -> None:
        """Sets whom the replica asks for the membership.

        Args:
            names: Entries that may know it.
        """
        if self.replica is not None:
            self.replica.set_membership_contacts(names)

    def handle(self, event: Event, effects: list[Effect]) -> None:
        """Processes one event in the replica."""
        if self.replica is None:
            return
        self._handle_output(self.replica.handle(event), effects)
        if isinstance(event, TurnEnded) and self.is_leader:
            self._state_machine.acknowledge_stored(effects)

    def transfer_leadership(self, effects: list[Effect]) -> None:
        """Transfers leadership to another voter before this process stops."""
        if self.replica is not None:
            self._handle_output(self.replica.transfer_leadership(), effects)

    def holds_leader_lease(self, now_s: float) -> bool:
        """Whether this entry leads with a valid lease."""
        return (
            self.is_leader
            and self.replica is not None
            and self.replica.has_leader_lease(now_s)
        )

    def replica_if_leader(self) -> Replica | None:
        """Returns the replica if this entry leads, else None."""
        return self.replica if self.is_leader else None

    def _handle_output(
        self, output: ReplicaOutput, effects: list[Effect]
    ) -> None:
        effects.extend(output.effects)
        for notice in output.notices:
            handler = self._handlers.get(type(notice))
            if handler is not None:
                handler(notice, effects)
            elif isinstance(notice, LeaderKnown):
                effects.append(
                    Record(
                        'leader known',
                        subject=notice.leader,
                        detail=f'term {notice.term}',
                        logged=True,
                    ),
                )

    def _on_leader_ready(
        self, notice: LeaderReady, effects: list[Effect]
    ) -> None:
        self.is_leader = True
        effects.append(
            Record(
                EventKind.LEADER_ELECTED,
                subject=self._settings.own.name,
                detail=f'term {notice.term}',
                logged=True,
            ),
        )

    def _on_leader_lost(
        self, notice: LeaderLost, effects: list[Effect]
    ) -> None:
        self.is_leader = False
        self._state_machine.leadership_lost(effects)
        effects.append(
            Record(
                EventKind.LEADER_LOST,
                subject=self._settings.own.name,
                detail=f'term {notice.term}',
                logged=True,
            ),
        )

    def _on_entries_committed(
        self,
        notice: EntriesCommitted,
        effects: list[Effect],
    ) -> None:
        self._state_machine.entries_committed(notice.entries, effects)

    def _on_snapshot_installed(
        self,
        notice: SnapshotInstalled,
        effects: list[Effect],
    ) -> None:
        self._state_machine.snapshot_installed(
            notice.index, notice.state, effects
        )

    def _on_snapshot_needed(
        self,
        notice: Notice,
        effects: list[Effect],
    ) -> None:
        if self.replica is not None:
            index, state = self._state_machine.snapshot()
            self._handle_output(self.replica.compact(index, state), effects)


def _replica_settings(settings: FleetSettings) -> ReplicaSettings:
    return ReplicaSettings(
        settings.own.name,
        settings.own.disk_incarnation,
        voters=(),
        heartbeat_s=settings.append_s,
        election_timeout_s=settings.election_s,
        snapshot_entries=settings.snapshot_entries,
        kept_entries=settings.kept_entries,
        voters_wanted=settings.voters_wanted,
        seed=settings.seed,
    )

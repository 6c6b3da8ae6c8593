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
from ..replication.membership import MembershipHistory, decode_members
from .settings import FleetSettings
from .state_machine import StateMachine


class Voter:
    """The replicated log of an entry with a disk.

    Explanation:
        The replica exists once the entry knows the voters, either from its
        disk or from the selection that another entry announced.

    Attributes:
        replica: The replica, None before the voters are known.
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
        self._stored = stored
        self._state_machine = state_machine
        self._handlers = {
            LeaderReady: self._on_leader_ready,
            LeaderLost: self._on_leader_lost,
            EntriesCommitted: self._on_entries_committed,
            SnapshotInstalled: self._on_snapshot_installed,
            SnapshotNeeded: self._on_snapshot_needed,
        }
        names = _stored_voters(stored)
        if names:
            self._open_replica(names, now_s)

    @property
    def term(self) -> int:
        """Newest term known to the replica, 0 without a replica."""
        return 0 if self.replica is None else self.replica.term

    @property
    def leader(self) -> str:
        """Name of the leader that the replica follows, empty if none."""
        return '' if self.replica is None else self.replica.leader

    def describe_voters(self) -> str:
        """Returns the known voters and how this entry came to know them."""
        if not self._settings.own.disk_incarnation:
            return 'none, since this entry has no disk'
        if self.replica is None or not self.replica.voters:
            return 'none'
        names = ', '.join(self.replica.voters)
        return f'{names}; {self.replica.membership_source}'

    def set_voters(self, voters: tuple[str, ...], now_s: float) -> None:
        """Opens the replica with the given voters, unless it is open."""
        if self.replica is None and self._settings.own.disk_incarnation:
            self._open_replica(voters, now_s)

    def set_leader(self, leader: str) -> None:
        """Passes the leader that a peer announced to the replica."""
        if self.replica is not None:
            self.replica.set_membership_contacts((leader,))

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

    def _open_replica(self, voters: tuple[str, ...], now_s: float) -> None:
        own = self._settings.own
        settings = ReplicaSettings(
            own.name,
            own.disk_incarnation,
            tuple(sorted(voters)),
            heartbeat_s=self._settings.append_s,
            election_timeout_s=self._settings.election_s,
            snapshot_entries=self._settings.snapshot_entries,
            kept_entries=self._settings.kept_entries,
            voters_wanted=self._settings.voters_wanted,
            seed=self._settings.seed,
        )
        self.replica = Replica(settings, self._stored, now_s)

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


def _stored_voters(stored: StoredLog) -> tuple[str, ...]:
    """Returns the voters of the newest membership on the disk."""
    history = MembershipHistory(
        stored.snapshot_index,
        decode_members(stored.members),
    )
    history.record_changes(stored.entries)
    return tuple(member.name for member in history.voters())

"""An entry's replica of the log, and who leads."""

from ..configuration.keeper import ConfigurationKeeper
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
    SnapshotWanted,
    StoredLog,
)
from ..replication.membership import MembershipHistory, decode_members
from .settings import FleetSettings


class Voter:
    """The replicated log of an entry with a disk.

    Explanation:
        The replica exists once the entry knows the voters: from its disk,
        or from the choice that it was told.

    Attributes:
        replica: The replica, None before the voters are known.
        leads: Whether this entry leads and may decide.
    """

    def __init__(
        self,
        settings: FleetSettings,
        stored: StoredLog,
        keeper: ConfigurationKeeper,
        now_s: float,
    ) -> None:
        """Starts from what the disk held.

        Args:
            settings: Settings of the entry.
            stored: Contents of the disk.
            keeper: The state machine above the log.
            now_s: The process's clock.
        """
        self.replica: Replica | None = None
        self.leads = False
        self._settings = settings
        self._stored = stored
        self._keeper = keeper
        self._handlers = {
            LeaderReady: self._on_ready,
            LeaderLost: self._on_lost,
            EntriesCommitted: self._on_committed,
            SnapshotInstalled: self._on_installed,
            SnapshotWanted: self._on_snapshot_wanted,
        }
        names = _stored_voters(stored)
        if names:
            self._open(names, now_s)

    @property
    def term(self) -> int:
        """Newest term that the replica knows, 0 without one."""
        return 0 if self.replica is None else self.replica.term

    @property
    def leader(self) -> str:
        """Name of the leader that the replica follows, if any."""
        return '' if self.replica is None else self.replica.leader

    def chosen(self, voters: tuple[str, ...], now_s: float) -> None:
        """Takes the names of the voters, unless they are known already."""
        if self.replica is None and self._settings.own.disk_incarnation:
            self._open(voters, now_s)

    def leader_told(self, leader: str) -> None:
        """Takes the name of the present leader from one that knows it."""
        if self.replica is not None:
            self.replica.look_for((leader,))

    def handle(self, event: Event, effects: list[Effect]) -> None:
        """Feeds one event to the replica."""
        if self.replica is None:
            return
        self._take(self.replica.handle(event), effects)
        if isinstance(event, TurnEnded) and self.leads:
            self._keeper.answer_stored(effects)

    def hand_over(self, effects: list[Effect]) -> None:
        """Lets another voter lead, since this process is about to stop."""
        if self.replica is not None:
            self._take(self.replica.hand_over(), effects)

    def leads_now(self, now_s: float) -> bool:
        """Whether this entry leads under a valid lease."""
        return (
            self.leads
            and self.replica is not None
            and self.replica.has_quorum(now_s)
        )

    def deciding(self) -> Replica | None:
        """Returns the replica if this entry may decide."""
        return self.replica if self.leads else None

    def _open(self, voters: tuple[str, ...], now_s: float) -> None:
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

    def _take(self, output: ReplicaOutput, effects: list[Effect]) -> None:
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

    def _on_ready(self, notice: LeaderReady, effects: list[Effect]) -> None:
        self.leads = True
        effects.append(
            Record(
                EventKind.LEADER_ELECTED,
                subject=self._settings.own.name,
                detail=f'term {notice.term}',
                logged=True,
            ),
        )

    def _on_lost(self, notice: LeaderLost, effects: list[Effect]) -> None:
        self.leads = False
        self._keeper.lost_leadership(effects)
        effects.append(
            Record(
                EventKind.LEADER_LOST,
                subject=self._settings.own.name,
                detail=f'term {notice.term}',
                logged=True,
            ),
        )

    def _on_committed(
        self,
        notice: EntriesCommitted,
        effects: list[Effect],
    ) -> None:
        self._keeper.applied(notice.entries, effects)

    def _on_installed(
        self,
        notice: SnapshotInstalled,
        effects: list[Effect],
    ) -> None:
        self._keeper.installed(notice.index, notice.state, effects)

    def _on_snapshot_wanted(
        self,
        notice: Notice,
        effects: list[Effect],
    ) -> None:
        if self.replica is not None:
            index, state = self._keeper.snapshot()
            self._take(self.replica.compact(index, state), effects)


def _stored_voters(stored: StoredLog) -> tuple[str, ...]:
    """Returns the names of the newest membership on the disk."""
    history = MembershipHistory(
        stored.snapshot_index,
        decode_members(stored.members),
    )
    history.observe(stored.entries)
    return tuple(member.name for member in history.voters())

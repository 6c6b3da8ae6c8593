"""Reports whom an entry takes for voters, and why it waits to join them."""

from collections.abc import Callable
from dataclasses import dataclass

from ..discovery import Discovery
from ..effects import Effect, Record
from ..events import PeerRole
from .voter import Voter

# Interval of the reports of an entry that waits, so that one that waits for
# hours doesn't fill the log.
WAIT_REPORT_INTERVAL_S = 5.0
# An entry with a disk is usually admitted sooner after its start.
WAIT_REPORT_DELAY_S = 1.0


@dataclass(frozen=True, slots=True)
class MembershipStatus:
    """What an entry knows about the voters.

    Attributes:
        voters: Names of the voters of its membership.
        index: Index of the log entry of that membership, 0 without one.
        source: How the entry came to know it.
        votes: Whether its own disk votes by that membership.
        wait_cause: Why an entry with a disk is no voter, empty if it is one.
    """

    voters: tuple[str, ...]
    index: int
    source: str
    votes: bool
    wait_cause: str


class MembershipReport:
    """Logs the known voters when they change, and each wait to join them."""

    def __init__(
        self,
        voter: Voter,
        discovery: Discovery,
        find_leader: Callable[[], str],
    ) -> None:
        """Shares the state of the entry.

        Args:
            voter: Its replica of the log.
            discovery: Its links.
            find_leader: Returns the name of the leader, empty if unknown.
        """
        self._voter = voter
        self._discovery = discovery
        self._find_leader = find_leader
        self._reported: tuple[tuple[str, ...], int] | None = None
        self._waits_since_s: float | None = None
        self._next_wait_report_s = 0.0

    def status(self) -> MembershipStatus:
        """Returns what this entry knows about the voters."""
        replica = self._voter.replica
        voters, index = self._find_known()
        return MembershipStatus(
            voters,
            index,
            self._voter.describe_source(),
            replica is not None and replica.votes,
            self._find_wait_cause(),
        )

    def tick(self, now_s: float, effects: list[Effect]) -> None:
        """Reports what has changed, and a wait at a bounded rate.

        Args:
            now_s: The process's clock.
            effects: List to which effects are appended.
        """
        known = self._find_known()
        if known != self._reported:
            self._reported = known
            names = ', '.join(known[0]) or 'none'
            detail = f'{names}; {self._voter.describe_source()}'
            self._report('voters known', detail, effects)
        cause = self._find_wait_cause()
        if not cause:
            self._waits_since_s = None
        elif self._waits_since_s is None:
            self._waits_since_s = now_s
            self._next_wait_report_s = now_s + WAIT_REPORT_DELAY_S
        elif now_s >= self._next_wait_report_s:
            self._next_wait_report_s = now_s + WAIT_REPORT_INTERVAL_S
            wait_s = now_s - self._waits_since_s
            detail = f'for {wait_s:.0f} s: {cause}'
            self._report('waits to join', detail, effects)

    def _report(self, kind: str, detail: str, effects: list[Effect]) -> None:
        name = self._discovery.own.name
        effects.append(Record(kind, subject=name, detail=detail, logged=True))

    def _find_known(self) -> tuple[tuple[str, ...], int]:
        """Returns the known voters and the index of their log entry."""
        replica = self._voter.replica
        if replica is None:
            return (), 0
        return replica.voters, replica.membership_index

    def _find_wait_cause(self) -> str:
        """Returns why this entry is no voter, empty if it is one."""
        replica = self._voter.replica
        if replica is None:
            return ''
        entries = len(self._discovery.peers(PeerRole.ENTRY))
        leader = self._find_leader()
        links = f'linked to {entries} entries'
        if replica.votes and (replica.leader or not leader):
            return ''
        if replica.votes:
            # Its disk has the membership from before it was replaced.
            return f'leader {leader} has no such voter; {links}'
        if not leader:
            return f'no leader is known that could admit it; {links}'
        return f'leader {leader} has not admitted it yet; {links}'

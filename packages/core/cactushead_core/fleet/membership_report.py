"""Reports whom an entry takes for voters, and why it waits to join them."""

from collections.abc import Callable

from ..discovery import Discovery
from ..effects import Effect, Record
from ..events import PeerRole
from .voter import Voter

# Interval of the reports of an entry that waits, so that one that waits for
# hours doesn't fill the log.
WAIT_REPORT_INTERVAL_S = 5.0


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
        self._wait_reported_s = float('-inf')

    def tick(self, now_s: float, effects: list[Effect]) -> None:
        """Reports what has changed, and a wait at a bounded rate.

        Args:
            now_s: The process's clock.
            effects: List to which effects are appended.
        """
        own = self._discovery.own
        known = self._find_known()
        if known != self._reported:
            self._reported = known
            effects.append(
                Record(
                    'voters known',
                    subject=own.name,
                    detail=self._voter.describe_voters(),
                    logged=True,
                )
            )
        cause = self._find_wait_cause()
        if cause and now_s - self._wait_reported_s >= WAIT_REPORT_INTERVAL_S:
            self._wait_reported_s = now_s
            effects.append(
                Record(
                    'waits to join',
                    subject=own.name,
                    detail=cause,
                    logged=True,
                )
            )

    def _find_known(self) -> tuple[tuple[str, ...], int]:
        """Returns the known voters and the index of their log entry."""
        replica = self._voter.replica
        if replica is None:
            return (), 0
        return replica.voters, replica.membership_index

    def _find_wait_cause(self) -> str:
        """Returns why this entry is no voter, empty if it is one."""
        replica = self._voter.replica
        if replica is None or replica.votes:
            return ''
        entries = len(self._discovery.peers(PeerRole.ENTRY))
        leader = self._find_leader()
        links = f'linked to {entries} entries'
        if not leader:
            return f'no leader is known that could admit it; {links}'
        return f'leader {leader} has not admitted it yet; {links}'

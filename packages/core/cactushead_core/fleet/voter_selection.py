"""Selects the voters when a fleet starts for the first time.

Explanation:
    The seed with the smallest address selects; all processes have the same
    seeds at the first start. It waits until its set of known entries with a
    disk has been stable for `STABLE_PERIOD_S` and announces the selection to
    all entries. A process keeps the first selection that it receives, until a
    leader shows that the membership exists.
"""

from collections import Counter
from operator import attrgetter

from ..discovery import Discovery, MemberAddress
from ..effects import Effect, Record
from .settings import FleetSettings

# Processes start within 0.3 s of each other, and introductions take less
# than another 0.3 s.
STABLE_PERIOD_S = 0.7


class VoterSelection:
    """Selection of the initial voters.

    Attributes:
        selected: The selection, empty before it and after its use.
    """

    def __init__(self, settings: FleetSettings, discovery: Discovery) -> None:
        """Initializes the state before the selection.

        Args:
            settings: Settings of the entry.
            discovery: Known and connected members.
        """
        self.selected: tuple[str, ...] = ()
        self._ended = False
        self._settings = settings
        self._discovery = discovery
        self._candidate_names: frozenset[str] = frozenset()
        self._unchanged_since_s = 0.0
        seeds = sorted(settings.seeds)
        self._is_selector = (
            settings.first_start
            and bool(seeds)
            and settings.own.endpoint == seeds[0]
        )

    def receive(self, voters: tuple[str, ...]) -> bool:
        """Takes over a selection unless there is one; returns whether it did.

        Args:
            voters: Voters that another entry names, empty for none.
        """
        if not voters or self.selected or self._ended:
            return False
        if not self._settings.takes_selection:
            return False
        self.selected = voters
        return True

    def end(self) -> None:
        """Forgets the selection, as the fleet has a membership."""
        self.selected = ()
        self._ended = True

    def select(self, now_s: float, effects: list[Effect]) -> tuple[str, ...]:
        """Selects the voters once the set of entries with a disk is stable.

        Args:
            now_s: The process's clock.
            effects: List to which effects are appended.

        Returns:
            Names of the voters, empty if none are selected now.
        """
        if not self._is_selector or self.selected or self._ended:
            return ()
        members = self._candidates()
        names = frozenset(member.name for member in members)
        if names != self._candidate_names:
            self._candidate_names = names
            self._unchanged_since_s = now_s
            return ()
        wanted = self._settings.voters_wanted
        if (
            now_s - self._unchanged_since_s < STABLE_PERIOD_S
            or len(members) < wanted
        ):
            return ()
        self.selected = tuple(sorted(spread_over_data_centres(members, wanted)))
        detail = ', '.join(self.selected)
        effects.append(Record('voters chosen', detail=detail, logged=True))
        return self.selected

    def _candidates(self) -> list[MemberAddress]:
        known = (self._settings.own, *self._discovery.members)
        return [
            member
            for member in known
            if member.disk_incarnation and self._is_connected(member.name)
        ]

    def _is_connected(self, name: str) -> bool:
        return name == self._settings.own.name or (
            name in self._discovery.connected
        )


def spread_over_data_centres(
    members: list[MemberAddress], count: int
) -> list[str]:
    """Selects members in as many data centres as possible.

    Args:
        members: Candidates.
        count: Number of members to select.

    Returns:
        Names of the selected members.
    """
    ranks: Counter[str] = Counter()
    ranked: list[tuple[int, str]] = []
    for member in sorted(members, key=attrgetter('name')):
        ranked.append((ranks[member.data_centre], member.name))
        ranks[member.data_centre] += 1
    return [name for _, name in sorted(ranked)[:count]]

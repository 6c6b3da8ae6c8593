"""Settings of a fleet's entry."""

from dataclasses import dataclass, field

from ..discovery import Endpoint, MemberAddress
from ..dispatch.settings import DispatchSettings


@dataclass(frozen=True, slots=True)
class FleetSettings:
    """Settings of an entry of a fleet.

    Attributes:
        own: What the entry tells the others of itself.
        seeds: Where it looks for the others.
        losses: Disks that may be lost at once; there are two voters for
            each of them, and one more.
        first_start: Whether the whole fleet starts for the first time.
        append_s: Longest time between two messages of a leader to a voter.
        election_s: Shortest silence of a leader before an election; four
            heartbeats, so that three lost ones are borne.
        snapshot_entries: Log entries after which a snapshot replaces them;
            0 for each one, so that an entry that starts has a committed
            configuration before a leader is known.
        kept_entries: Entries in memory for voters that are a little behind;
            more than there are changes in a minute.
        dispatch: Settings of the dispatcher.
        seed: Seed of all jitter.
    """

    own: MemberAddress
    seeds: tuple[Endpoint, ...]
    losses: int = 1
    first_start: bool = False
    append_s: float = 0.15
    election_s: float = 0.6
    snapshot_entries: int = 0
    kept_entries: int = 100
    dispatch: DispatchSettings = field(default_factory=DispatchSettings)
    seed: int = 0

    @property
    def voters_wanted(self) -> int:
        """Number of voters of which `losses` may be lost."""
        return 2 * self.losses + 1

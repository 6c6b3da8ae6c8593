"""Settings of an entry of a fleet."""

from dataclasses import dataclass, field

from ..discovery import Endpoint, MemberAddress
from ..dispatch.settings import DispatchSettings


@dataclass(frozen=True, slots=True)
class FleetSettings:
    """Settings of an entry of a fleet.

    Attributes:
        own: Address of the entry.
        seeds: Addresses at which it looks for other processes.
        losses: Number of disks that may be lost at the same time; 2 n + 1
            voters tolerate n losses.
        first_start: Whether the fleet starts for the first time.
        is_disk_from_first_start: Whether the disk has been kept since the
            fleet's first start.
        append_s: Maximum interval between two messages of a leader to a
            voter.
        election_s: Minimum election timeout; four heartbeats, which
            tolerates three lost ones.
        snapshot_entries: Log entries after which a snapshot replaces them;
            0 for a snapshot after each one, so that a restarted entry has
            a committed configuration before a leader is known.
        kept_entries: Entries kept in memory for voters that lag slightly;
            more than the changes of a minute.
        data_centres: Data centres that may be evacuated; empty if any name is
            accepted.
        dispatch: Settings of the dispatcher.
        seed: Seed of the random jitter.
    """

    own: MemberAddress
    seeds: tuple[Endpoint, ...]
    losses: int = 1
    first_start: bool = False
    is_disk_from_first_start: bool = False
    append_s: float = 0.15
    election_s: float = 0.6
    snapshot_entries: int = 0
    kept_entries: int = 100
    data_centres: tuple[str, ...] = ()
    dispatch: DispatchSettings = field(default_factory=DispatchSettings)
    seed: int = 0

    @property
    def takes_selection(self) -> bool:
        """Whether the entry takes part in the selection of the first voters.

        Explanation:
            A disk that has been lost since the first start must not: a
            membership may exist that its old one was part of, and other lost
            disks would form a second one with it.
        """
        return self.first_start or self.is_disk_from_first_start

    @property
    def voters_wanted(self) -> int:
        """Number of voters that tolerates the loss of `losses` of them."""
        return 2 * self.losses + 1

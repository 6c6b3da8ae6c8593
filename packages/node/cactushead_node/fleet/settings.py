"""Settings of a fleet's processes."""

from dataclasses import dataclass, field

from cactushead_core.discovery import Endpoint, MemberAddress
from cactushead_core.dispatch.settings import DispatchSettings

from ..settings.model import Address

# What is left of the grace is for closing links and files.
DRAIN_GRACE_RATIO = 0.9


@dataclass(frozen=True, slots=True)
class FleetEntrySettings:
    """Settings of an entry.

    Attributes:
        own: Name, data centre and address for links.
        seeds: Where it looks for the others.
        callers: Where callers connect.
        operators: Where operators connect.
        readiness: Where a balancer asks whether it is ready.
        data_dir: Folder of its state; empty without a disk.
        losses: Disks that may be lost at once.
        first_start: Whether the whole fleet starts for the first time.
        grace_s: Time from a stop signal until the process is killed.
        dispatch: Settings of the dispatcher.
    """

    own: MemberAddress
    seeds: tuple[Endpoint, ...]
    callers: Address
    operators: Address
    readiness: Address
    data_dir: str = ''
    losses: int = 1
    first_start: bool = False
    grace_s: float = 6.0
    dispatch: DispatchSettings = field(default_factory=DispatchSettings)


@dataclass(frozen=True, slots=True)
class FleetAgentSettings:
    """Settings of an agent.

    Attributes:
        own: Name, data centre and address for links.
        seeds: Where it looks for the entries.
        heartbeats: Where its upstream sends heartbeats.
        lease_s: Longest lease that the upstream gives.
        grace_s: Time from a stop signal until the process is killed.
    """

    own: MemberAddress
    seeds: tuple[Endpoint, ...]
    heartbeats: Address
    lease_s: float = 1.0
    grace_s: float = 6.0

    @property
    def drain_s(self) -> float:
        """How long runs may go on after a stop signal."""
        return DRAIN_GRACE_RATIO * self.grace_s

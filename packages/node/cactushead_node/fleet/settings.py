"""Settings of a fleet's processes."""

from dataclasses import dataclass, field

from cactushead_core.discovery import Endpoint, MemberAddress
from cactushead_core.dispatch.settings import DispatchSettings

from ..settings.model import (
    Address,
    AgentConnectionLimits,
    ConnectionLimits,
)

# The rest of the grace period is left for closing links and files.
DRAIN_GRACE_RATIO = 0.9


@dataclass(frozen=True, slots=True)
class FleetEntrySettings:
    """Settings of an entry.

    Attributes:
        own: Name, data centre and link address of the process.
        seeds: Endpoints from which it discovers the fleet.
        callers: Address that it listens on for callers.
        operators: Address that it listens on for operators.
        readiness: Address of its readiness check for load balancers.
        data_dir: Data folder of its durable state; empty without a disk.
        losses: Number of disks whose simultaneous loss is tolerated.
        first_start: Whether the fleet is bootstrapped for the first time.
        grace_s: Grace period from a stop signal until the process is killed.
        data_centres: Data centres that operators may evacuate; empty if any
            name is accepted.
        dispatch: Settings of the dispatcher.
        connections: Limits of the connections to its servers.
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
    data_centres: tuple[str, ...] = ()
    dispatch: DispatchSettings = field(default_factory=DispatchSettings)
    connections: ConnectionLimits = field(default_factory=ConnectionLimits)


@dataclass(frozen=True, slots=True)
class FleetAgentSettings:
    """Settings of an agent.

    Attributes:
        own: Name, data centre and link address of the process.
        seeds: Endpoints from which it discovers the entries.
        heartbeats: Address that it listens on for upstream heartbeats.
        lease_s: Maximum lease that the upstream grants.
        grace_s: Grace period from a stop signal until the process is killed.
        claims: Whether a waiting run claims room that will become free.
        resend_s: Shortest time after which a caller without a response sends
            its job again.
        stop_s: How long the upstream takes to stop a run.
        connections: Limits of the connections to its servers.
    """

    own: MemberAddress
    seeds: tuple[Endpoint, ...]
    heartbeats: Address
    lease_s: float = 1.0
    grace_s: float = 6.0
    claims: bool = False
    resend_s: float = 1.3
    stop_s: float = 0.05
    connections: ConnectionLimits = field(default_factory=AgentConnectionLimits)

    @property
    def drain_s(self) -> float:
        """Time that runs may continue after a stop signal."""
        return DRAIN_GRACE_RATIO * self.grace_s

"""Configuration of the decisions, made by the shell from its settings."""

from dataclasses import dataclass, field
from enum import StrEnum


@dataclass(frozen=True, slots=True)
class Timing:
    """Durations that all processes of a cell agree on.

    Attributes:
        lease_s: How long an agent may start tasks after a heartbeat.
        heartbeat_s: Time between an agent's heartbeats.
        drift: Largest relative error of a monotonic clock.
        gone_s: Time after the end of a lease until an agent that stays
            silent is given up.
        remember_s: How long an ended job is remembered.
        resend_s: Time until an unacknowledged outcome is sent again.
        confirm_s: How long an accepted document's answer waits for all
            processes to confirm it.
        append_s: Longest time between two messages of a leader to a voter.
        election_s: Shortest silence of a leader before an election; the
            longest is twice as long.
    """

    lease_s: float = 2.0
    heartbeat_s: float = 0.5
    drift: float = 0.01
    gone_s: float = 4.0
    remember_s: float = 600.0
    resend_s: float = 0.5
    confirm_s: float = 2.0
    append_s: float = 0.2
    election_s: float = 1.0


@dataclass(frozen=True, slots=True)
class Bounds:
    """Sizes at which tables refuse new work.

    Attributes:
        jobs: Jobs that the leader remembers, open and ended.
        pending_requests: Requests that an entry has open.
        agent_records: Task records that an agent keeps.
    """

    jobs: int = 200_000
    pending_requests: int = 20_000
    agent_records: int = 20_000


class TaskOrderName(StrEnum):
    """Orders of waiting tasks; the second is a baseline."""

    FAIR = 'fair'
    ARRIVAL = 'arrival'


class PlacementPolicyName(StrEnum):
    """Choices of the upstream; the last two are baselines."""

    SPREAD = 'spread'
    FIRST_FIT = 'first_fit'
    RANDOM = 'random'


@dataclass(frozen=True, slots=True)
class Policy:
    """Which of the scheduler's policies a leader uses.

    Attributes:
        order: Order of waiting tasks.
        placement: Choice of the upstream.
        queue_depth: Tasks that may wait at an agent beyond its slots.
    """

    order: TaskOrderName = TaskOrderName.FAIR
    placement: PlacementPolicyName = PlacementPolicyName.SPREAD
    queue_depth: int = 0


@dataclass(frozen=True, slots=True)
class EntryConfig:
    """Configuration of an entry.

    Attributes:
        name: Name of the process.
        incarnation: Identity of this run of the process.
        cell: Name of the cell.
        data_centre: Data centre of the process.
        voters: Names of the cell's voters.
        disk_incarnation: Identity of the voter's disk; empty for an entry
            without a disk, which is no voter.
        synced_admission: Whether repeatable requests also wait for a
            synced majority.
        timing: Durations.
        bounds: Table sizes.
        policy: Policies of the scheduler.
        seed: Seed of jitter.
    """

    name: str
    incarnation: str
    cell: str
    data_centre: str
    voters: tuple[str, ...]
    disk_incarnation: str = ''
    synced_admission: bool = False
    timing: Timing = field(default_factory=Timing)
    bounds: Bounds = field(default_factory=Bounds)
    policy: Policy = field(default_factory=Policy)
    seed: int = 0


@dataclass(frozen=True, slots=True)
class AgentConfig:
    """Configuration of an agent.

    Attributes:
        name: Name of the process, equal to its upstream's name.
        incarnation: Identity of this run of the process.
        cell: Name of the cell.
        voters: Names of the cell's voters.
        timing: Durations.
        bounds: Table sizes.
    """

    name: str
    incarnation: str
    cell: str
    voters: tuple[str, ...]
    timing: Timing = field(default_factory=Timing)
    bounds: Bounds = field(default_factory=Bounds)

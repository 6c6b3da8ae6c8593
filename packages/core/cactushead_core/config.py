"""Configuration of the reducers, built by the I/O shell from settings."""

from dataclasses import dataclass, field
from enum import StrEnum


@dataclass(frozen=True, slots=True)
class Timing:
    """Durations and clock accuracy that all processes of a cell share.

    Attributes:
        lease_s: How long an agent may start tasks after a heartbeat.
        heartbeat_s: Time between an agent's heartbeats.
        drift: Largest relative error of a monotonic clock.
        gone_s: Time from the expiry of its lease until a silent agent is
            considered lost.
        remember_s: Retention time of an ended job.
        resend_s: Time until an unacknowledged outcome is sent again.
        confirm_s: How long the answer for an accepted document waits for
            the acknowledgements of all processes.
        append_s: Longest time between two messages of a leader to a voter.
        election_s: Shortest election timeout, the time without messages of
            a leader before an election; the longest is twice as long.
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
    """Sizes of tables at which new entries are rejected.

    Attributes:
        jobs: Open and ended jobs that the leader stores.
        pending_requests: Open requests of an entry.
        agent_records: Task records that an agent stores.
    """

    jobs: int = 200_000
    pending_requests: int = 20_000
    agent_records: int = 20_000


class TaskOrderName(StrEnum):
    """Names of the queue orders; the second is a baseline for comparison."""

    FAIR = 'fair'
    ARRIVAL = 'arrival'


class PlacementPolicyName(StrEnum):
    """Names of the placement policies; the last two are baselines."""

    SPREAD = 'spread'
    FIRST_FIT = 'first_fit'
    RANDOM = 'random'


@dataclass(frozen=True, slots=True)
class Policy:
    """The scheduling policies of a leader.

    Attributes:
        order: Order of queued tasks.
        placement: Policy that selects the upstream of a task.
        queue_depth: Largest number of tasks queued at an agent beyond its
            slots.
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
            without a disk, which is not a voter.
        synced_admission: Whether repeatable requests also wait until a
            majority has synced them.
        timing: Durations.
        bounds: Bounds of table sizes.
        policy: Scheduling policies.
        seed: Seed of the random jitter.
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
        bounds: Bounds of table sizes.
    """

    name: str
    incarnation: str
    cell: str
    voters: tuple[str, ...]
    timing: Timing = field(default_factory=Timing)
    bounds: Bounds = field(default_factory=Bounds)

"""Data classes of checked settings."""

from dataclasses import dataclass, field
from enum import StrEnum

from cactushead_core.agents.model import UpstreamSpec
from cactushead_core.config import Bounds, Policy, Timing
from cactushead_core.documents.model import Label


class Role(StrEnum):
    """What a process is started as."""

    ENTRY = 'entry'
    AGENT = 'agent'
    LOCAL = 'local'


class LogForm(StrEnum):
    """How log lines are written."""

    TEXT = 'text'
    JSON = 'json'


@dataclass(frozen=True, slots=True)
class Address:
    """Where a process listens.

    Attributes:
        host: IP number.
        port: TCP port.
    """

    host: str
    port: int


@dataclass(frozen=True, slots=True)
class VoterAddress:
    """Where a voter listens for the other processes.

    Attributes:
        name: Name of the voter's process.
        host: IP number.
        port: TCP port.
    """

    name: str
    host: str
    port: int


@dataclass(frozen=True, slots=True)
class LogSettings:
    """What is logged, and how.

    Attributes:
        level: Lowest level that is written, such as `info`.
        form: Form of the lines.
    """

    level: str = 'info'
    form: LogForm = LogForm.TEXT


@dataclass(frozen=True, slots=True)
class EntrySettings:
    """Settings of an entry.

    Attributes:
        name: Name of the process.
        cell: Name of the cell.
        data_centre: Data centre of the process.
        callers: Where callers and operators are served.
        peers: Where the other processes connect to.
        voters: The cell's voters.
        data_dir: Folder of a voter's state; empty for an entry that is no
            voter.
        synced_admission: Whether repeatable requests also wait for a synced
            majority.
        timing: Durations.
        bounds: Table sizes.
        policy: Policies of the scheduler.
        log: What is logged.
    """

    name: str
    cell: str
    data_centre: str
    callers: Address
    peers: Address
    voters: tuple[VoterAddress, ...]
    data_dir: str = ''
    synced_admission: bool = False
    timing: Timing = field(default_factory=Timing)
    bounds: Bounds = field(default_factory=Bounds)
    policy: Policy = field(default_factory=Policy)
    log: LogSettings = field(default_factory=LogSettings)

    @property
    def is_voter(self) -> bool:
        """Whether the entry keeps replicated state on a disk."""
        return bool(self.data_dir)


@dataclass(frozen=True, slots=True)
class UpstreamSettings:
    """The upstream that an agent stands beside.

    Attributes:
        host: IP number.
        port: TCP port.
        run_path: URL path that takes tasks.
        health_path: URL path of the health check.
        labels: Labels for the selectors of documents.
        slots: Tasks that the upstream runs at once.
        connections: Connections that the upstream accepts.
        cores: Processor cores of its worker.
        memory_mb: Memory of its worker.
    """

    host: str
    port: int
    run_path: str = '/run'
    health_path: str = '/healthz'
    labels: tuple[Label, ...] = ()
    slots: int = 8
    connections: int = 64
    cores: float = 64.0
    memory_mb: float = 131072.0


@dataclass(frozen=True, slots=True)
class AgentSettings:
    """Settings of an agent.

    Attributes:
        name: Name of the process and of its upstream.
        cell: Name of the cell.
        data_centre: Data centre of its worker.
        rack: Rack of its worker.
        upstream: The upstream.
        voters: The cell's voters.
        timing: Durations.
        bounds: Table sizes.
        log: What is logged.
    """

    name: str
    cell: str
    data_centre: str
    rack: str
    upstream: UpstreamSettings
    voters: tuple[VoterAddress, ...]
    timing: Timing = field(default_factory=Timing)
    bounds: Bounds = field(default_factory=Bounds)
    log: LogSettings = field(default_factory=LogSettings)

    @property
    def upstream_spec(self) -> UpstreamSpec:
        """What the agent announces of its upstream."""
        return UpstreamSpec(
            name=self.name,
            labels=self.upstream.labels,
            slots=self.upstream.slots,
            connections=self.upstream.connections,
            cores=self.upstream.cores,
            memory_mb=self.upstream.memory_mb,
            rack=self.rack,
            data_centre=self.data_centre,
        )


@dataclass(frozen=True, slots=True)
class LocalSettings:
    """Settings of a whole small system in one process.

    Attributes:
        callers: Where callers and operators are served.
        data_dir: Folder of the replicated state.
        slots: Tasks that the sample upstream runs at once.
        timing: Durations.
        bounds: Table sizes.
        log: What is logged.
    """

    callers: Address = Address('127.0.0.1', 8470)
    data_dir: str = './cactushead-data'
    slots: int = 8
    timing: Timing = field(default_factory=Timing)
    bounds: Bounds = field(default_factory=Bounds)
    log: LogSettings = field(default_factory=LogSettings)

"""Data classes of validated settings."""

from dataclasses import dataclass, field
from enum import StrEnum

from cactushead_core.agents.model import UpstreamSpec
from cactushead_core.config import Bounds, Policy, Timing
from cactushead_core.documents.model import Label

BYTES_PER_KB = 1024
BYTES_PER_MB = 1024 * BYTES_PER_KB


class Role(StrEnum):
    """Role of a process, selected on its command line."""

    ENTRY = 'entry'
    AGENT = 'agent'
    LOCAL = 'local'


class LogForm(StrEnum):
    """Output format of log lines."""

    TEXT = 'text'
    JSON = 'json'


@dataclass(frozen=True, slots=True)
class Address:
    """Address that a process listens on.

    Attributes:
        host: IP address.
        port: TCP port.
    """

    host: str
    port: int


@dataclass(frozen=True, slots=True)
class VoterAddress:
    """Address that a voter listens on for connections of other processes.

    Attributes:
        name: Name of the voter's process.
        host: IP address.
        port: TCP port.
    """

    name: str
    host: str
    port: int


@dataclass(frozen=True, slots=True)
class LogSettings:
    """Settings of the log.

    Attributes:
        level: Lowest level of the lines that are written, such as `info`.
        form: Output format of the lines; the field `format` in the file.
    """

    level: str = 'info'
    form: LogForm = LogForm.TEXT


@dataclass(frozen=True, slots=True)
class ConnectionLimits:
    """Limits of one connection, and of all connections together.

    Explanation:
        The defaults are above what a caller inside the documented limits of
        the platform holds, and their sum is below the memory of the smallest
        instance.

    Attributes:
        max_connections: Open connections of one listen address.
        reserved_descriptors: File descriptors of the process that connections
            to its HTTP servers may not use. Links, files and calls to
            upstreams need them.
        max_handshakes: Accepted links whose peer is not identified yet.
        max_read_ahead_bytes: Bytes of one connection that were received behind
            the request that is being handled.
        total_read_ahead_bytes: The same for all connections together.
        max_body_bytes: Size of one request body.
        total_body_bytes: Size of all request bodies whose requests are being
            received or handled.
        max_reply_bytes: Most that one reply counts until it is accepted; a
            connection has one at a time, over HTTP/2 one for each stream.
        total_reply_bytes: Replies of all connections that have not been
            accepted yet.
        max_streams: Requests in progress on one HTTP/2 connection.
        total_streams: Requests in progress on all HTTP/2 connections.
    """

    max_connections: int = 1000
    reserved_descriptors: int = 512
    max_handshakes: int = 512
    max_read_ahead_bytes: int = 512 * BYTES_PER_KB
    total_read_ahead_bytes: int = 16 * BYTES_PER_MB
    max_body_bytes: int = 4 * BYTES_PER_MB
    total_body_bytes: int = 32 * BYTES_PER_MB
    max_reply_bytes: int = 8 * BYTES_PER_MB
    total_reply_bytes: int = 32 * BYTES_PER_MB
    max_streams: int = 64
    total_streams: int = 512


@dataclass(frozen=True, slots=True)
class AgentConnectionLimits(ConnectionLimits):
    """Limits of an agent, which only its upstream calls.

    Explanation:
        An agent has about half of the memory of an entry.
    """

    max_connections: int = 256
    total_read_ahead_bytes: int = 4 * BYTES_PER_MB
    total_body_bytes: int = 16 * BYTES_PER_MB
    total_reply_bytes: int = 8 * BYTES_PER_MB


@dataclass(frozen=True, slots=True)
class EntrySettings:
    """Settings of an entry.

    Attributes:
        name: Name of the process.
        cell: Name of the cell.
        data_centre: Data centre of the process.
        callers: Address that callers and operators connect to.
        peers: Address that the other processes connect to.
        voters: Addresses of the cell's voters.
        data_dir: Data folder of a voter's replicated state; empty if the
            entry is not a voter.
        synced_admission: Whether the admission of repeatable requests also
            waits until a majority of the voters has synced the job to disk.
        timing: Time-outs, intervals and the clock drift.
        bounds: Maximum sizes of tables.
        policy: Policies of the scheduler.
        connections: Limits of the connections to its servers.
        log: Settings of the log.
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
    connections: ConnectionLimits = field(default_factory=ConnectionLimits)
    log: LogSettings = field(default_factory=LogSettings)

    @property
    def is_voter(self) -> bool:
        """Whether the entry stores replicated state on disk."""
        return bool(self.data_dir)


@dataclass(frozen=True, slots=True)
class UpstreamSettings:
    """The upstream that an agent is deployed next to.

    Attributes:
        host: IP address.
        port: TCP port.
        run_path: URL path that tasks are sent to.
        health_path: URL path of the health check.
        labels: Labels that the selectors of documents are matched with.
        slots: Maximum number of tasks that the upstream runs concurrently.
        connections: Maximum number of connections that the upstream accepts.
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
        voters: Addresses of the cell's voters.
        timing: Time-outs, intervals and the clock drift.
        bounds: Maximum sizes of tables.
        log: Settings of the log.
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
        """Description of the upstream that the agent announces."""
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
    """Settings of a single process with an entry, an agent and an upstream.

    Attributes:
        callers: Address that callers and operators connect to.
        data_dir: Data folder of the replicated state.
        slots: Maximum number of tasks that the sample upstream runs
            concurrently.
        timing: Time-outs, intervals and the clock drift.
        bounds: Maximum sizes of tables.
        connections: Limits of the connections to its servers.
        log: Settings of the log.
    """

    callers: Address = Address('127.0.0.1', 8470)
    data_dir: str = './cactushead-data'
    slots: int = 8
    timing: Timing = field(default_factory=Timing)
    bounds: Bounds = field(default_factory=Bounds)
    connections: ConnectionLimits = field(default_factory=ConnectionLimits)
    log: LogSettings = field(default_factory=LogSettings)

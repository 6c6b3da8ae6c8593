"""Value objects of a configuration."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class QueueDocument:
    """A queue that callers send jobs to.

    Attributes:
        name: Name of the queue.
        host: Host name of the queue's requests.
        path_prefix: Path prefix of the queue's requests.
        service: Service whose upstreams run its tasks.
        priority: Priority; 0 is the highest.
        max_starts: Failed runs of a task after which its job fails.
        slack_factor: Response time objective as a multiple of the critical
            path's work.
        latency_s: Constant part of the objective, added to that multiple.
        timeout_s: Longest time until a response that needs no run.
        unsupported: Settings of the queue that this software does not
            support.
    """

    name: str
    host: str
    path_prefix: str
    service: str
    priority: int = 0
    max_starts: int = 1
    slack_factor: float = 2.0
    latency_s: float = 0.0
    timeout_s: float = 30.0
    unsupported: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class ServicePool:
    """A service and the behaviour of its upstreams.

    Attributes:
        name: Name of the service.
        refuses_overload: Whether upstreams refuse tasks beyond their
            capacity.
    """

    name: str
    refuses_overload: bool = False


@dataclass(frozen=True, slots=True)
class Configuration:
    """All queues and services under one version.

    Attributes:
        version: Its version; the highest is active.
        source: The bytes that the operator submitted, returned unchanged to
            readers.
        queues: Its queues.
        services: Its services.
        body_bytes: Maximum size of a request body.
    """

    version: int
    source: bytes
    queues: tuple[QueueDocument, ...] = ()
    services: tuple[ServicePool, ...] = ()
    body_bytes: int = 1 << 20

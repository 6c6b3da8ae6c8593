"""Confines queues whose jobs crash upstreams to a part of the upstreams."""

import math
import zlib
from collections.abc import Collection

# A single bad job is no reason to confine its queue.
CONFINING_JOBS = 2
# A queue is released this long after its last crashing job: longer than an
# upstream takes to restart, during which the queue can crash nothing.
RELEASE_AFTER_S = 10.0
# The other upstreams can serve the other queues at usual load.
CONFINED_SHARE = 0.2


class Confinement:
    """Queues that are confined because several of their jobs crash upstreams.

    Explanation:
        The upstreams for confined queues are the first by a hash of the
        agents' names, so that all entries choose the same ones without
        messages.

    Examples:
        >>> confinement = Confinement()
        >>> confinement.crashing_job_found('q', now_s=1.0)
        >>> confinement.is_confined('q')
        False
        >>> confinement.crashing_job_found('q', now_s=2.0)
        >>> confinement.is_confined('q')
        True
        >>> confinement.tick(now_s=13.0)
        >>> confinement.is_confined('q')
        False
    """

    def __init__(self) -> None:
        """Starts without confined queues."""
        self._found_s: dict[str, list[float]] = {}
        self._confined: set[str] = set()

    @property
    def active(self) -> bool:
        """Whether any queue is confined."""
        return bool(self._confined)

    def is_confined(self, queue: str) -> bool:
        """Whether a queue is confined.

        Args:
            queue: Name of the queue.
        """
        return queue in self._confined

    def crashing_job_found(self, queue: str, now_s: float) -> None:
        """Records that a job of a queue crashes its upstreams.

        Args:
            queue: Name of the queue.
            now_s: The monotonic clock of the process.
        """
        times_s = self._found_s.setdefault(queue, [])
        times_s.append(now_s)
        if len(times_s) >= CONFINING_JOBS:
            self._confined.add(queue)

    def tick(self, now_s: float) -> None:
        """Forgets old findings and frees queues without recent ones.

        Args:
            now_s: The monotonic clock of the process.
        """
        for queue, times_s in list(self._found_s.items()):
            recent_s = [
                one for one in times_s if now_s - one <= RELEASE_AFTER_S
            ]
            self._found_s[queue] = recent_s
            if not recent_s:
                self._found_s.pop(queue)
                self._confined.discard(queue)


def confined_agents(names: Collection[str]) -> set[str]:
    """Returns the agents whose upstreams run the jobs of confined queues.

    Examples:
        >>> len(confined_agents([f'agent-{number}' for number in range(11)]))
        3

    Args:
        names: Names of the agents of a service.
    """
    ranked = sorted(names, key=lambda name: (zlib.crc32(name.encode()), name))
    count = math.ceil(CONFINED_SHARE * len(ranked))
    return set(ranked[:count])

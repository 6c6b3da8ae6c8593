"""Where callers and operators meet a fleet's entry."""

import logging
from dataclasses import dataclass

import trio
from cactushead_core.configuration import Configuration
from cactushead_core.configuration.events import (
    ConfigurationSubmitted,
    NewestQueried,
)
from cactushead_core.configuration.model import QueueDocument
from cactushead_core.dispatch import BestEffortSubmitted, WithdrawRequested
from cactushead_core.effects import Response
from cactushead_core.fleet import FleetEntry
from cactushead_core.tasks import (
    BestEffortJob,
    JobEnd,
    JobPhase,
    JobStep,
)

from ..ports import Clock
from ..request_port import RequestPort

# A fleet that starts again has elected a leader by then.
STARTUP_WAIT_S = 3.0
CONFIGURATION_POLL_S = 0.05

_log = logging.getLogger('cactushead.door')


@dataclass(frozen=True, slots=True)
class QueueUnknown(Response):
    """No queue has the request's host and path."""


@dataclass(frozen=True, slots=True)
class NotReady(Response):
    """The entry can't tell yet whether it serves the request."""


@dataclass(frozen=True, slots=True)
class Unsupported(Response):
    """The job needs something that the project doesn't have."""

    feature: str


@dataclass(frozen=True, slots=True)
class JobState(Response):
    """Where a job stands at this entry.

    Attributes:
        state: The state; None when the job is unknown.
    """

    state: JobPhase | JobEnd | None


@dataclass(frozen=True, slots=True)
class Pending(Response):
    """How many jobs of a queue have not begun at this entry."""

    jobs: int


@dataclass(frozen=True, slots=True)
class JobDraft:
    """A job as a caller sent it, before its queue is known.

    Attributes:
        payload: What the upstreams get.
        steps: Its steps.
        response_timeout_s: How long the caller waits.
        unsupported: Features that it needs and the project doesn't have.
    """

    payload: str
    steps: tuple[JobStep, ...]
    response_timeout_s: float
    unsupported: tuple[str, ...] = ()


class EntryGateway:
    """Passes requests to the entry's reducer once their queue is found."""

    def __init__(
        self,
        node: FleetEntry,
        requests: RequestPort,
        now: Clock,
    ) -> None:
        """Opens the door of an entry.

        Args:
            node: The entry's reducer.
            requests: The way to it.
            now: The process's clock.
        """
        self.stopping = False
        self._startup_wait_end_s = now() + STARTUP_WAIT_S
        self._node = node
        self._requests = requests
        self._now = now
        self._warned_features: set[str] = set()

    @property
    def ready(self) -> bool:
        """Whether a balancer should send callers here."""
        if self.stopping or self._node.configuration.in_force is None:
            return False
        views = self._node.dispatcher.views.values()
        return any(view.usable for view in views)

    async def find_queue(
        self,
        host: str,
        path: str,
    ) -> QueueDocument | Response:
        """Returns a request's queue, or why there is none.

        Explanation:
            An entry that has just started waits for the configuration,
            which the others send it as soon as they are linked.

        Args:
            host: Host that the caller names, perhaps with a port.
            path: Path of the request.
        """
        keeper = self._node.configuration
        while (
            keeper.in_force is None and self._now() < self._startup_wait_end_s
        ):
            await trio.sleep(CONFIGURATION_POLL_S)
        if keeper.in_force is None:
            return NotReady()
        queue = keeper.queues.find(host.rpartition(':')[0] or host, path)
        if queue is not None:
            return queue
        if self._node.can_refuse_unknown(self._now()):
            return QueueUnknown()
        return NotReady()

    async def submit(
        self,
        queue: QueueDocument,
        job: str,
        draft: JobDraft,
    ) -> Response:
        """Submits a job and waits for its end.

        Args:
            queue: Its queue.
            job: Its id.
            draft: The rest of it.
        """
        missing = draft.unsupported + queue.unsupported
        if missing:
            self._warn_once(missing[0])
            return Unsupported(missing[0])
        submitted = BestEffortJob(
            job,
            queue.name,
            queue.service,
            draft.payload,
            draft.steps,
            queue.priority,
            queue.max_starts,
            queue.slack_factor,
            queue.latency_s,
            draft.response_timeout_s,
        )
        return await self._requests.request(
            lambda now_s, number: BestEffortSubmitted(now_s, number, submitted),
        )

    def state(self, job: str) -> JobState:
        """Returns where a job stands.

        Args:
            job: Its id.
        """
        return JobState(self._node.dispatcher.state(job))

    def pending(self, queue: QueueDocument) -> Pending:
        """Returns how many jobs of a queue have not begun.

        Args:
            queue: The queue.
        """
        return Pending(self._node.dispatcher.pending(queue.name))

    async def cancel(self, job: str) -> Response:
        """Cancels a job.

        Args:
            job: Its id.
        """
        return await self._requests.request(
            lambda now_s, number: WithdrawRequested(now_s, number, job),
        )

    async def store(self, configuration: Configuration) -> Response:
        """Stores a checked configuration.

        Args:
            configuration: The configuration.
        """
        return await self._requests.request(
            lambda now_s, number: ConfigurationSubmitted(
                now_s,
                number,
                configuration,
            ),
        )

    async def newest(self) -> Response:
        """Returns the newest stored configuration."""
        return await self._requests.request(_query_newest)

    def _warn_once(self, feature: str) -> None:
        if feature not in self._warned_features:
            self._warned_features.add(feature)
            _log.warning('door: jobs that need %s are refused', feature)


def _query_newest(now_s: float, number: int) -> NewestQueried:
    return NewestQueried(now_s, number)

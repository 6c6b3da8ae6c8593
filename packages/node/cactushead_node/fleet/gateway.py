"""Interface of a fleet's entry to its servers for callers and operators."""

import logging
from dataclasses import dataclass

import trio
from cactushead_core.configuration import (
    Configuration,
    ConfigurationStatus,
)
from cactushead_core.configuration.events import (
    ConfigurationSubmitted,
    NewestRequested,
)
from cactushead_core.configuration.model import QueueDocument
from cactushead_core.dispatch import BestEffortSubmitted, CancelRequested
from cactushead_core.effects import Response
from cactushead_core.evacuation import EvacuationRequested
from cactushead_core.fleet import FleetEntry, MembershipStatus
from cactushead_core.tasks import (
    BestEffortJob,
    JobEnd,
    JobPhase,
    JobStep,
)

from ..ports import Clock
from ..request_port import RequestPort

# A restarted fleet elects a leader within this time.
STARTUP_WAIT_S = 3.0
CONFIGURATION_POLL_S = 0.05

_log = logging.getLogger('cactushead.door')


@dataclass(frozen=True, slots=True)
class QueueUnknown(Response):
    """No queue is routed from the host and path of the request."""


@dataclass(frozen=True, slots=True)
class NotReady(Response):
    """The entry does not know yet whether the request has a queue."""


@dataclass(frozen=True, slots=True)
class Unsupported(Response):
    """The job or its queue requires a feature that is not implemented.

    Attributes:
        feature: Name of the feature.
    """

    feature: str


@dataclass(frozen=True, slots=True)
class JobState(Response):
    """State of a job at this entry.

    Attributes:
        state: The state; None if the job is unknown.
    """

    state: JobPhase | JobEnd | None


@dataclass(frozen=True, slots=True)
class Pending(Response):
    """Number of jobs of a queue that have not started at this entry.

    Attributes:
        jobs: Number of jobs.
    """

    jobs: int


@dataclass(frozen=True, slots=True)
class JobDraft:
    """A job as received from a caller, before its queue is known.

    Attributes:
        payload: Payload that is sent to the upstreams.
        steps: Steps of the job.
        response_timeout_s: Time that the caller waits for the response.
        unsupported: Required features that are not implemented.
    """

    payload: str
    steps: tuple[JobStep, ...]
    response_timeout_s: float
    unsupported: tuple[str, ...] = ()


class EntryGateway:
    """Resolves the queues of requests and forwards them to the reducer.

    Attributes:
        stopping: Whether the entry has received a stop signal.
    """

    def __init__(
        self,
        node: FleetEntry,
        requests: RequestPort,
        now: Clock,
    ) -> None:
        """Creates the gateway of an entry.

        Args:
            node: Reducer of the entry.
            requests: Port through which requests reach the reducer.
            now: Clock of the process, in seconds.
        """
        self.stopping = False
        self._startup_wait_end_s = now() + STARTUP_WAIT_S
        self._node = node
        self._requests = requests
        self._now = now
        self._warned_features: set[str] = set()

    @property
    def ready(self) -> bool:
        """Whether a load balancer should route callers to this entry."""
        if self.stopping or self._node.configuration.active is None:
            return False
        views = self._node.dispatcher.views.values()
        return any(view.usable for view in views)

    async def find_queue(
        self,
        host: str,
        path: str,
    ) -> QueueDocument | Response:
        """Returns the queue of a request, or a response if none is found.

        Explanation:
            An entry that has just started waits up to `STARTUP_WAIT_S` for
            the configuration, which its peers send once they are connected.

        Args:
            host: Host of the request, optionally with a port.
            path: Path of the request.
        """
        configuration = self._node.configuration
        while (
            configuration.active is None
            and self._now() < self._startup_wait_end_s
        ):
            await trio.sleep(CONFIGURATION_POLL_S)
        if configuration.active is None:
            return NotReady()
        queue = configuration.queues.find(host.rpartition(':')[0] or host, path)
        if queue is not None:
            return queue
        if self._node.can_reject_unknown_queue(self._now()):
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
            queue: Queue of the job.
            job: Id of the job.
            draft: Payload, steps and time-out of the job.
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
        """Returns the state of a job at this entry.

        Args:
            job: Id of the job.
        """
        return JobState(self._node.dispatcher.state(job))

    def membership(self) -> MembershipStatus:
        """Returns what this entry knows about the voters."""
        return self._node.membership

    def configuration_status(self) -> ConfigurationStatus:
        """Returns how far the configuration of this entry is."""
        return self._node.configuration.status(self._now())

    def pending(self, queue: QueueDocument) -> Pending:
        """Returns the number of jobs of a queue that have not started.

        Args:
            queue: The queue.
        """
        return Pending(self._node.dispatcher.pending(queue.name))

    async def cancel(self, job: str) -> Response:
        """Cancels a job.

        Args:
            job: Id of the job.
        """
        return await self._requests.request(
            lambda now_s, number: CancelRequested(now_s, number, job),
        )

    async def store(self, configuration: Configuration) -> Response:
        """Stores a validated configuration.

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

    async def evacuate(self, data_centre: str, *, evacuated: bool) -> Response:
        """Evacuates a data centre, or ends its evacuation.

        Args:
            data_centre: Name of the data centre.
            evacuated: Whether no more tasks may start there.
        """
        return await self._requests.request(
            lambda now_s, number: EvacuationRequested(
                now_s,
                number,
                data_centre,
                evacuated,
            ),
        )

    def _warn_once(self, feature: str) -> None:
        """Logs a missing feature when it is first required."""
        if feature not in self._warned_features:
            self._warned_features.add(feature)
            _log.warning('door: jobs that need %s are refused', feature)


def _query_newest(now_s: float, number: int) -> NewestRequested:
    return NewestRequested(now_s, number)

"""The leader of a cell: one term of decisions."""

from ..agents.messages import Heartbeat, Outcomes, StartReport
from ..config import EntryConfig
from ..documents.messages import (
    DocumentUpdateAck,
    QueryDocuments,
    SubmitDocument,
)
from ..documents.model import ServiceDocument, ServiceState, StopRemainder
from ..effects import Effect, EventKind, Record
from ..events import Peer
from ..jobs.messages import CancelJob, QueryJob, SubmitJob
from ..messages.base import Message
from ..replication import Replica
from ..scheduling import Scheduler, UpstreamEjected
from .agents import AgentRegistry
from .context import LeaderContext
from .documents import DocumentManager
from .jobs import JobManager
from .state import ReplicatedState


class Leader:
    """Decides admission, placement and documents during one term.

    Explanation:
        Made when the term's first entry is committed, from the replicated
        state, and dropped when the term is lost; nothing it holds outlives
        the term but what it put into the log.
    """

    def __init__(
        self,
        config: EntryConfig,
        replica: Replica,
        state: ReplicatedState,
        scheduler: Scheduler,
        now_s: float,
    ) -> None:
        """Takes over from the replicated state.

        Args:
            config: Configuration of the entry.
            replica: The replicated log, which leads.
            state: The replicated state.
            scheduler: An empty scheduler.
            now_s: Monotonic clock.
        """
        self._context = LeaderContext(
            config,
            replica.term,
            replica,
            state,
            scheduler,
        )
        self._stops: dict[str, float] = {}
        for document in state.documents.values():
            scheduler.set_document(document, now_s)
        self._agents = AgentRegistry(self._context, now_s)
        self._jobs = JobManager(self._context, self._agents, now_s)
        self._documents = DocumentManager(self._context)
        self._handlers = {
            SubmitJob: self._on_submit_job,
            QueryJob: self._on_query_job,
            CancelJob: self._on_cancel_job,
            SubmitDocument: self._on_submit_document,
            QueryDocuments: self._on_query_documents,
            DocumentUpdateAck: self._on_documents_held,
            Heartbeat: self._on_heartbeat,
            StartReport: self._on_start_report,
            Outcomes: self._on_outcomes,
        }

    @property
    def term(self) -> int:
        """The leader's term."""
        return self._context.term

    def handle(self, sender: Peer, message: Message, now_s: float) -> None:
        """Takes one message of an entry or agent.

        Args:
            sender: Who sent it.
            message: The message.
            now_s: Monotonic clock.
        """
        handler = self._handlers.get(type(message))
        if handler is not None:
            handler(message, sender, now_s)

    def connected(self, peer: Peer) -> None:
        """Notes that a link came up.

        Args:
            peer: The process at its other end.
        """
        self._agents.connected(peer.name)
        self._documents.connected(peer.name)

    def disconnected(self, peer: Peer, now_s: float) -> None:
        """Notes that the last link to a process went down.

        Args:
            peer: The process.
            now_s: Monotonic clock.
        """
        self._agents.disconnected(peer.name, now_s)
        self._documents.disconnected(peer.name, now_s)

    def tick(self, now_s: float) -> None:
        """Drives all timers.

        Args:
            now_s: Monotonic clock.
        """
        for view in self._agents.tick(now_s):
            self._jobs.outcomes.lost(view, now_s)
        self._jobs.tick(now_s)
        self._documents.tick(now_s)
        self._stop_services(now_s)
        self._report_notices()

    def flush(self, now_s: float) -> None:
        """Places tasks and proposes the records of the turn.

        Args:
            now_s: Monotonic clock.
        """
        self._jobs.placer.flush(now_s)
        self._context.flush_proposals()
        self._jobs.placer.send_assignments()

    def committed(
        self,
        memory_index: int,
        synced_index: int,
        now_s: float,
    ) -> None:
        """Carries out decisions whose records count by now.

        Args:
            memory_index: Last index that a majority holds in memory.
            synced_index: Last index that a majority has synced.
            now_s: Monotonic clock.
        """
        self._context.memory_index = memory_index
        self._context.synced_index = synced_index
        self._context.release_commits(now_s)
        self._jobs.placer.send_assignments()

    def take_record(self, command: bytes) -> Message | None:
        """Returns the record of a command that this leader proposed.

        Args:
            command: The command of a committed entry.

        Returns:
            The record, or None when it must be decoded.
        """
        return self._context.own_records.pop(command, None)

    def take_effects(self) -> list[Effect]:
        """Returns and clears the effects since the last call."""
        effects = self._context.effects
        self._context.effects = []
        return effects

    def _on_submit_job(
        self,
        message: SubmitJob,
        sender: Peer,
        now_s: float,
    ) -> None:
        self._jobs.submit(message, sender.name, now_s)

    def _on_query_job(
        self,
        message: QueryJob,
        sender: Peer,
        now_s: float,
    ) -> None:
        self._jobs.query(message, sender.name)

    def _on_cancel_job(
        self,
        message: CancelJob,
        sender: Peer,
        now_s: float,
    ) -> None:
        self._jobs.cancel(message, sender.name, now_s)

    def _on_submit_document(
        self,
        message: SubmitDocument,
        sender: Peer,
        now_s: float,
    ) -> None:
        self._documents.submit(message, sender.name, now_s)

    def _on_query_documents(
        self,
        message: QueryDocuments,
        sender: Peer,
        now_s: float,
    ) -> None:
        self._documents.query(message, sender.name)

    def _on_documents_held(
        self,
        message: DocumentUpdateAck,
        sender: Peer,
        now_s: float,
    ) -> None:
        self._documents.held(message, now_s)

    def _on_heartbeat(
        self,
        message: Heartbeat,
        sender: Peer,
        now_s: float,
    ) -> None:
        lost = self._agents.heartbeat(message, now_s)
        if lost is not None:
            self._jobs.outcomes.lost(lost, now_s)

    def _on_start_report(
        self,
        message: StartReport,
        sender: Peer,
        now_s: float,
    ) -> None:
        view = self._agents.current(message.agent, message.incarnation)
        if view is None or view.reported or message.term != self.term:
            return
        if message.epoch != view.epoch:
            return
        view.reported = True
        self._jobs.outcomes.report(view, message, now_s)

    def _on_outcomes(
        self,
        message: Outcomes,
        sender: Peer,
        now_s: float,
    ) -> None:
        view = self._agents.current(message.agent, message.incarnation)
        if view is None:
            return
        for outcome in message.outcomes:
            self._jobs.outcomes.outcome(view, outcome, now_s)

    def _report_notices(self) -> None:
        for notice in self._context.scheduler.drain_notices():
            kind = EventKind.UPSTREAM_READMITTED
            detail = ''
            if isinstance(notice, UpstreamEjected):
                kind = EventKind.UPSTREAM_EJECTED
                detail = notice.cause
            self._context.effects.append(
                Record(
                    kind,
                    subject=notice.upstream,
                    detail=detail,
                    logged=True,
                ),
            )

    def _stop_services(self, now_s: float) -> None:
        for document in self._context.state.documents.values():
            if not _cancels_remainder(document):
                self._stops.pop(document.service, None)
                continue
            end_s = self._stops.setdefault(
                document.service,
                now_s + document.stop.drain_s,
            )
            if now_s >= end_s:
                self._jobs.stop_service(document.service)


def _cancels_remainder(document: ServiceDocument) -> bool:
    stopping = document.state is not ServiceState.SERVING
    return stopping and document.stop.remainder is StopRemainder.CANCEL

"""The leader of a cell during one term."""

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
        A leader is created from the replicated state when the first entry of
        its term is committed, and dropped when leadership is lost. Only the
        records that it has logged persist after the term.
    """

    def __init__(
        self,
        config: EntryConfig,
        replica: Replica,
        state: ReplicatedState,
        scheduler: Scheduler,
        now_s: float,
    ) -> None:
        """Restores agents, jobs and documents from the replicated state.

        Args:
            config: Configuration of the entry.
            replica: The replicated log, in the role of leader.
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
        self._drain_ends_s: dict[str, float] = {}
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
            DocumentUpdateAck: self._on_document_update_ack,
            Heartbeat: self._on_heartbeat,
            StartReport: self._on_start_report,
            Outcomes: self._on_outcomes,
        }

    @property
    def term(self) -> int:
        """Term of the leader."""
        return self._context.term

    def handle(self, sender: Peer, message: Message, now_s: float) -> None:
        """Handles one message of an entry or agent; ignores other types.

        Args:
            sender: The process that sent it.
            message: The message.
            now_s: Monotonic clock.
        """
        handler = self._handlers.get(type(message))
        if handler is not None:
            handler(message, sender, now_s)

    def on_connected(self, peer: Peer) -> None:
        """Handles a new link to a process.

        Args:
            peer: The process.
        """
        self._agents.on_connected(peer.name)
        self._documents.on_connected(peer.name)

    def on_disconnected(self, peer: Peer, now_s: float) -> None:
        """Handles the loss of the last link to a process.

        Args:
            peer: The process.
            now_s: Monotonic clock.
        """
        self._agents.on_disconnected(peer.name, now_s)
        self._documents.on_disconnected(peer.name, now_s)

    def tick(self, now_s: float) -> None:
        """Handles expired leases, deadlines, acceptances and drain times.

        Args:
            now_s: Monotonic clock.
        """
        for view in self._agents.tick(now_s):
            self._jobs.outcomes.on_agent_lost(view, now_s)
        self._jobs.tick(now_s)
        self._documents.tick(now_s)
        self._stop_services(now_s)
        self._record_scheduler_notices()

    def flush(self, now_s: float) -> None:
        """Places queued tasks and proposes the records of the turn.

        Args:
            now_s: Monotonic clock.
        """
        self._jobs.placer.flush(now_s)
        self._context.flush_proposals()
        self._jobs.placer.send_assignments()

    def on_commit(
        self,
        memory_index: int,
        synced_index: int,
        now_s: float,
    ) -> None:
        """Executes the decisions whose records are committed by now.

        Args:
            memory_index: Last index that a majority holds in memory.
            synced_index: Last index that a majority has synced.
            now_s: Monotonic clock.
        """
        self._context.memory_index = memory_index
        self._context.synced_index = synced_index
        self._context.release_commits(now_s)
        self._jobs.placer.send_assignments()

    def pop_record(self, command: bytes) -> Message | None:
        """Removes and returns the record of a command of this leader.

        Args:
            command: Command of a committed log entry.

        Returns:
            The record, or None if the command is none of its proposals and
            must be decoded.
        """
        return self._context.proposed_records.pop(command, None)

    def drain_effects(self) -> list[Effect]:
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

    def _on_document_update_ack(
        self,
        message: DocumentUpdateAck,
        sender: Peer,
        now_s: float,
    ) -> None:
        self._documents.on_update_ack(message, now_s)

    def _on_heartbeat(
        self,
        message: Heartbeat,
        sender: Peer,
        now_s: float,
    ) -> None:
        lost = self._agents.on_heartbeat(message, now_s)
        if lost is not None:
            self._jobs.outcomes.on_agent_lost(lost, now_s)

    def _on_start_report(
        self,
        message: StartReport,
        sender: Peer,
        now_s: float,
    ) -> None:
        view = self._agents.find_current(message.agent, message.incarnation)
        if view is None or view.reported or message.term != self.term:
            return
        if message.epoch != view.epoch:
            return
        view.reported = True
        self._jobs.outcomes.on_start_report(view, message, now_s)

    def _on_outcomes(
        self,
        message: Outcomes,
        sender: Peer,
        now_s: float,
    ) -> None:
        view = self._agents.find_current(message.agent, message.incarnation)
        if view is None:
            return
        for outcome in message.outcomes:
            self._jobs.outcomes.on_outcome(view, outcome, now_s)

    def _record_scheduler_notices(self) -> None:
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
                self._drain_ends_s.pop(document.service, None)
                continue
            drain_end_s = self._drain_ends_s.setdefault(
                document.service,
                now_s + document.stop.drain_s,
            )
            if now_s >= drain_end_s:
                self._jobs.fail_service(document.service)


def _cancels_remainder(document: ServiceDocument) -> bool:
    stopping = document.state is not ServiceState.SERVING
    return stopping and document.stop.remainder is StopRemainder.CANCEL

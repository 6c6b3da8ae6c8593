"""Acceptance of documents by the leader and their distribution."""

from dataclasses import dataclass

from ..documents.messages import (
    DocumentAccepted,
    DocumentRefused,
    DocumentsListed,
    DocumentUpdate,
    DocumentUpdateAck,
    QueryDocuments,
    SubmitDocument,
)
from ..documents.model import ServiceDocument
from ..effects import EventKind, Record
from ..errors import Finding
from ..jobs.model import Refusal, RefusalReason
from ..jobs.records import DocumentStored
from .context import LeaderContext, Proposal
from .job import Waiter


@dataclass(slots=True)
class PendingAcceptance:
    """An accepted document whose submitter waits for all processes.

    Attributes:
        document: The document.
        waiter: The exchange to answer.
        deadline_s: When it is answered although acknowledgements are missing.
    """

    document: ServiceDocument
    waiter: Waiter
    deadline_s: float


class DocumentManager:
    """Accepts documents by compare-and-set and tracks where they are applied.

    Explanation:
        The version of a document must be above the newest one. The same
        version with the same digest is a resubmission and gets the first
        answer. With another digest it is refused as a version conflict, so
        that one of two concurrent updates is accepted.
    """

    def __init__(self, context: LeaderContext) -> None:
        """Starts without uncommitted documents.

        Args:
            context: The leader's context.
        """
        self._context = context
        self._uncommitted: dict[str, ServiceDocument] = {}
        self._waiters: dict[str, list[Waiter]] = {}
        self._pending_acceptances: list[PendingAcceptance] = []
        self._applied_versions: dict[str, dict[str, int]] = {}

    def submit(
        self,
        message: SubmitDocument,
        entry: str,
        now_s: float,
    ) -> None:
        """Proposes a document, answers a resubmission or refuses it.

        Args:
            message: The submission.
            entry: Name of the entry that forwards it.
            now_s: Monotonic clock.
        """
        document = message.document
        waiter = Waiter(entry, message.attempt)
        latest = self._latest(document.service)
        if latest is None or document.version > latest.version:
            self._propose(document, waiter)
        elif latest.version == document.version:
            self._answer_same_version(document, latest, waiter, now_s)
        else:
            self._refuse(document, latest.version, waiter)

    def query(self, message: QueryDocuments, entry: str) -> None:
        """Sends the accepted documents, of all services or of one.

        Args:
            message: The query.
            entry: Name of the entry that forwards it.
        """
        documents = self._context.state.documents
        listed = tuple(documents.values())
        if message.service:
            one = documents.get(message.service)
            listed = () if one is None else (one,)
        self._context.send(entry, DocumentsListed(message.attempt, listed))

    def on_update_ack(self, message: DocumentUpdateAck, now_s: float) -> None:
        """Records the document versions that a process has applied.

        Args:
            message: The acknowledgement.
            now_s: Monotonic clock.
        """
        applied = self._applied_versions.get(message.process)
        if applied is None:
            return
        for version in message.versions:
            known = applied.get(version.service, 0)
            applied[version.service] = max(known, version.version)
        self._answer_acceptances(now_s)

    def on_connected(self, process: str) -> None:
        """Sends all accepted documents to a newly connected process.

        Args:
            process: Name of the process.
        """
        self._applied_versions[process] = {}
        documents = tuple(self._context.state.documents.values())
        if documents:
            update = DocumentUpdate(self._context.term, documents)
            self._context.send(process, update)

    def on_disconnected(self, process: str, now_s: float) -> None:
        """Stops waiting for the acknowledgements of a process.

        Explanation:
            It starts no tasks under an older version: its lease expires,
            and it receives all documents when it connects again.

        Args:
            process: Name of the process.
            now_s: Monotonic clock.
        """
        self._applied_versions.pop(process, None)
        self._answer_acceptances(now_s)

    def tick(self, now_s: float) -> None:
        """Answers submissions whose deadline has passed.

        Args:
            now_s: Monotonic clock.
        """
        if self._pending_acceptances:
            self._answer_acceptances(now_s)

    def _latest(self, service: str) -> ServiceDocument | None:
        pending = self._uncommitted.get(service)
        return pending or self._context.state.documents.get(service)

    def _propose(self, document: ServiceDocument, waiter: Waiter) -> None:
        self._uncommitted[document.service] = document
        self._waiters[document.service] = [waiter]

        def on_stored(now_s: float) -> None:
            self._on_stored(document, waiter, now_s)

        self._context.propose(Proposal(DocumentStored(document), on_stored))

    def _on_stored(
        self,
        document: ServiceDocument,
        waiter: Waiter,
        now_s: float,
    ) -> None:
        service = document.service
        self._context.scheduler.set_document(document, now_s)
        self._context.effects.append(
            Record(
                EventKind.DOCUMENT_ACCEPTED,
                subject=service,
                detail=f'version {document.version}',
                logged=True,
            ),
        )
        update = DocumentUpdate(self._context.term, (document,))
        for process in self._applied_versions:
            self._context.send(process, update)
        waiters = [waiter]
        if self._uncommitted.get(service) is document:
            del self._uncommitted[service]
            waiters = self._waiters.pop(service)
        for waiting in waiters:
            self._await_acks(document, waiting, now_s)

    def _answer_same_version(
        self,
        document: ServiceDocument,
        latest: ServiceDocument,
        waiter: Waiter,
        now_s: float,
    ) -> None:
        same_content = latest.digest == document.digest
        if same_content and document.service in self._uncommitted:
            self._waiters[document.service].append(waiter)
        elif same_content:
            self._await_acks(latest, waiter, now_s)
        else:
            self._refuse(document, latest.version, waiter)

    def _refuse(
        self,
        document: ServiceDocument,
        accepted_version: int,
        waiter: Waiter,
    ) -> None:
        finding = Finding(
            'version',
            f'{document.version} is not above {accepted_version}, '
            'which has other content',
        )
        refusal = Refusal(RefusalReason.VERSION_CONFLICT, findings=(finding,))
        self._context.send(
            waiter.entry,
            DocumentRefused(waiter.attempt, accepted_version, refusal),
        )

    def _await_acks(
        self,
        document: ServiceDocument,
        waiter: Waiter,
        now_s: float,
    ) -> None:
        deadline_s = now_s + self._context.config.timing.confirm_s
        self._pending_acceptances.append(
            PendingAcceptance(document, waiter, deadline_s)
        )
        self._answer_acceptances(now_s)

    def _answer_acceptances(self, now_s: float) -> None:
        waiting: list[PendingAcceptance] = []
        for acceptance in self._pending_acceptances:
            pending = self._processes_without(acceptance.document)
            if pending and now_s < acceptance.deadline_s:
                waiting.append(acceptance)
            else:
                self._answer(acceptance, pending)
        self._pending_acceptances = waiting

    def _processes_without(self, document: ServiceDocument) -> set[str]:
        return {
            process
            for process, applied in self._applied_versions.items()
            if applied.get(document.service, 0) < document.version
        }

    def _answer(self, acceptance: PendingAcceptance, pending: set[str]) -> None:
        document = acceptance.document
        if not pending:
            self._context.effects.append(
                Record(
                    EventKind.DOCUMENT_IN_FORCE,
                    subject=document.service,
                    detail=f'version {document.version}',
                    logged=True,
                ),
            )
        in_force = set(self._applied_versions) - pending
        in_force.add(self._context.config.name)
        waiter = acceptance.waiter
        self._context.send(
            waiter.entry,
            DocumentAccepted(
                waiter.attempt,
                document.service,
                document.version,
                tuple(sorted(in_force)),
                tuple(sorted(pending)),
            ),
        )

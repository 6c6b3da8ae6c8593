"""The leader's documents: acceptance and the spread to all processes."""

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
class Confirmation:
    """An accepted document whose answer waits for all processes.

    Attributes:
        document: The document.
        waiter: The exchange to answer.
        end_s: When the answer is given at the latest.
    """

    document: ServiceDocument
    waiter: Waiter
    end_s: float


class DocumentManager:
    """Accepts documents by compare-and-set and tells where they hold.

    Explanation:
        A version must be above the accepted one. An equal version with the
        same digest is a resend and gets the first answer; with another
        digest it is a conflict, so that one of two racing operators wins.
    """

    def __init__(self, context: LeaderContext) -> None:
        """Starts with the accepted documents of the replicated state.

        Args:
            context: The leader's context.
        """
        self._context = context
        self._pending: dict[str, ServiceDocument] = {}
        self._waiters: dict[str, list[Waiter]] = {}
        self._confirmations: list[Confirmation] = []
        self._held: dict[str, dict[str, int]] = {}

    def submit(
        self,
        message: SubmitDocument,
        entry: str,
        now_s: float,
    ) -> None:
        """Proposes a document or refuses it.

        Args:
            message: The submission.
            entry: Name of the entry that forwards it.
            now_s: Monotonic clock.
        """
        document = message.document
        waiter = Waiter(entry, message.attempt)
        newest = self._newest(document.service)
        if newest is None or document.version > newest.version:
            self._propose(document, waiter)
        elif newest.version == document.version:
            self._answer_equal(document, newest, waiter, now_s)
        else:
            self._refuse(document, newest.version, waiter)

    def query(self, message: QueryDocuments, entry: str) -> None:
        """Answers the documents in force.

        Args:
            message: The query.
            entry: Name of the asking entry.
        """
        documents = self._context.state.documents
        listed = tuple(documents.values())
        if message.service:
            one = documents.get(message.service)
            listed = () if one is None else (one,)
        self._context.send(entry, DocumentsListed(message.attempt, listed))

    def held(self, message: DocumentUpdateAck, now_s: float) -> None:
        """Notes which versions a process holds.

        Args:
            message: Its confirmation.
            now_s: Monotonic clock.
        """
        held = self._held.get(message.process)
        if held is None:
            return
        for version in message.versions:
            known = held.get(version.service, 0)
            held[version.service] = max(known, version.version)
        self._answer_confirmed(now_s)

    def connected(self, process: str) -> None:
        """Sends all documents to a process whose link came up.

        Args:
            process: Name of the process.
        """
        self._held[process] = {}
        documents = tuple(self._context.state.documents.values())
        if documents:
            notice = DocumentUpdate(self._context.term, documents)
            self._context.send(process, notice)

    def disconnected(self, process: str, now_s: float) -> None:
        """Waits for a process no more; without a lease it starts nothing.

        Args:
            process: Name of the process.
            now_s: Monotonic clock.
        """
        self._held.pop(process, None)
        self._answer_confirmed(now_s)

    def tick(self, now_s: float) -> None:
        """Answers submissions whose confirmations take too long.

        Args:
            now_s: Monotonic clock.
        """
        if self._confirmations:
            self._answer_confirmed(now_s)

    def _newest(self, service: str) -> ServiceDocument | None:
        pending = self._pending.get(service)
        return pending or self._context.state.documents.get(service)

    def _propose(self, document: ServiceDocument, waiter: Waiter) -> None:
        self._pending[document.service] = document
        self._waiters[document.service] = [waiter]

        def stored(now_s: float) -> None:
            self._stored(document, waiter, now_s)

        self._context.propose(Proposal(DocumentStored(document), stored))

    def _stored(
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
        notice = DocumentUpdate(self._context.term, (document,))
        for process in self._held:
            self._context.send(process, notice)
        waiters = [waiter]
        if self._pending.get(service) is document:
            del self._pending[service]
            waiters = self._waiters.pop(service)
        for waiting in waiters:
            self._confirm(document, waiting, now_s)

    def _answer_equal(
        self,
        document: ServiceDocument,
        newest: ServiceDocument,
        waiter: Waiter,
        now_s: float,
    ) -> None:
        same = newest.digest == document.digest
        if same and document.service in self._pending:
            self._waiters[document.service].append(waiter)
        elif same:
            self._confirm(newest, waiter, now_s)
        else:
            self._refuse(document, newest.version, waiter)

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

    def _confirm(
        self,
        document: ServiceDocument,
        waiter: Waiter,
        now_s: float,
    ) -> None:
        end_s = now_s + self._context.config.timing.confirm_s
        self._confirmations.append(Confirmation(document, waiter, end_s))
        self._answer_confirmed(now_s)

    def _answer_confirmed(self, now_s: float) -> None:
        waiting: list[Confirmation] = []
        for confirmation in self._confirmations:
            pending = self._not_holding(confirmation.document)
            if pending and now_s < confirmation.end_s:
                waiting.append(confirmation)
            else:
                self._answer(confirmation, pending)
        self._confirmations = waiting

    def _not_holding(self, document: ServiceDocument) -> set[str]:
        return {
            process
            for process, held in self._held.items()
            if held.get(document.service, 0) < document.version
        }

    def _answer(self, confirmation: Confirmation, pending: set[str]) -> None:
        document = confirmation.document
        if not pending:
            self._context.effects.append(
                Record(
                    EventKind.DOCUMENT_IN_FORCE,
                    subject=document.service,
                    detail=f'version {document.version}',
                    logged=True,
                ),
            )
        holding = set(self._held) - pending
        holding.add(self._context.config.name)
        waiter = confirmation.waiter
        self._context.send(
            waiter.entry,
            DocumentAccepted(
                waiter.attempt,
                document.service,
                document.version,
                tuple(sorted(holding)),
                tuple(sorted(pending)),
            ),
        )

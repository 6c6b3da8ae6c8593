"""Messages about service documents."""

from dataclasses import dataclass

from ..jobs.model import Attempt, Refusal
from ..messages.base import Message, wire_type
from .model import ServiceDocument


@dataclass(frozen=True, slots=True)
class DocumentVersion:
    """The version of a service's document that a process has applied.

    Attributes:
        service: Name of the service.
        version: The version.
    """

    service: str
    version: int


@wire_type(40)
@dataclass(frozen=True, slots=True)
class SubmitDocument(Message):
    """An entry forwards an operator's document to the leader.

    Attributes:
        attempt: Identity of the forwarded request.
        term: The leader's term as known to the entry.
        document: The document.
    """

    attempt: Attempt
    term: int
    document: ServiceDocument


@wire_type(41)
@dataclass(frozen=True, slots=True)
class DocumentAccepted(Message):
    """A majority of the voters has accepted the document and synced it.

    Attributes:
        attempt: Identity of the forwarded request; its sequence is 0 in a
            notice.
        service: Name of the service.
        version: The accepted version.
        in_force: Names of the processes that have applied this version or a
            newer one.
        pending: Names of the processes that have not acknowledged it yet.
    """

    attempt: Attempt
    service: str
    version: int
    in_force: tuple[str, ...]
    pending: tuple[str, ...]


@wire_type(42)
@dataclass(frozen=True, slots=True)
class DocumentRefused(Message):
    """The leader refuses the document.

    Attributes:
        attempt: Identity of the forwarded request.
        accepted_version: The version in force, 0 for none.
        refusal: The refusal and its reason.
    """

    attempt: Attempt
    accepted_version: int
    refusal: Refusal


@wire_type(43)
@dataclass(frozen=True, slots=True)
class DocumentUpdate(Message):
    """The leader sends a process the documents in force.

    Attributes:
        term: The leader's term.
        documents: Documents that the receiver may not have applied yet.
    """

    term: int
    documents: tuple[ServiceDocument, ...]


@wire_type(44)
@dataclass(frozen=True, slots=True)
class DocumentUpdateAck(Message):
    """A process acknowledges the document versions that it has applied.

    Attributes:
        process: Name of the process.
        incarnation: Incarnation of the process.
        versions: The applied versions.
    """

    process: str
    incarnation: str
    versions: tuple[DocumentVersion, ...]


@wire_type(45)
@dataclass(frozen=True, slots=True)
class QueryDocuments(Message):
    """An entry asks the leader for documents.

    Attributes:
        attempt: Identity of the forwarded request.
        term: The leader's term as known to the entry.
        service: Name of one service, empty for all.
    """

    attempt: Attempt
    term: int
    service: str


@wire_type(46)
@dataclass(frozen=True, slots=True)
class DocumentsListed(Message):
    """The leader answers a `QueryDocuments` message.

    Attributes:
        attempt: Identity of the forwarded request.
        documents: The documents in force.
    """

    attempt: Attempt
    documents: tuple[ServiceDocument, ...]

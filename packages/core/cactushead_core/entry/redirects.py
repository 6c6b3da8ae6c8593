"""Requests and heartbeats that reach an entry which can't handle them."""

from ..agents.messages import Heartbeat, LeaderHint
from ..documents.messages import QueryDocuments, SubmitDocument
from ..jobs.messages import CancelJob, QueryJob, SubmitJob, TermMismatch
from ..messages.base import Message
from .leader import Leader

_REQUESTS = (SubmitJob, QueryJob, CancelJob, SubmitDocument, QueryDocuments)


def is_misdirected(message: Message, leader: Leader | None) -> bool:
    """Whether only another entry or another term can handle a message.

    Args:
        message: The message.
        leader: Leader in this entry, None if it doesn't lead.
    """
    if isinstance(message, _REQUESTS):
        return leader is None or leader.term != message.term
    return isinstance(message, Heartbeat) and leader is None


def redirect(message: Message, term: int, leader: str) -> Message:
    """Returns the reply to a misdirected message.

    Args:
        message: The message.
        term: Newest term known to this entry.
        leader: Name of the leader, empty if it is unknown.
    """
    if isinstance(message, _REQUESTS):
        return TermMismatch(message.attempt, term, leader)
    return LeaderHint(term, leader)

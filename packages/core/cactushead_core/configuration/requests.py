"""Requests of operators that wait for the leader, and open proposals."""

from collections.abc import Callable
from dataclasses import dataclass

from ..effects import Effect, Respond, Send
from ..messages.base import Message
from .responses import Unavailable

# Below the one second after which an operator tries another entry.
REPLY_TIMEOUT_S = 0.9


@dataclass(slots=True)
class _PendingRequest:
    """A request that waits for the leader's reply.

    Attributes:
        request_id: Number of the caller's request.
        deadline_s: When the request times out.
    """

    request_id: int
    deadline_s: float


class LeaderRequests:
    """Requests that an entry has forwarded to the leader."""

    def __init__(self) -> None:
        """Starts without requests."""
        self._attempts = 0
        self._pending: dict[int, _PendingRequest] = {}

    def open(
        self,
        request_id: int,
        leader: str,
        now_s: float,
        effects: list[Effect],
    ) -> int:
        """Returns the number of a new request, 0 if no leader is known.

        Args:
            request_id: Number of the caller's request.
            leader: Name of the leader, empty if unknown.
            now_s: The process's clock.
            effects: List to which effects are appended.
        """
        if not leader:
            response = Unavailable('no leader is known')
            effects.append(Respond(request_id, response))
            return 0
        self._attempts += 1
        self._pending[self._attempts] = _PendingRequest(
            request_id, now_s + REPLY_TIMEOUT_S
        )
        return self._attempts

    def close(self, attempt: int) -> int | None:
        """Removes a request.

        Args:
            attempt: Number of the request.

        Returns:
            Number of the caller's request, None if it doesn't wait any more.
        """
        pending = self._pending.pop(attempt, None)
        return None if pending is None else pending.request_id

    def caller_disconnected(self, request_id: int) -> None:
        """Removes the requests of a caller that disconnected.

        Args:
            request_id: Number of the caller's request.
        """
        for attempt, pending in list(self._pending.items()):
            if pending.request_id == request_id:
                self._pending.pop(attempt)

    def tick(self, now_s: float, effects: list[Effect]) -> None:
        """Responds to requests that timed out.

        Args:
            now_s: The process's clock.
            effects: List to which effects are appended.
        """
        for attempt, pending in list(self._pending.items()):
            if now_s >= pending.deadline_s:
                self._pending.pop(attempt)
                response = Unavailable('the leader did not answer')
                effects.append(Respond(pending.request_id, response))


@dataclass(slots=True)
class _Proposal:
    """A submission in the leader's log that is not committed yet."""

    index: int
    entry: str
    attempt: int


class Proposals:
    """Submissions that the leader has proposed and not acknowledged yet."""

    def __init__(self, make_reply: Callable[[int, bool], Message]) -> None:
        """Starts without proposals.

        Args:
            make_reply: Makes the reply from the number of the request and
                whether the submission is stored.
        """
        self._make_reply = make_reply
        self._open: list[_Proposal] = []

    def add(self, index: int, entry: str, attempt: int) -> None:
        """Adds a submission.

        Args:
            index: Index of its log entry.
            entry: Name of the entry that forwarded it.
            attempt: Number of the request there.
        """
        self._open.append(_Proposal(index, entry, attempt))

    def acknowledge(self, applied_index: int, effects: list[Effect]) -> None:
        """Acknowledges the submissions that are committed.

        Args:
            applied_index: Index of the newest applied log entry.
            effects: List to which effects are appended.
        """
        waiting = []
        for proposal in self._open:
            if proposal.index > applied_index:
                waiting.append(proposal)
                continue
            reply = self._make_reply(proposal.attempt, True)
            effects.append(Send(proposal.entry, reply))
        self._open = waiting

    def discard(self, effects: list[Effect]) -> None:
        """Replies that the outcome of all open submissions is unknown.

        Args:
            effects: List to which effects are appended.
        """
        for proposal in self._open:
            reply = self._make_reply(proposal.attempt, False)
            effects.append(Send(proposal.entry, reply))
        self._open = []

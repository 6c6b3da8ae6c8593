"""Forwarding of callers' requests to the leader of the cell."""

from dataclasses import dataclass

from ..config import EntryConfig
from ..documents.messages import (
    DocumentAccepted,
    DocumentRefused,
    DocumentsListed,
    QueryDocuments,
    SubmitDocument,
)
from ..effects import (
    AcceptedResponse,
    AnswerResponse,
    Count,
    DocumentResponse,
    DocumentsResponse,
    Effect,
    EventKind,
    Measure,
    Record,
    RefusalResponse,
    Respond,
    Response,
    Send,
    StatusResponse,
)
from ..events import (
    CallerEvent,
    DocumentsQueried,
    DocumentSubmitted,
    JobCancelRequested,
    JobQueried,
    JobSubmitted,
)
from ..jobs.messages import (
    CancelJob,
    JobAccepted,
    JobAnswered,
    JobRefused,
    JobReported,
    QueryJob,
    SubmitJob,
    TermMismatch,
)
from ..jobs.model import Attempt, Refusal, RefusalReason
from ..messages.base import Message

ANSWER_MARGIN_S = 1.0
EXCHANGE_TIMEOUT_S = 10.0
NO_LEADER_TIMEOUT_S = 5.0
RETRY_AFTER_S = 1.0

LeaderAnswer = (
    JobAccepted
    | JobAnswered
    | JobRefused
    | JobReported
    | DocumentAccepted
    | DocumentRefused
    | DocumentsListed
)


@dataclass(slots=True)
class Exchange:
    """A request of a caller that is forwarded and not yet answered.

    Attributes:
        event: The request.
        sequence: Number of the exchange within this process.
        deadline_s: When the request is refused for lack of an answer.
        forwarded: Whether it was sent to a leader at least once.
        sent_term: Term of the leader that it was last sent to; -1 if it is
            to be sent again.
    """

    event: CallerEvent
    sequence: int
    deadline_s: float
    forwarded: bool = False
    sent_term: int = -1


class Gateway:
    """Forwards requests to the leader and resends them to a new leader.

    Explanation:
        A request carries the term of the leader that it is sent to, so that
        a delayed copy, or one that reaches a leader of another term, starts
        nothing. `not_run` is answered only by a leader, or when the request
        was never forwarded.
    """

    def __init__(self, config: EntryConfig) -> None:
        """Starts without a known leader.

        Args:
            config: Configuration of the entry.
        """
        self._config = config
        self._sequence = 0
        self._exchanges: dict[int, Exchange] = {}
        self._exchanges_by_request: dict[int, Exchange] = {}
        self.leader = ''
        self.term = 0
        self.draining = False
        self.connected: set[str] = {config.name}

    @property
    def idle(self) -> bool:
        """Whether all requests are answered."""
        return not self._exchanges

    def on_request(self, event: CallerEvent, effects: list[Effect]) -> None:
        """Refuses a request of a caller or operator, or forwards it.

        Args:
            event: The request.
            effects: Receives the effects.
        """
        refusal = self._find_refusal(event)
        if refusal is not None:
            effects.append(Count('refusals', refusal.reason))
            response = RefusalResponse(refusal)
            effects.append(Respond(event.request_id, response))
            return
        self._sequence += 1
        deadline_s = event.now_s + _exchange_timeout_s(event)
        exchange = Exchange(event, self._sequence, deadline_s)
        self._exchanges[exchange.sequence] = exchange
        self._exchanges_by_request[event.request_id] = exchange
        if isinstance(event, JobSubmitted):
            effects.append(Record(EventKind.SUBMITTED, event.request.job))
        self._forward(exchange, event.now_s, effects)

    def on_caller_disconnected(self, request_id: int) -> None:
        """Drops a request whose caller has disconnected; its job continues.

        Args:
            request_id: Id of the request.
        """
        exchange = self._exchanges_by_request.pop(request_id, None)
        if exchange is not None:
            del self._exchanges[exchange.sequence]

    def on_leader_known(
        self,
        term: int,
        leader: str,
        now_s: float,
        effects: list[Effect],
    ) -> None:
        """Adopts a leader of a newer term and forwards the open requests.

        Args:
            term: Term of the leader; an older one is ignored.
            leader: Name of the leader, empty when unknown.
            now_s: Monotonic clock.
            effects: Receives the effects.
        """
        if term < self.term:
            return
        if term == self.term and not leader:
            return
        self.term = term
        self.leader = leader
        self._forward_open(now_s, effects)

    def on_connected(
        self, name: str, now_s: float, effects: list[Effect]
    ) -> None:
        """Records a new link; resends open requests if it is to the leader.

        Args:
            name: Name of the process.
            now_s: Monotonic clock.
            effects: Receives the effects.
        """
        self.connected.add(name)
        if name != self.leader:
            return
        for exchange in self._exchanges.values():
            exchange.sent_term = -1
        self._forward_open(now_s, effects)

    def on_disconnected(self, name: str) -> None:
        """Records that a process is no longer connected.

        Args:
            name: Name of the process.
        """
        self.connected.discard(name)

    def on_answer(
        self,
        message: LeaderAnswer,
        now_s: float,
        effects: list[Effect],
    ) -> None:
        """Passes an answer of the leader on to the caller.

        Args:
            message: The leader's answer.
            now_s: Monotonic clock.
            effects: Receives the effects.
        """
        if not self._is_own_attempt(message.attempt):
            return
        exchange = self._exchanges.get(message.attempt.sequence)
        if exchange is None:
            return
        response = _make_response(message)
        if isinstance(exchange.event, JobSubmitted):
            effects.append(
                Record(EventKind.ANSWERED, exchange.event.request.job),
            )
            effects.append(
                Measure('response_s', now_s - exchange.event.now_s),
            )
        self._respond(exchange, response, effects)

    def on_term_mismatch(
        self,
        message: TermMismatch,
        now_s: float,
        effects: list[Effect],
    ) -> None:
        """Marks an exchange to be resent and adopts the named leader.

        Args:
            message: The reply of a process that does not lead that term.
            now_s: Monotonic clock.
            effects: Receives the effects.
        """
        exchange = self._exchanges.get(message.attempt.sequence)
        if exchange is not None and self._is_own_attempt(message.attempt):
            exchange.sent_term = -1
        # A hint that names this process is ignored, since it knows whether
        # it leads. Without a newer term, the request is resent by the next
        # tick and not in this turn, since a stale hint could otherwise cause
        # an endless loop within the turn.
        names_self = message.leader == self._config.name
        leader = '' if names_self else message.leader
        if message.term > self.term:
            self.on_leader_known(message.term, leader, now_s, effects)
        elif leader and message.term == self.term:
            self.leader = leader

    def tick(self, now_s: float, effects: list[Effect]) -> None:
        """Refuses requests without an answer in time and forwards the others.

        Args:
            now_s: Monotonic clock.
            effects: Receives the effects.
        """
        for exchange in list(self._exchanges.values()):
            waited_s = now_s - exchange.event.now_s
            if not exchange.forwarded and waited_s > NO_LEADER_TIMEOUT_S:
                refusal = Refusal(
                    RefusalReason.NO_LEADER,
                    retry_after_s=RETRY_AFTER_S,
                )
                self._refuse(exchange, refusal, effects)
            elif now_s > exchange.deadline_s:
                refusal = Refusal(
                    RefusalReason.NO_ANSWER,
                    not_run=not exchange.forwarded,
                )
                self._refuse(exchange, refusal, effects)
        self._forward_open(now_s, effects)

    def _is_own_attempt(self, attempt: Attempt) -> bool:
        same_entry = attempt.entry == self._config.name
        return same_entry and attempt.incarnation == self._config.incarnation

    def _find_refusal(self, event: CallerEvent) -> Refusal | None:
        if self.draining and isinstance(event, JobSubmitted):
            return Refusal(
                RefusalReason.DRAINING,
                retry_after_s=RETRY_AFTER_S,
            )
        if len(self._exchanges) >= self._config.bounds.pending_requests:
            return Refusal(
                RefusalReason.QUEUE_FULL,
                retry_after_s=RETRY_AFTER_S,
            )
        return None

    def _forward_open(self, now_s: float, effects: list[Effect]) -> None:
        for exchange in self._exchanges.values():
            if exchange.sent_term < self.term:
                self._forward(exchange, now_s, effects)

    def _forward(
        self,
        exchange: Exchange,
        now_s: float,
        effects: list[Effect],
    ) -> None:
        if self.leader not in self.connected:
            return
        attempt = Attempt(
            self._config.name,
            self._config.incarnation,
            exchange.sequence,
        )
        message = _make_message(exchange.event, attempt, self.term, now_s)
        exchange.forwarded = True
        exchange.sent_term = self.term
        if isinstance(message, SubmitJob):
            effects.append(
                Record(
                    EventKind.FORWARDED,
                    message.request.job,
                    subject=self.leader,
                ),
            )
        effects.append(Send(self.leader, message))

    def _refuse(
        self,
        exchange: Exchange,
        refusal: Refusal,
        effects: list[Effect],
    ) -> None:
        effects.append(Count('refusals', refusal.reason))
        self._respond(exchange, RefusalResponse(refusal), effects)

    def _respond(
        self,
        exchange: Exchange,
        response: Response,
        effects: list[Effect],
    ) -> None:
        del self._exchanges[exchange.sequence]
        self._exchanges_by_request.pop(exchange.event.request_id, None)
        effects.append(Respond(exchange.event.request_id, response))


def _exchange_timeout_s(event: CallerEvent) -> float:
    if isinstance(event, JobSubmitted):
        return event.request.deadline_s + ANSWER_MARGIN_S
    return EXCHANGE_TIMEOUT_S


def _make_message(
    event: CallerEvent,
    attempt: Attempt,
    term: int,
    now_s: float,
) -> Message:
    match event:
        case JobSubmitted():
            age_s = now_s - event.now_s
            return SubmitJob(attempt, term, event.request, age_s, event.wait)
        case JobQueried():
            return QueryJob(attempt, term, event.job)
        case JobCancelRequested():
            return CancelJob(attempt, term, event.job)
        case DocumentSubmitted():
            return SubmitDocument(attempt, term, event.document)
        case DocumentsQueried():
            return QueryDocuments(attempt, term, event.service)
    raise TypeError(f'no message for {type(event).__name__}')


def _make_response(message: LeaderAnswer) -> Response:
    match message:
        case JobAccepted():
            return AcceptedResponse(message.status.job)
        case JobAnswered():
            return AnswerResponse(message.answer)
        case JobRefused():
            return RefusalResponse(message.refusal)
        case JobReported():
            return StatusResponse(message.status)
        case DocumentAccepted():
            return DocumentResponse(
                message.service,
                message.version,
                message.in_force,
                message.pending,
            )
        case DocumentRefused():
            return RefusalResponse(message.refusal)
    return DocumentsResponse(message.documents)

"""Cancellations of jobs by callers, at whichever entry has the job."""

import itertools
import zlib
from abc import ABC, abstractmethod
from dataclasses import dataclass

from ..configuration.responses import Unavailable
from ..discovery import Discovery
from ..dispatch import Dispatcher
from ..dispatch.events import CancelRequested
from ..dispatch.responses import CancelAnswered
from ..effects import Count, Effect, Respond, Send
from ..events import PeerRole
from ..tasks import JobEnd
from .messages import CancelJob, CancelJobReply

# Above the time-out of a link, so that a silent entry counts as a lost one.
REPLY_TIMEOUT_S = 1.3
# A relay waits for its peers, and its reply takes a round trip more.
RELAY_TIMEOUT_S = 1.8
# Number of a question whose reply is not awaited.
NO_SEARCH = 0


class _Asker(ABC):
    """The one who waits for the outcome of a search."""

    @abstractmethod
    def answer(self, *, found: bool | None) -> Effect:
        """Returns the answer.

        Args:
            found: Whether the job was found and cancelled; None if it isn't
                known, since an entry gave no reply.
        """


@dataclass(frozen=True, slots=True)
class _Caller(_Asker):
    """A caller of this entry.

    Attributes:
        request_id: Its request.
    """

    request_id: int

    def answer(self, *, found: bool | None) -> Effect:
        """Returns the response to the request."""
        if found is None:
            unknown = Unavailable('not all entries have answered')
            return Respond(self.request_id, unknown)
        return Respond(self.request_id, CancelAnswered(found))


@dataclass(frozen=True, slots=True)
class _OtherEntry(_Asker):
    """Another entry.

    Attributes:
        name: Its name.
        number: Number of its search.
    """

    name: str
    number: int

    def answer(self, *, found: bool | None) -> Effect:
        """Returns the reply to the question."""
        complete = found is not None
        return Send(
            self.name, CancelJobReply(self.number, bool(found), complete)
        )


@dataclass(slots=True)
class _Search:
    """The question to other entries whether they have a job.

    Attributes:
        asked: Entries whose replies are missing.
        relayed: Whether the entry that was asked asks all others.
        expires_s: When the search ends without the missing replies.
        asker: The one who waits for the outcome.
    """

    asked: set[str]
    relayed: bool
    expires_s: float
    asker: _Asker


class Cancellations:
    """Cancels a job here, or asks the other entries to do so.

    Explanation:
        Callers choose no entry, and no entry knows which one has a job that
        needn't be kept. An entry with a disk has links to all entries and asks
        them; one without asks such an entry to do so, whether that one votes
        now or not. An entry whose link is lost counts as one without the job,
        since the runs of its jobs end. In case it was only silent, it is asked
        again when it is connected again.
    """

    def __init__(
        self,
        discovery: Discovery,
        dispatcher: Dispatcher,
        retention_s: float,
    ) -> None:
        """Starts without searches.

        Args:
            discovery: Its links.
            dispatcher: Its dispatcher.
            retention_s: How long an entry with a disk asks entries that
                connect.
        """
        self._retention_s = retention_s
        # Times of the searches of an entry with a disk, by job.
        self._searched_s: dict[str, float] = {}
        self._discovery = discovery
        self._dispatcher = dispatcher
        self._numbers = itertools.count(1)
        self._searches: dict[int, _Search] = {}

    def requested(self, event: CancelRequested, effects: list[Effect]) -> None:
        """Cancels a job on request of a caller."""
        caller = _Caller(event.request_id)
        # A refused job may have been accepted elsewhere since.
        known = self._dispatcher.state(event.job) not in {
            None,
            JobEnd.REFUSED,
        }
        found = self._dispatcher.cancel(event.job, event.now_s, effects)
        if known:
            effects.append(caller.answer(found=found))
        else:
            others = set(self._discovery.peers(PeerRole.ENTRY))
            self._search(event.job, others, caller, event.now_s, effects)

    def asked(
        self,
        sender: str,
        message: CancelJob,
        now_s: float,
        effects: list[Effect],
    ) -> None:
        """Cancels a job that another entry asks for.

        Args:
            sender: The other entry.
            message: Its question.
            now_s: The process's clock.
            effects: List to which effects are appended.
        """
        asker = _OtherEntry(sender, message.number)
        found = self._dispatcher.cancel(message.job, now_s, effects)
        if found or not message.relay:
            effects.append(asker.answer(found=found))
        else:
            others = set(self._discovery.peers(PeerRole.ENTRY)) - {sender}
            self._search(message.job, others, asker, now_s, effects)

    def replied(
        self, sender: str, reply: CancelJobReply, effects: list[Effect]
    ) -> None:
        """Processes the reply of another entry.

        Args:
            sender: The other entry.
            reply: Its reply.
            effects: List to which effects are appended.
        """
        search = self._searches.get(reply.number)
        if search is None or sender not in search.asked:
            return
        search.asked.discard(sender)
        if reply.found:
            self._end(reply.number, effects, found=True)
        elif not reply.complete:
            self._end(reply.number, effects, found=None)
        elif not search.asked:
            self._end(reply.number, effects, found=False)

    def peer_connected(self, name: str, effects: list[Effect]) -> None:
        """Asks an entry for the jobs that were cancelled without it.

        Args:
            name: The entry.
            effects: List to which effects are appended.
        """
        effects.extend(
            Send(name, CancelJob(NO_SEARCH, job, relay=False))
            for job in self._searched_s
        )

    def peer_lost(self, name: str, effects: list[Effect]) -> None:
        """Processes the loss of a link to an entry that may be asked.

        Args:
            name: The other entry.
            effects: List to which effects are appended.
        """
        for number, search in list(self._searches.items()):
            if name not in search.asked:
                continue
            search.asked.discard(name)
            if search.relayed:
                self._end(number, effects, found=None)
            elif not search.asked:
                self._end(number, effects, found=False)

    def caller_disconnected(self, request_id: int) -> None:
        """Forgets the search for which a caller no longer waits."""
        caller = _Caller(request_id)
        for number, search in list(self._searches.items()):
            if search.asker == caller:
                self._searches.pop(number)

    def tick(self, now_s: float, effects: list[Effect]) -> None:
        """Ends the searches whose replies are late.

        Args:
            now_s: The process's clock.
            effects: List to which effects are appended.
        """
        for number, search in list(self._searches.items()):
            if now_s >= search.expires_s:
                self._end(number, effects, found=None)
        for job, searched_s in list(self._searched_s.items()):
            if now_s - searched_s >= self._retention_s:
                self._searched_s.pop(job)

    def _search(
        self,
        job: str,
        others: set[str],
        asker: _Asker,
        now_s: float,
        effects: list[Effect],
    ) -> None:
        relayed = not self._discovery.own.disk_incarnation
        timeout_s = REPLY_TIMEOUT_S
        if relayed:
            with_disk = set(self._discovery.connected_disks())
            others = _choose_relay(job, others & with_disk)
            timeout_s = RELAY_TIMEOUT_S
        else:
            self._searched_s[job] = now_s
        if not others:
            effects.append(asker.answer(found=None if relayed else False))
            return
        number = next(self._numbers)
        self._searches[number] = _Search(
            others, relayed, now_s + timeout_s, asker
        )
        effects.append(Count('cancellations', 'asked elsewhere'))
        message = CancelJob(number, job, relayed)
        effects.extend(Send(name, message) for name in sorted(others))

    def _end(
        self, number: int, effects: list[Effect], *, found: bool | None
    ) -> None:
        asker = self._searches.pop(number).asker
        effects.append(asker.answer(found=found))


def _choose_relay(job: str, entries: set[str]) -> set[str]:
    """Returns at most one entry; each one relays a part of the jobs."""
    ordered = sorted(
        entries, key=lambda entry: zlib.crc32(f'{entry} {job}'.encode())
    )
    return set(ordered[:1])

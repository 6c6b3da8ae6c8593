"""Gathering of the time lines of all processes."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

import trio
from cactushead_core.messages import Message
from cactushead_core.observability import (
    TimelineEvent,
    TimelineEvents,
    TimelineFilter,
    TimelineQuery,
    merge_timelines,
)

from .timeline import Timeline

GATHER_TIMEOUT_S = 2.0
HIGHEST_EVENTS = 20_000
NO_ANSWER = 'process gave no answer'

SendMessage = Callable[[str, Message], None]
ListPeers = Callable[[], Iterable[str]]


@dataclass
class _Gathering:
    """One query that is under way.

    Attributes:
        wanted: Which events are wanted.
        awaited: Processes that have more to send, and the peer that each is
            reached by.
        pages: Events of each process, oldest first.
        done: Set once nothing is awaited.
    """

    wanted: TimelineFilter
    awaited: dict[str, str] = field(default_factory=dict)
    pages: dict[str, list[TimelineEvent]] = field(default_factory=dict)
    done: trio.Event = field(default_factory=trio.Event)


class TimelineGatherer:
    """Asks other processes for their time lines, and answers them.

    Explanation:
        Pages are asked for one by one, so that a long time line doesn't fill
        a link. A process that stays silent is named in the result.
    """

    def __init__(
        self,
        timeline: Timeline,
        send: SendMessage,
        list_peers: ListPeers,
        *,
        timeout_s: float = GATHER_TIMEOUT_S,
    ) -> None:
        """Joins the time line with the links.

        Args:
            timeline: The time line of this process.
            send: Sends a message to a peer.
            list_peers: Names the peers that there are links to.
            timeout_s: Longest wait for the other processes.
        """
        self._timeout_s = timeout_s
        self._timeline = timeline
        self._send = send
        self._list_peers = list_peers
        self._next_id = 1
        self._gatherings: dict[int, _Gathering] = {}

    async def gather(
        self,
        wanted: TimelineFilter,
        *,
        relay_by: str = '',
    ) -> list[TimelineEvent]:
        """Returns the events of all processes in one order.

        Args:
            wanted: Which events are wanted.
            relay_by: Name of a voter that passes the query on; empty for a
                process that has links to all others.
        """
        query_id = self._next_id
        self._next_id += 1
        gathering = _Gathering(wanted)
        self._gatherings[query_id] = gathering
        try:
            await self._collect(query_id, relay_by)
        finally:
            self._gatherings.pop(query_id)
        return self._merge(gathering)

    def handle(self, peer: str, message: Message) -> bool:
        """Takes a message from a peer.

        Args:
            peer: Name of the sender.
            message: Any message.

        Returns:
            Whether the message was about the time line.
        """
        match message:
            case TimelineQuery():
                self._answer(peer, message)
            case TimelineEvents():
                self._take(peer, message)
            case _:
                return False
        return True

    async def _collect(self, query_id: int, relay_by: str) -> None:
        gathering = self._gatherings[query_id]
        peers = (relay_by,) if relay_by else tuple(self._list_peers())
        gathering.awaited.update(zip(peers, peers, strict=True))
        for peer in peers:
            self._ask(query_id, peer, relay=bool(relay_by))
        if peers:
            with trio.move_on_after(self._timeout_s):
                await gathering.done.wait()

    def _merge(self, gathering: _Gathering) -> list[TimelineEvent]:
        timelines = list(gathering.pages.values())
        timelines.append(self._timeline.select(gathering.wanted))
        merged = merge_timelines(timelines)
        for process in sorted(gathering.awaited):
            merged.append(_no_answer(process, merged))
        return merged

    def _ask(self, query_id: int, target: str, *, relay: bool) -> None:
        gathering = self._gatherings[query_id]
        pages = gathering.pages.get(target)
        query = TimelineQuery(
            origin=self._timeline.process,
            query_id=query_id,
            target=target,
            relay=relay,
            after_sequence=pages[-1].sequence if pages else 0,
            wanted=gathering.wanted,
        )
        self._send(gathering.awaited[target], query)

    def _answer(self, peer: str, query: TimelineQuery) -> None:
        if query.target != self._timeline.process:
            self._send(query.target, query)
            return
        relayed_to = self._relay(query) if query.relay else ()
        self._send(peer, self._timeline.answer(query, relayed_to))

    def _relay(self, query: TimelineQuery) -> tuple[str, ...]:
        targets = tuple(
            peer for peer in self._list_peers() if peer != query.origin
        )
        for target in targets:
            passed_on = TimelineQuery(
                origin=query.origin,
                query_id=query.query_id,
                target=target,
                relay=False,
                after_sequence=query.after_sequence,
                wanted=query.wanted,
            )
            self._send(target, passed_on)
        return targets

    def _take(self, peer: str, page: TimelineEvents) -> None:
        if page.origin != self._timeline.process:
            self._send(page.origin, page)
            return
        gathering = self._gatherings.get(page.query_id)
        if gathering is None:
            return
        for process in page.relayed_to:
            known = process in gathering.pages or process in gathering.awaited
            if not known:
                gathering.awaited[process] = peer
        self._add_page(gathering, page, peer)

    def _add_page(
        self,
        gathering: _Gathering,
        page: TimelineEvents,
        peer: str,
    ) -> None:
        pages = gathering.pages.setdefault(page.process, [])
        last = pages[-1].sequence if pages else 0
        # A page can come twice, directly and passed on.
        pages.extend(event for event in page.events if event.sequence > last)
        full = sum(map(len, gathering.pages.values())) >= HIGHEST_EVENTS
        if page.complete or full:
            gathering.awaited.pop(page.process, None)
        elif page.events and page.events[-1].sequence > last:
            gathering.awaited.setdefault(page.process, peer)
            self._ask(page.query_id, page.process, relay=False)
        if not gathering.awaited:
            gathering.done.set()


def _no_answer(process: str, merged: list[TimelineEvent]) -> TimelineEvent:
    last = merged[-1] if merged else None
    return TimelineEvent(
        process=process,
        sequence=0,
        stamp=last.stamp if last else 0,
        wall_s=last.wall_s if last else 0.0,
        kind=NO_ANSWER,
    )

"""Gathers the time lines of all processes."""

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
MAX_GATHERED_EVENTS = 20_000
NO_ANSWER = 'process gave no answer'

SendMessage = Callable[[str, Message], None]
ListPeers = Callable[[], Iterable[str]]


@dataclass
class _PendingQuery:
    """State of one query whose responses are not complete.

    Attributes:
        event_filter: Filter of the events.
        outstanding: Processes that have not sent their last page, each with
            the peer through which it is reached.
        pages: Received events of each process, oldest first.
        done: Set once no process is outstanding.
    """

    event_filter: TimelineFilter
    outstanding: dict[str, str] = field(default_factory=dict)
    pages: dict[str, list[TimelineEvent]] = field(default_factory=dict)
    done: trio.Event = field(default_factory=trio.Event)


class TimelineGatherer:
    """Queries the time lines of other processes and answers their queries.

    Explanation:
        Pages are requested one at a time, so that a long time line does not
        saturate a link. A process that does not answer within the timeout is
        reported by an event in the result.
    """

    def __init__(
        self,
        timeline: Timeline,
        send: SendMessage,
        list_peers: ListPeers,
        *,
        timeout_s: float = GATHER_TIMEOUT_S,
    ) -> None:
        """Connects the time line with the links.

        Args:
            timeline: The time line of this process.
            send: Sends a message to a peer.
            list_peers: Returns the names of the connected peers.
            timeout_s: Maximum wait for the other processes.
        """
        self._timeout_s = timeout_s
        self._timeline = timeline
        self._send = send
        self._list_peers = list_peers
        self._next_id = 1
        self._pending_queries: dict[int, _PendingQuery] = {}

    async def gather(
        self,
        event_filter: TimelineFilter,
        *,
        relay_peer: str = '',
    ) -> list[TimelineEvent]:
        """Returns the events of all processes, merged into one order.

        Args:
            event_filter: Filter of the events.
            relay_peer: Name of the voter that relays the query; empty for a
                process that has links to all others.
        """
        query_id = self._next_id
        self._next_id += 1
        pending_query = _PendingQuery(event_filter)
        self._pending_queries[query_id] = pending_query
        try:
            await self._collect(query_id, relay_peer)
        finally:
            self._pending_queries.pop(query_id)
        return self._merge(pending_query)

    def handle(self, peer: str, message: Message) -> bool:
        """Handles a message of a time line query.

        Args:
            peer: Name of the sender.
            message: The received message.

        Returns:
            Whether the message belongs to a time line query.
        """
        match message:
            case TimelineQuery():
                self._handle_query(peer, message)
            case TimelineEvents():
                self._handle_page(peer, message)
            case _:
                return False
        return True

    async def _collect(self, query_id: int, relay_peer: str) -> None:
        pending_query = self._pending_queries[query_id]
        peers = (relay_peer,) if relay_peer else tuple(self._list_peers())
        pending_query.outstanding.update(zip(peers, peers, strict=True))
        for peer in peers:
            self._request_page(query_id, peer, relay=bool(relay_peer))
        if peers:
            with trio.move_on_after(self._timeout_s):
                await pending_query.done.wait()

    def _merge(self, pending_query: _PendingQuery) -> list[TimelineEvent]:
        timelines = list(pending_query.pages.values())
        timelines.append(self._timeline.select(pending_query.event_filter))
        merged = merge_timelines(timelines)
        for process in sorted(pending_query.outstanding):
            merged.append(_make_no_answer_event(process, merged))
        return merged

    def _request_page(self, query_id: int, target: str, *, relay: bool) -> None:
        pending_query = self._pending_queries[query_id]
        pages = pending_query.pages.get(target)
        query = TimelineQuery(
            origin=self._timeline.process,
            query_id=query_id,
            target=target,
            relay=relay,
            after_sequence=pages[-1].sequence if pages else 0,
            wanted=pending_query.event_filter,
        )
        self._send(pending_query.outstanding[target], query)

    def _handle_query(self, peer: str, query: TimelineQuery) -> None:
        if query.target != self._timeline.process:
            self._send(query.target, query)
            return
        relayed_to = self._relay(query) if query.relay else ()
        self._send(peer, self._timeline.make_page(query, relayed_to))

    def _relay(self, query: TimelineQuery) -> tuple[str, ...]:
        targets = tuple(
            peer for peer in self._list_peers() if peer != query.origin
        )
        for target in targets:
            relayed_query = TimelineQuery(
                origin=query.origin,
                query_id=query.query_id,
                target=target,
                relay=False,
                after_sequence=query.after_sequence,
                wanted=query.wanted,
            )
            self._send(target, relayed_query)
        return targets

    def _handle_page(self, peer: str, page: TimelineEvents) -> None:
        if page.origin != self._timeline.process:
            self._send(page.origin, page)
            return
        pending_query = self._pending_queries.get(page.query_id)
        if pending_query is None:
            return
        for process in page.relayed_to:
            known = (
                process in pending_query.pages
                or process in pending_query.outstanding
            )
            if not known:
                pending_query.outstanding[process] = peer
        self._add_page(pending_query, page, peer)

    def _add_page(
        self,
        pending_query: _PendingQuery,
        page: TimelineEvents,
        peer: str,
    ) -> None:
        pages = pending_query.pages.setdefault(page.process, [])
        last = pages[-1].sequence if pages else 0
        # A page can arrive twice, directly and through a relay.
        pages.extend(event for event in page.events if event.sequence > last)
        limit_reached = (
            sum(map(len, pending_query.pages.values())) >= MAX_GATHERED_EVENTS
        )
        if page.complete or limit_reached:
            pending_query.outstanding.pop(page.process, None)
        elif page.events and page.events[-1].sequence > last:
            pending_query.outstanding.setdefault(page.process, peer)
            self._request_page(page.query_id, page.process, relay=False)
        if not pending_query.outstanding:
            pending_query.done.set()


def _make_no_answer_event(
    process: str,
    merged: list[TimelineEvent],
) -> TimelineEvent:
    last = merged[-1] if merged else None
    return TimelineEvent(
        process=process,
        sequence=0,
        stamp=last.stamp if last else 0,
        wall_s=last.wall_s if last else 0.0,
        kind=NO_ANSWER,
    )

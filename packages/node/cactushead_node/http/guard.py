"""Limits of all connections of a process, with their counters."""

import logging
import resource
from collections.abc import Callable
from dataclasses import asdict, dataclass

import trio

from ..accepting import LOG_INTERVAL_S
from ..holdings import (
    Holding,
    LargestFirstPool,
    OldestFirstPool,
    PoolExhaustedError,
)
from ..settings.model import ConnectionLimits
from .budget import BodyBudget

# Used if the number of descriptors has no limit.
MAX_DESCRIPTORS = 1_000_000

_log = logging.getLogger('cactushead.callers')


@dataclass(frozen=True, slots=True)
class ConnectionCounters:
    """How often limits of the connections were met.

    Attributes:
        closed_waiting: Connections closed to make room for new ones, while
            they waited for their client.
        refused: New connections closed because all others were in use.
        closed_read_ahead: Connections closed for what was read ahead.
        ended_bodies: Incomplete bodies given up to make room for others.
        refused_bodies: Bodies for which there was no memory.
        closed_replies: Replies that were not taken, and given up.
        ended_streams: HTTP/2 requests given up to make room for others.
        refused_streams: HTTP/2 requests refused because all were in use.
    """

    closed_waiting: int = 0
    refused: int = 0
    closed_read_ahead: int = 0
    ended_bodies: int = 0
    refused_bodies: int = 0
    closed_replies: int = 0
    ended_streams: int = 0
    refused_streams: int = 0


class ConnectionGuard:
    """Limits what the connections of all HTTP servers of a process hold.

    Attributes:
        limits: The limits.
        bodies: Memory of request bodies.
        read_ahead: Bytes that were received before their turn.
        replies: Replies that were not taken yet.
        streams: Requests in progress on HTTP/2 connections.
        cut_off: Connections that passed their own limit of bytes read ahead.
        refused_streams: HTTP/2 requests refused by the limit of a connection.
    """

    def __init__(self, limits: ConnectionLimits | None = None) -> None:
        """Creates the guard of a process without connections.

        Args:
            limits: The limits; by default those of the settings.
        """
        self.limits = limits or ConnectionLimits()
        self.bodies = BodyBudget(
            self.limits.total_body_bytes, self.limits.max_body_bytes
        )
        self.read_ahead = LargestFirstPool(self.limits.total_read_ahead_bytes)
        self.replies = OldestFirstPool(self.limits.total_reply_bytes)
        self.streams = OldestFirstPool(self.limits.total_streams)
        self._turns = trio.StrictFIFOLock()
        self.cut_off = 0
        self.refused_streams = 0
        self._all_connections = OldestFirstPool(
            _usable_descriptors(self.limits.reserved_descriptors)
        )
        self._listeners: list[OldestFirstPool] = []
        self._logged = ConnectionCounters()
        self._logged_s = -LOG_INTERVAL_S

    @property
    def counters(self) -> ConnectionCounters:
        """How often each limit was met."""
        pools = (self._all_connections, *self._listeners)
        return ConnectionCounters(
            closed_waiting=sum(pool.evicted for pool in pools),
            refused=sum(pool.refused for pool in pools),
            closed_read_ahead=self.read_ahead.evicted + self.cut_off,
            ended_bodies=self.bodies.given_up,
            refused_bodies=self.bodies.refused,
            closed_replies=self.replies.evicted,
            ended_streams=self.streams.evicted,
            refused_streams=self.streams.refused + self.refused_streams,
        )

    def add_listener(self) -> OldestFirstPool:
        """Returns the pool of the connections of a new listen address."""
        pool = OldestFirstPool(self.limits.max_connections)
        self._listeners.append(pool)
        return pool

    def remove_listener(self, pool: OldestFirstPool) -> None:
        """Forgets a listen address that was closed."""
        self._listeners.remove(pool)

    def admit(
        self, listener: OldestFirstPool, on_evict: Callable[[], None]
    ) -> 'ConnectionPlace':
        """Returns the place of a new connection.

        Explanation:
            If all places are in use, the connection that has waited for its
            client for the longest time is closed.

        Args:
            listener: Pool of the listen address.
            on_evict: Closes the connection.

        Raises:
            PoolExhaustedError: No connection waits for its client.
        """
        place = ConnectionPlace(
            Holding(self._all_connections, on_evict),
            Holding(listener, on_evict),
        )
        try:
            place.open()
        except PoolExhaustedError:
            place.release()
            raise
        return place

    async def wait_for_turn(self) -> None:
        """Waits for a pass of the event loop of its own.

        Explanation:
            What many clients have sent ahead would take one pass otherwise,
            and all other tasks of the process would wait for its end.
        """
        async with self._turns:
            await trio.lowlevel.checkpoint()

    def close_oldest(self) -> None:
        """Closes the connection that has waited longest for its client."""
        self._all_connections.evict_one()

    def log_limits(self) -> None:
        """Logs which limits were met since the last line, but rarely."""
        now_s = trio.current_time()
        if now_s < self._logged_s + LOG_INTERVAL_S:
            return
        counters = self.counters
        if counters == self._logged:
            return
        met = {
            name: count
            for name, count in asdict(counters).items()
            if count > getattr(self._logged, name)
        }
        self._logged = counters
        self._logged_s = now_s
        _log.warning('connections: limits were met, in total: %s', met)


class ConnectionPlace:
    """Place of one connection among all, and among those of its address."""

    def __init__(self, *holdings: Holding) -> None:
        """Creates a place that isn't open yet.

        Args:
            holdings: What the connection holds of each pool.
        """
        self._holdings = holdings

    def open(self) -> None:
        """Takes the place.

        Raises:
            PoolExhaustedError: There is none.
        """
        for holding in self._holdings:
            holding.grow(1)

    def mark_waiting(self) -> None:
        """Records that the connection waits for its client from now on."""
        for holding in self._holdings:
            holding.evictable = True
            holding.renew()

    def mark_handling(self) -> None:
        """Records that a request is handled, so the connection may not end."""
        for holding in self._holdings:
            holding.evictable = False

    def release(self) -> None:
        """Returns the place."""
        for holding in self._holdings:
            holding.release()


def _usable_descriptors(reserved: int) -> int:
    """Returns how many descriptors connections may use, at least half."""
    soft_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft_limit == resource.RLIM_INFINITY:
        return MAX_DESCRIPTORS
    return max(soft_limit - reserved, soft_limit // 2)

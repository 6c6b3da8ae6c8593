"""Failure detection of linked peers."""

from collections.abc import Callable, Collection
from dataclasses import dataclass

# Three consecutive pings are lost or late.
PEER_TIMEOUT_S = 1.0
# A third of the peer timeout, which tolerates two lost pings.
PING_INTERVAL_S = 0.3
# On a link without open work a loss has no effect until the next task, which
# makes the link active.
IDLE_PING_INTERVAL_S = 1.0
IDLE_TIMEOUT_S = 3.2
# The idle ping interval and the time that a ping may take on a busy machine.
MAX_SILENCE_S = 1.6

# A third of the ping interval; checks at each tick would cost more than pings.
CHECK_INTERVAL_S = 0.1
# Ticks are not exactly on time; every second one is meant to check.
CHECK_SLACK_S = 0.02

_NEVER_S = float('-inf')


@dataclass(frozen=True, slots=True)
class SilentPeer:
    """A peer that timed out.

    Attributes:
        name: Its name.
        silence_s: Time since its last message.
    """

    name: str
    silence_s: float


@dataclass(slots=True)
class _PeerTimes:
    """Times of the traffic with one peer.

    Attributes:
        received_s: Time of the last message, or of the start of the link, or
            of the end of a pause of this process.
        heard_s: The same, regardless of pauses.
        sent_s: Time of the last message to the peer.
        active_s: Time since which the link has open work, None without.
    """

    received_s: float
    heard_s: float
    sent_s: float = _NEVER_S
    active_s: float | None = None


class Keepalive:
    """Pings peers to which nothing else is sent; finds the silent ones.

    Explanation:
        A link is active while work is open on it. Only active links are
        pinged often and time out quickly, so that the cost of a link follows
        from the work that it carries.
    """

    def __init__(self) -> None:
        """Starts without peers."""
        self._peers: dict[str, _PeerTimes] = {}
        self._next_check_s = _NEVER_S

    def connected(self, name: str, now_s: float) -> None:
        """Adds a peer."""
        self._peers[name] = _PeerTimes(now_s, now_s)

    def lost(self, name: str) -> None:
        """Removes a peer."""
        self._peers.pop(name, None)

    def received(self, name: str, now_s: float) -> bool:
        """Records that a peer sent a message.

        Returns:
            Whether the message may have been held up, by the network or by a
            pause of this process, for longer than any peer is silent.
        """
        times = self._peers.get(name)
        if times is None:
            return False
        silence_s = now_s - times.heard_s
        times.received_s = now_s
        times.heard_s = now_s
        return silence_s > MAX_SILENCE_S

    def in_progress(self, name: str, now_s: float) -> None:
        """Records that a part of a peer's message arrived.

        Explanation:
            The peer is not silent; whether its message was held up is told
            when it is complete.
        """
        times = self._peers.get(name)
        if times is not None:
            times.received_s = now_s

    def sent(self, name: str, now_s: float) -> None:
        """Records that a message was sent to a peer."""
        times = self._peers.get(name)
        if times is not None:
            times.sent_s = now_s

    def resumed(self, now_s: float) -> None:
        """Restarts the time-outs after a pause of this process.

        Explanation:
            The messages that the peers sent meanwhile are still unread.

        Args:
            now_s: The process's clock.
        """
        for times in self._peers.values():
            times.received_s = now_s

    def tick(
        self,
        now_s: float,
        find_active: Callable[[], Collection[str]],
    ) -> tuple[list[str], list[SilentPeer]]:
        """Returns the peers to ping and those that timed out.

        Args:
            now_s: The process's clock.
            find_active: Returns the names of the peers whose links carry
                open work.

        Returns:
            Names of the peers to ping, and the peers that timed out.
        """
        due: list[str] = []
        silent: list[SilentPeer] = []
        if now_s < self._next_check_s:
            return due, silent
        self._next_check_s = now_s + CHECK_INTERVAL_S - CHECK_SLACK_S
        active = find_active()
        for name, times in self._peers.items():
            if name not in active:
                times.active_s = None
            elif times.active_s is None:
                times.active_s = now_s
            silence_s = now_s - times.received_s
            if _is_silent(times, now_s):
                times.received_s = now_s
                silent.append(SilentPeer(name, silence_s))
            elif now_s - times.sent_s >= _ping_interval_s(times):
                due.append(name)
        return due, silent


def _is_silent(times: _PeerTimes, now_s: float) -> bool:
    if now_s - times.received_s > IDLE_TIMEOUT_S:
        return True
    if times.active_s is None:
        return False
    return now_s - max(times.received_s, times.active_s) > PEER_TIMEOUT_S


def _ping_interval_s(times: _PeerTimes) -> float:
    return IDLE_PING_INTERVAL_S if times.active_s is None else PING_INTERVAL_S

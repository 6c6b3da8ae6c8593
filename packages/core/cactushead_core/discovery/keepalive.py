"""Failure detection of linked peers."""

from collections.abc import Collection
from dataclasses import dataclass

# Three consecutive pings are lost or late.
PEER_TIMEOUT_S = 1.0
# A third of the peer timeout, which tolerates two lost pings.
PING_INTERVAL_S = 0.3
# On a link without open work a loss has no effect until the next task, which
# makes the link active.
IDLE_PING_INTERVAL_S = 1.0
IDLE_TIMEOUT_S = 3.2
# Ticks are at most 0.25 s apart; a longer gap means that the process was
# paused.
PROCESS_PAUSE_S = 0.4

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
        received_s: Time of the last message, or of the start of the link.
        sent_s: Time of the last message to the peer.
        active_s: Time since which the link has open work, None without.
    """

    received_s: float
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
        self._last_tick_s: float | None = None

    def connected(self, name: str, now_s: float) -> None:
        """Adds a peer."""
        self._peers[name] = _PeerTimes(now_s)

    def lost(self, name: str) -> None:
        """Removes a peer."""
        self._peers.pop(name, None)

    def received(self, name: str, now_s: float) -> None:
        """Records that a peer sent a message."""
        times = self._peers.get(name)
        if times is not None:
            times.received_s = now_s

    def sent(self, name: str, now_s: float) -> None:
        """Records that a message was sent to a peer."""
        times = self._peers.get(name)
        if times is not None:
            times.sent_s = now_s

    def tick(
        self,
        now_s: float,
        active: Collection[str],
    ) -> tuple[list[str], list[SilentPeer]]:
        """Returns the peers to ping and those that timed out.

        Args:
            now_s: The process's clock.
            active: Names of the peers whose links carry open work.

        Returns:
            Names of the peers to ping, and the peers that timed out.
        """
        self._ignore_own_pause(now_s)
        due: list[str] = []
        silent: list[SilentPeer] = []
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

    def _ignore_own_pause(self, now_s: float) -> None:
        # After a pause of this process the peers' messages are still unread,
        # so their timeouts are restarted.
        last_tick_s = self._last_tick_s
        self._last_tick_s = now_s
        if last_tick_s is None or now_s - last_tick_s < PROCESS_PAUSE_S:
            return
        for times in self._peers.values():
            times.received_s = now_s


def _is_silent(times: _PeerTimes, now_s: float) -> bool:
    if now_s - times.received_s > IDLE_TIMEOUT_S:
        return True
    if times.active_s is None:
        return False
    return now_s - max(times.received_s, times.active_s) > PEER_TIMEOUT_S


def _ping_interval_s(times: _PeerTimes) -> float:
    return IDLE_PING_INTERVAL_S if times.active_s is None else PING_INTERVAL_S

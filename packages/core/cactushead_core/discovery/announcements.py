"""Batched announcements of members to linked peers."""

from ..effects import Effect, Send
from .messages import MemberAddresses
from .model import MemberAddress

# Members that become known within this interval are announced together.
ANNOUNCEMENT_INTERVAL_S = 0.2


class Announcements:
    """Addresses that are yet to be sent, by receiver."""

    def __init__(self) -> None:
        """Starts without addresses."""
        self._addresses: dict[str, dict[str, MemberAddress]] = {}
        self._due_s = 0.0

    def add(self, receiver: str, member: MemberAddress) -> None:
        """Adds an address that a receiver has to learn."""
        self._addresses.setdefault(receiver, {})[member.name] = member

    def discard(self, receiver: str) -> None:
        """Drops the addresses for a receiver whose link was lost."""
        self._addresses.pop(receiver, None)

    def send_due(self, now_s: float, effects: list[Effect]) -> None:
        """Sends one message to each receiver, at most once an interval.

        Args:
            now_s: The process's clock.
            effects: List to which effects are appended.
        """
        if not self._addresses or now_s < self._due_s:
            return
        self._due_s = now_s + ANNOUNCEMENT_INTERVAL_S
        for receiver, members in self._addresses.items():
            addresses = MemberAddresses(tuple(members.values()))
            effects.append(Send(receiver, addresses))
        self._addresses = {}

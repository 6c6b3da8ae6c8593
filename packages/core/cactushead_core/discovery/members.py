"""Known members of a fleet and the attempts to dial them."""

from collections.abc import Iterator
from dataclasses import dataclass, field

from ..events import PeerRole
from .model import MemberAddress

# Processes that start together accept links within a few tenths of a second.
FIRST_DIAL_PAUSE_S = 0.1
# Limits the number of concurrent attempts at an address that does not answer.
MAX_DIAL_PAUSE_S = 0.8
# A member that was unreachable for this long is removed; seeds are kept.
MEMBER_EXPIRY_S = 60.0


@dataclass(slots=True)
class DialBackoff:
    """Exponential backoff of the attempts to dial an address.

    Attributes:
        next_dial_s: Earliest time of the next attempt.
        pause_s: Pause after that attempt.
    """

    next_dial_s: float = 0.0
    pause_s: float = FIRST_DIAL_PAUSE_S

    def is_due(self, now_s: float) -> bool:
        """Whether to dial now; if so, schedules the next attempt."""
        if now_s < self.next_dial_s:
            return False
        self.next_dial_s = now_s + self.pause_s
        self.pause_s = min(2 * self.pause_s, MAX_DIAL_PAUSE_S)
        return True


@dataclass(slots=True)
class KnownMember:
    """A known member of the fleet.

    Attributes:
        member: Its address.
        missing_s: Time since which a link to it is needed and missing, None
            otherwise.
        backoff: Backoff of the attempts to dial it.
    """

    member: MemberAddress
    missing_s: float | None = None
    backoff: DialBackoff = field(default_factory=DialBackoff)

    def missing_for_s(self, now_s: float) -> float:
        """Returns how long a link has been needed and missing."""
        return 0.0 if self.missing_s is None else now_s - self.missing_s


class Members:
    """Table of the known members except the process itself."""

    def __init__(self, own: MemberAddress) -> None:
        """Starts empty.

        Args:
            own: Address of this process.
        """
        self._own = own
        self._known: dict[str, KnownMember] = {}

    def __iter__(self) -> Iterator[KnownMember]:
        """Yields the known members."""
        return iter(self._known.values())

    def find(self, name: str) -> KnownMember | None:
        """Returns a known member, None if it is unknown."""
        return self._known.get(name)

    def add(self, member: MemberAddress) -> bool:
        """Adds or updates a member; returns whether that changed it."""
        if member.name == self._own.name:
            return False
        known = self._known.get(member.name)
        if known is None:
            self._known[member.name] = KnownMember(member)
            return True
        changed = known.member != member
        known.member = member
        return changed

    def remove(self, name: str) -> None:
        """Removes a member."""
        self._known.pop(name, None)

    def entries(self) -> list[MemberAddress]:
        """Returns the known entries."""
        return [
            known.member
            for known in self._known.values()
            if known.member.role is PeerRole.ENTRY
        ]

    def remove_expired(self, now_s: float) -> None:
        """Removes members that could not be reached for a long time."""
        expired = [
            name
            for name, known in self._known.items()
            if known.missing_for_s(now_s) >= MEMBER_EXPIRY_S
        ]
        for name in expired:
            self._known.pop(name)

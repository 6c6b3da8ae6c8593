"""Who takes part in the replicated log, entry by entry.

Explanation:
    A membership is in force from the moment that its entry is in the log
    (Ongaro 2014, chapter 4). At most one vote is added or removed at a time,
    so that majorities of two memberships that follow each other overlap.
"""

from bisect import bisect_right
from collections.abc import Iterable
from dataclasses import dataclass, replace

from ..effects import LogEntry
from ..messages import decode_message, encode_message
from .invariants import ReplicationInvariantError, require
from .messages import Member, MembershipChanged

Members = tuple[Member, ...]

MEMBERSHIP_PREFIX = encode_message(MembershipChanged(()))[:3]


@dataclass(frozen=True, slots=True)
class MembershipVersion:
    """A membership and the entry that it came with.

    Attributes:
        index: Index of the entry.
        members: The members.
    """

    index: int
    members: Members


def is_membership_change(command: bytes) -> bool:
    """Whether a log command is a membership change."""
    return command.startswith(MEMBERSHIP_PREFIX)


def encode_members(members: Members) -> bytes:
    """Returns the log command for a membership."""
    return encode_message(MembershipChanged(members))


def decode_members(command: bytes) -> Members:
    """Returns the membership of a log command; empty for no command.

    Args:
        command: What `encode_members` returned.

    Returns:
        The members.

    Raises:
        ReplicationInvariantError: The command is another record.
    """
    if not command:
        return ()
    message = decode_message(command)
    if not isinstance(message, MembershipChanged):
        raise ReplicationInvariantError(f'no membership: {message!r:.80}')
    return message.members


def find_member(members: Members, name: str) -> Member | None:
    """Returns the member of a name, None when there is none."""
    for member in members:
        if member.name == name:
            return member
    return None


def is_voter(members: Members, name: str, incarnation: str) -> bool:
    """Whether a disk counts in majorities."""
    return Member(name, incarnation, votes=True) in members


def replace_disk(members: Members, name: str, incarnation: str) -> Members:
    """Returns a membership in which a new disk stands as learner.

    Args:
        members: The present members.
        name: Name of the process whose disk was replaced.
        incarnation: Incarnation of the new disk.

    Returns:
        The next members.
    """
    learner = Member(name, incarnation, votes=False)
    return tuple(
        learner if member.name == name else member for member in members
    )


def add_learner(members: Members, name: str, incarnation: str) -> Members:
    """Returns a membership with another process as learner."""
    return (*members, Member(name, incarnation, votes=False))


def replace_member(
    members: Members,
    removed: str,
    name: str,
    incarnation: str,
) -> Members:
    """Returns a membership in which a learner takes a member's place.

    Args:
        members: The present members.
        gone: Name of the member that is removed.
        name: Name of the learner.
        incarnation: Incarnation of the learner's disk.
    """
    remaining = tuple(member for member in members if member.name != removed)
    return add_learner(remaining, name, incarnation)


def promote(members: Members, name: str) -> Members:
    """Returns a membership in which a learner has a vote."""
    return tuple(
        replace(member, votes=True) if member.name == name else member
        for member in members
    )


class MembershipHistory:
    """The memberships of the log that a replica holds."""

    def __init__(self, index: int, members: Members) -> None:
        """Starts from a snapshot's membership.

        Args:
            index: Index of the snapshot, 0 for none.
            members: Its membership, empty for none.
        """
        self._versions = [MembershipVersion(index, members)]

    @property
    def members(self) -> Members:
        """The membership in force."""
        return self._versions[-1].members

    @property
    def index(self) -> int:
        """Index of the entry that the membership in force came with."""
        return self._versions[-1].index

    def voters(self) -> Members:
        """Returns the members that count in majorities."""
        return tuple(member for member in self.members if member.votes)

    def at(self, index: int) -> Members:
        """Returns the membership that was in force at an entry."""
        return self._versions[self._position(index)].members

    def record_changes(self, entries: Iterable[LogEntry]) -> bool:
        """Takes the membership changes among appended entries.

        Args:
            entries: Entries behind those seen before.

        Returns:
            Whether there was a change.
        """
        changed = False
        for entry in entries:
            if entry.command.startswith(MEMBERSHIP_PREFIX):
                members = decode_members(entry.command)
                require(
                    entry.index > self.index,
                    f'membership {entry.index} follows {self.index}',
                )
                version = MembershipVersion(entry.index, members)
                self._versions.append(version)
                changed = True
        return changed

    def truncate_from(self, index: int) -> None:
        """Forgets memberships of entries that are cut."""
        del self._versions[self._position(index - 1) + 1 :]

    def discard_to(self, index: int) -> None:
        """Forgets memberships that a snapshot makes superfluous."""
        del self._versions[: self._position(index)]

    def adopt(self, members: Members) -> None:
        """Takes another member's word while the log is empty.

        Args:
            members: The cell's members.
        """
        require(
            len(self._versions) == 1 and self.index == 0,
            f'adopting a membership over entry {self.index}',
        )
        self._versions = [MembershipVersion(0, members)]

    def _position(self, index: int) -> int:
        position = bisect_right(
            self._versions,
            index,
            key=lambda version: version.index,
        )
        return max(position - 1, 0)

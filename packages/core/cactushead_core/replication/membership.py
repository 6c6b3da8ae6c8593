"""Memberships of the replicated log and the entries that change them.

Explanation:
    A replica uses the membership of the latest membership entry in its log,
    committed or not (Ongaro 2014, chapter 4). Each change adds or removes at
    most one vote, so that majorities of successive memberships overlap.
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
    """A membership and the index of its log entry.

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
    """Decodes the membership of a log command; empty for no command.

    Args:
        command: A command encoded by `encode_members`, or empty.

    Returns:
        The members.

    Raises:
        ReplicationInvariantError: The command is no membership change.
    """
    if not command:
        return ()
    message = decode_message(command)
    if not isinstance(message, MembershipChanged):
        raise ReplicationInvariantError(
            f'no membership change: {message!r:.80}'
        )
    return message.members


def find_member(members: Members, name: str) -> Member | None:
    """Returns the member with a name, None if there is none."""
    for member in members:
        if member.name == name:
            return member
    return None


def is_voter(members: Members, name: str, incarnation: str) -> bool:
    """Whether a disk is a voter of the membership."""
    return Member(name, incarnation, votes=True) in members


def replace_disk(members: Members, name: str, incarnation: str) -> Members:
    """Returns a membership with a process's new disk as learner.

    Args:
        members: The current members.
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
    """Returns a membership with a further process as learner."""
    return (*members, Member(name, incarnation, votes=False))


def replace_member(
    members: Members,
    removed: str,
    name: str,
    incarnation: str,
) -> Members:
    """Returns a membership in which a learner replaces a member.

    Args:
        members: The current members.
        removed: Name of the member that is removed.
        name: Name of the learner.
        incarnation: Incarnation of the learner's disk.
    """
    remaining = tuple(member for member in members if member.name != removed)
    return add_learner(remaining, name, incarnation)


def promote(members: Members, name: str) -> Members:
    """Returns a membership in which a learner has become a voter."""
    return tuple(
        replace(member, votes=True) if member.name == name else member
        for member in members
    )


class MembershipHistory:
    """The successive memberships of a replica's log."""

    def __init__(self, index: int, members: Members) -> None:
        """Initializes with a snapshot's membership.

        Args:
            index: Index of the snapshot, 0 for none.
            members: Membership of the snapshot, empty for none.
        """
        self._versions = [MembershipVersion(index, members)]

    @property
    def members(self) -> Members:
        """The current membership."""
        return self._versions[-1].members

    @property
    def index(self) -> int:
        """Index of the entry of the current membership."""
        return self._versions[-1].index

    def voters(self) -> Members:
        """Returns the members that are voters."""
        return tuple(member for member in self.members if member.votes)

    def at(self, index: int) -> Members:
        """Returns the membership that applied at the index of an entry."""
        return self._versions[self._position(index)].members

    def record_changes(self, entries: Iterable[LogEntry]) -> bool:
        """Records the membership changes among appended entries.

        Args:
            entries: Entries that follow those recorded before.

        Returns:
            Whether the entries contain a membership change.
        """
        changed = False
        for entry in entries:
            if entry.command.startswith(MEMBERSHIP_PREFIX):
                members = decode_members(entry.command)
                require(
                    entry.index > self.index,
                    f'membership at {entry.index} follows {self.index}',
                )
                version = MembershipVersion(entry.index, members)
                self._versions.append(version)
                changed = True
        return changed

    def truncate_from(self, index: int) -> None:
        """Removes the memberships of truncated entries."""
        del self._versions[self._position(index - 1) + 1 :]

    def discard_to(self, index: int) -> None:
        """Discards memberships that no entry from an index on needs."""
        del self._versions[: self._position(index)]

    def adopt(self, members: Members) -> None:
        """Sets the membership that another member reports.

        Explanation:
            Allowed only while the log is empty.

        Args:
            members: The cell's members.
        """
        require(
            len(self._versions) == 1 and self.index == 0,
            f'adopting a membership in place of entry {self.index}',
        )
        self._versions = [MembershipVersion(0, members)]

    def _position(self, index: int) -> int:
        position = bisect_right(
            self._versions,
            index,
            key=lambda version: version.index,
        )
        return max(position - 1, 0)

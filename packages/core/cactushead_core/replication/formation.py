"""Cell formation (bootstrap) and discovery of an existing membership.

Explanation:
    Only the bootstrap voter, the listed voter with the smallest name, forms
    a cell. It does so only after every listed voter has reported the same
    empty disk in two successive query rounds. Then all disks were empty at
    some time between the two rounds. One round would not prove that, since
    disks may be written and lost between its replies. A voter that replies
    to the bootstrap voter starts a new query round of its own and so ignores
    the replies to its earlier queries; otherwise it could still adopt a
    membership that was stored only on disks lost in the meantime.

    The list of voters is part of the settings, or it is selected when a fleet
    starts for the first time. Without one, a process only asks to join. A
    selected list may be outdated, so it is void once a member is heard of. The
    owner passes it only to a process whose disk has been kept since the first
    start. If such a bootstrap voter has an empty log, no cell was ever formed
    with its list, since members are reported only once they are on disk.

    The membership is the log's first entry and lists pairs of process name
    and disk incarnation. Another voter adopts it if its own pair is listed.
    A disk that is not listed is new and grants no vote until a leader has
    admitted it.
"""

from ..effects import LogEntry
from .membership import (
    Members,
    decode_members,
    encode_members,
    is_voter,
)
from .messages import Member, MembershipQuery, MembershipReply
from .state import ReplicaState, Role

FORMATION_TERM = 1
FORMATION_INDEX = 1
LEADER_SILENCE_TIMEOUTS = 3


class Formation:
    """Forms the cell, or finds the membership of an existing one."""

    def __init__(self, state: ReplicaState) -> None:
        """Initializes and starts the first query round.

        Args:
            state: State of the replica.
        """
        self._state = state
        self._voters = tuple(sorted(state.settings.voters))
        self._contacts: tuple[str, ...] = ()
        self._reported_disks: dict[str, str] = {}
        self._first_round_disks: dict[str, str] = {}
        self._query_rounds = 0
        self._query_id = ''
        self._start_query_round()

    def tick(self, last_contact_s: float) -> None:
        """Sends membership queries while the membership may be outdated.

        Args:
            last_contact_s: Time of the last message from a leader.
        """
        state = self._state
        if state.is_empty and self._is_bootstrap_voter():
            self._form_if_confirmed()
        if self._is_membership_current(last_contact_s):
            return
        if state.now_s - self._last_query_s < state.settings.heartbeat_s:
            return
        self._last_query_s = state.now_s
        query = MembershipQuery(
            state.settings.name,
            state.settings.incarnation,
            self._voters,
            self._query_id,
        )
        members = (member.name for member in state.membership.members)
        for name in sorted({*self._voters, *members, *self._contacts}):
            if name != state.settings.name:
                state.send(name, query)

    def update_contacts(self, names: tuple[str, ...]) -> None:
        """Sets further query receivers, as known voters may be replaced.

        Args:
            names: Processes that may know the membership.
        """
        self._contacts = names

    def select_voters(self, names: tuple[str, ...]) -> None:
        """Sets the voters that form the cell, unless they are known.

        Args:
            names: Names of the voters.
        """
        if self._voters or self._state.membership.members:
            return
        self._voters = tuple(sorted(names))
        self._start_query_round()

    def query_received(self, query: MembershipQuery) -> None:
        """Replies to a membership query.

        Args:
            query: The query.
        """
        state = self._state
        if not state.is_empty and not state.disk.synced_index:
            return
        members = state.membership.members
        if not members:
            listed = tuple(sorted(query.voters))
            if not listed or self._voters not in {(), listed}:
                return
            if query.name == listed[0]:
                self._start_query_round()
        reply = MembershipReply(
            state.settings.name,
            state.settings.incarnation,
            query.query_id,
            self._formation_command(),
            members,
        )
        state.send(query.name, reply)

    def reply_received(self, reply: MembershipReply) -> None:
        """Handles a reply; ignores replies to earlier query rounds.

        Args:
            reply: The reply.
        """
        if reply.query_id != self._query_id or not self._state.is_empty:
            return
        if reply.members:
            self._first_round_disks = {}
            self._reported_disks = {}
            if not self._state.settings.voters:
                self._voters = ()
            self._adopt(reply)
        elif reply.name in self._voters:
            self._reported_disks[reply.name] = reply.incarnation
            if self._is_bootstrap_voter():
                self._form_if_confirmed()

    def _is_membership_current(self, last_contact_s: float) -> bool:
        """Whether this replica leads or is a voter in contact with a leader."""
        state = self._state
        if state.role is Role.LEADER:
            return True
        if self._voters == (state.settings.name,):
            return True
        if not state.is_voter:
            return False
        silence_s = state.now_s - last_contact_s
        return (
            silence_s
            < LEADER_SILENCE_TIMEOUTS * state.settings.election_timeout_s
        )

    def _is_bootstrap_voter(self) -> bool:
        return self._voters[:1] == (self._state.settings.name,)

    def _form_if_confirmed(self) -> None:
        """Forms the cell if two successive rounds reported the same disks."""
        settings = self._state.settings
        disks = {
            **self._reported_disks,
            settings.name: settings.incarnation,
        }
        if self._state.membership.members or len(disks) < len(self._voters):
            return
        if len(disks) > 1 and disks != self._first_round_disks:
            self._first_round_disks = disks
            self._start_query_round()
            return
        members = tuple(
            Member(name, disks[name], votes=True) for name in self._voters
        )
        self._append_formation(members)

    def _adopt(self, reply: MembershipReply) -> None:
        """Adopts a reported membership if it lists this disk as a voter."""
        state = self._state
        name = state.settings.name
        incarnation = state.settings.incarnation
        initial = decode_members(reply.formation)
        if is_voter(initial, name, incarnation):
            self._append_formation(initial)
        elif is_voter(reply.members, name, incarnation):
            state.membership.adopt(reply.members)

    def _append_formation(self, members: Members) -> None:
        state = self._state
        if state.term < FORMATION_TERM:
            state.enter_term(FORMATION_TERM)
        command = encode_members(members)
        entry = LogEntry(FORMATION_TERM, FORMATION_INDEX, command)
        state.log.append([entry])
        state.membership.record_changes([entry])
        state.write_log()

    def _formation_command(self) -> bytes:
        log = self._state.log
        if log.base_index > 0 or log.last_index == 0:
            return b''
        return log.entry(FORMATION_INDEX).command

    def _start_query_round(self) -> None:
        settings = self._state.settings
        self._query_rounds += 1
        self._reported_disks = {}
        self._last_query_s = float('-inf')
        self._query_id = (
            f'{settings.incarnation}/{self._state.now_s!r}/{self._query_rounds}'
        )

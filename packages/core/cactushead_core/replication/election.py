"""Leader election: election timeouts, pre-votes and votes.

Explanation:
    Implements Raft's election (Ongaro and Ousterhout 2014) with pre-vote
    and leader stickiness (Ongaro 2014, sections 9.6 and 6.4.1): a replica
    that received a message from a leader within the minimum election
    timeout grants no vote, even to a candidate with a higher term. A
    replica that has just started may have been in contact with a leader
    before the restart, so it also waits for the minimum election timeout.
    An election caused by a leadership transfer (section 3.10) skips this
    wait, because the previous leader has released its leader lease.

    A vote is sent only after it has been saved to disk.
"""

import random
from dataclasses import dataclass

from .messages import VoteReply, VoteRequest
from .quorum import is_majority
from .state import ReplicaState, Role


@dataclass(frozen=True, slots=True)
class SilentMember:
    """A member that was silent before an election.

    Attributes:
        name: Its name, empty if none is known.
        last_contact_s: Time of its last message.
    """

    name: str
    last_contact_s: float


class Election:
    """Leader election of one replica."""

    def __init__(self, state: ReplicaState) -> None:
        """Initializes the election state and starts the election timeout.

        Args:
            state: State of the replica.
        """
        self._state = state
        settings = state.settings
        seed = f'{settings.seed}/{settings.name}/{settings.incarnation}'
        self._random = random.Random(seed)
        self._last_contact_s = state.now_s
        self._last_leader = ''
        self._deadline_s = 0.0
        self._saved_term = state.term
        self._saved_vote = state.voted_for
        self._granted_by: set[tuple[str, str]] = set()
        self._leadership_transfer = False
        self._reset_timeout()

    @property
    def last_contact_s(self) -> float:
        """Time of the last message from a leader, initially the start time."""
        return self._last_contact_s

    def record_leader_contact(self) -> None:
        """Records a message from the current leader."""
        self._last_contact_s = self._state.now_s
        self._last_leader = self._state.leader
        self._reset_timeout()

    def take_silent_leader(self) -> SilentMember:
        """Returns the leader that this replica followed before it leads.

        Explanation:
            Only once: while this replica leads, it knows better itself which
            members are silent.
        """
        silent = SilentMember(self._last_leader, self._last_contact_s)
        self._last_leader = ''
        return silent

    def leadership_transferred(self) -> None:
        """Restarts the election timeout so that the successor can win."""
        self._reset_timeout()

    def timeout_now_received(self, term: int) -> None:
        """Handles `TimeoutNow`: starts an election without a timeout.

        Args:
            term: Term of the leader that transfers leadership.
        """
        state = self._state
        if term != state.term or state.role is Role.LEADER:
            return
        if state.is_voter:
            state.become_follower(term)
            self._become_candidate()
            self._leadership_transfer = True

    def tick(self) -> bool:
        """Starts an election when the election timeout has expired.

        Returns:
            Whether this replica has won the election.
        """
        state = self._state
        if state.role is Role.LEADER:
            return False
        if not state.is_voter:
            self._clear_silent_leader()
            return False
        if len(state.membership.voters()) == 1:
            if state.role is Role.FOLLOWER:
                self._become_candidate()
            return False
        if state.now_s >= self._deadline_s:
            self._start_pre_vote()
        return False

    def vote_saved(self, term: int, voted_for: str) -> bool:
        """Handles `VoteSaved`: sends vote requests or a granted vote.

        Args:
            term: Term saved to disk.
            voted_for: Vote saved to disk, empty for no vote.

        Returns:
            Whether this replica has won the election.
        """
        self._saved_term = term
        self._saved_vote = voted_for
        state = self._state
        if not voted_for or not self._is_vote_saved():
            return False
        if state.role is Role.CANDIDATE:
            return self._start_vote()
        if voted_for != state.settings.name:
            self._reply(voted_for, state.term, granted=True, pre_vote=False)
        return False

    def vote_requested(self, request: VoteRequest) -> None:
        """Handles a vote request or pre-vote request.

        Args:
            request: The request.
        """
        if request.pre_vote:
            self._answer_pre_vote(request)
        elif request.leadership_transfer or not self._has_recent_leader():
            self._answer_vote(request)

    def vote_replied(self, reply: VoteReply) -> bool:
        """Handles a reply to a vote request or pre-vote request.

        Args:
            reply: The reply.

        Returns:
            Whether this replica has won the election.
        """
        state = self._state
        if not reply.granted:
            if reply.term > state.term:
                state.become_follower(reply.term)
            return False
        if reply.pre_vote:
            self._count_pre_vote(reply)
            return False
        if state.role is not Role.CANDIDATE or reply.term != state.term:
            return False
        self._granted_by.add((reply.voter, reply.incarnation))
        return self._has_majority()

    def _clear_silent_leader(self) -> None:
        """Clears the known leader when the election timeout has expired."""
        state = self._state
        if state.leader and state.now_s >= self._deadline_s:
            state.become_follower(state.term)

    def _start_pre_vote(self) -> None:
        state = self._state
        state.become_follower(state.term)
        state.role = Role.PRE_CANDIDATE
        self._reset_timeout()
        self._granted_by = {self._own_identity()}
        self._request_votes(state.term + 1, pre_vote=True)

    def _count_pre_vote(self, reply: VoteReply) -> None:
        state = self._state
        if state.role is not Role.PRE_CANDIDATE:
            return
        if reply.term != state.term + 1:
            return
        self._granted_by.add((reply.voter, reply.incarnation))
        if self._has_majority():
            self._become_candidate()

    def _become_candidate(self) -> None:
        state = self._state
        state.enter_term(state.term + 1, state.settings.name)
        state.role = Role.CANDIDATE
        self._leadership_transfer = False
        self._granted_by = set()
        self._reset_timeout()

    def _start_vote(self) -> bool:
        self._granted_by.add(self._own_identity())
        self._request_votes(self._state.term, pre_vote=False)
        return self._has_majority()

    def _request_votes(self, term: int, *, pre_vote: bool) -> None:
        state = self._state
        log = state.log
        name = state.settings.name
        for voter in state.membership.voters():
            if voter.name == name:
                continue
            request = VoteRequest(
                term,
                name,
                voter.incarnation,
                log.last_term,
                log.last_index,
                pre_vote,
                self._leadership_transfer and not pre_vote,
            )
            state.send(voter.name, request)

    def _answer_pre_vote(self, request: VoteRequest) -> None:
        state = self._state
        granted = (
            request.term > state.term
            and self._is_listed_voter(request)
            and not self._has_recent_leader()
            and self._is_up_to_date(request)
        )
        term = request.term if granted else state.term
        self._reply(request.candidate, term, granted=granted, pre_vote=True)

    def _answer_vote(self, request: VoteRequest) -> None:
        state = self._state
        if request.term < state.term:
            self._deny_vote(request)
            return
        grant = self._is_listed_voter(request) and self._is_up_to_date(request)
        if request.term > state.term:
            state.become_follower(
                request.term, request.candidate if grant else ''
            )
            self._reset_timeout()
        elif grant and not state.voted_for:
            state.cast_vote(request.candidate)
            self._reset_timeout()
        if not grant or state.voted_for != request.candidate:
            self._deny_vote(request)
        elif self._is_vote_saved():
            term = state.term
            self._reply(request.candidate, term, granted=True, pre_vote=False)

    def _deny_vote(self, request: VoteRequest) -> None:
        term = self._state.term
        self._reply(request.candidate, term, granted=False, pre_vote=False)

    def _reply(
        self,
        candidate: str,
        term: int,
        *,
        granted: bool,
        pre_vote: bool,
    ) -> None:
        name, incarnation = self._own_identity()
        reply = VoteReply(term, name, incarnation, granted, pre_vote)
        self._state.send(candidate, reply)

    def _has_recent_leader(self) -> bool:
        """Whether leader stickiness forbids to grant a vote."""
        state = self._state
        if state.role is Role.LEADER:
            return True
        silence_s = state.now_s - self._last_contact_s
        return silence_s < state.settings.election_timeout_s

    def _is_listed_voter(self, request: VoteRequest) -> bool:
        """Whether the candidate's membership lists this disk as a voter.

        The candidate's membership decides because a learner may not have
        received the entry yet that promotes it; that entry might never be
        committed without the learner's vote.
        """
        state = self._state
        is_asked = request.incarnation == state.settings.incarnation
        return is_asked and bool(state.membership.members)

    def _is_up_to_date(self, request: VoteRequest) -> bool:
        log = self._state.log
        theirs = (request.last_term, request.last_index)
        return theirs >= (log.last_term, log.last_index)

    def _is_vote_saved(self) -> bool:
        state = self._state
        saved = (self._saved_term, self._saved_vote)
        return saved == (state.term, state.voted_for)

    def _has_majority(self) -> bool:
        voters = self._state.membership.voters()
        votes = sum(
            (voter.name, voter.incarnation) in self._granted_by
            for voter in voters
        )
        return is_majority(votes, len(voters))

    def _own_identity(self) -> tuple[str, str]:
        settings = self._state.settings
        return settings.name, settings.incarnation

    def _reset_timeout(self) -> None:
        shortest_s = self._state.settings.election_timeout_s
        jitter_s = self._random.random() * shortest_s
        self._deadline_s = self._state.now_s + shortest_s + jitter_s

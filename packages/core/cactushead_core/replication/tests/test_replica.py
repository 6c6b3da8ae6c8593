"""Tests of single rules of the protocol on one replica."""

import pytest
from cactushead_core.effects import AppendLog, LogEntry, SaveVote, Send
from cactushead_core.events import (
    LogSynced,
    MessageReceived,
    Peer,
    PeerConnected,
    PeerRole,
    Tick,
    TurnEnded,
    VoteSaved,
)
from cactushead_core.messages import decode_frame, encode_frame
from cactushead_core.replication import (
    EntriesCommitted,
    LeaderLost,
    LeaderReady,
    MemoryCommitted,
    Replica,
    ReplicaSettings,
    SnapshotInstalled,
    StoredLog,
)
from cactushead_core.replication.invariants import ReplicationInvariantError
from cactushead_core.replication.membership import encode_members
from cactushead_core.replication.messages import (
    AppendEntries,
    AppendReply,
    Member,
    MembershipQuery,
    MembershipReply,
    VoteReply,
    VoteRequest,
)
from cactushead_core.replication.sender import MESSAGE_LIMIT_BYTES

VOTERS = tuple(Member(name, f'{name}1', votes=True) for name in 'abc')
FORMATION = LogEntry(1, 1, encode_members(VOTERS))
STORED = StoredLog(term=1, entries=(FORMATION,))
AFTER_TIMEOUT_S = 10.0


class Harness:
    """One replica; the test sends the messages of its peers."""

    def __init__(self, name='a', stored=STORED, incarnation=None, now_s=0.0):
        settings = ReplicaSettings(
            name, incarnation or f'{name}1', ('a', 'b', 'c')
        )
        self.now_s = now_s
        self.replica = Replica(settings, stored, now_s)
        self.effects = []
        self.notices = []

    def handle_event(self, event_type, *fields):
        output = self.replica.handle(event_type(self.now_s, *fields))
        self.effects = output.effects
        self.notices += output.notices
        return output.effects

    def receive(self, name, message, session='run1'):
        peer = Peer(name, PeerRole.ENTRY, session)
        effects = self.handle_event(MessageReceived, peer, message)
        return effects + self.handle_event(TurnEnded)

    def sent(self, effects, kind):
        return [
            effect.message
            for effect in effects
            if isinstance(effect, Send) and isinstance(effect.message, kind)
        ]

    def notices_of(self, kind):
        return [notice for notice in self.notices if isinstance(notice, kind)]

    def win_election(self):
        """Wins the election of term 2 with the votes of a and b."""
        self.now_s += AFTER_TIMEOUT_S
        self.handle_event(Tick)
        self.receive('b', VoteReply(2, 'b', 'b1', True, True))
        self.handle_event(VoteSaved, 2, 'a')
        effects = self.receive('b', VoteReply(2, 'b', 'b1', True, False))
        assert self.replica.leads
        return self.sent(effects, AppendEntries)

    def acknowledge(
        self, name, match, synced, sequence=1, echo_s=None, **other
    ):
        echo_s = self.now_s if echo_s is None else echo_s
        session = other.pop('session', 'run1')
        incarnation = other.pop('incarnation', f'{name}1')
        rejected = other.pop('rejected', 0)
        hint = other.pop('hint', 0)
        reply = AppendReply(
            2,
            name,
            incarnation,
            match,
            synced,
            rejected,
            hint,
            sequence,
            echo_s,
        )
        return self.receive(name, reply, session)


def vote_request(
    term=2, last=(1, 1), pre_vote=False, candidate='b', incarnation='a1'
):
    return VoteRequest(term, candidate, incarnation, *last, pre_vote)


def append(
    term, previous, commands=(), committed=0, entry_term=None, sequence=1
):
    """Builds entries of leader b after `previous`, a (term, index) pair."""
    entry_term = term if entry_term is None else entry_term
    return AppendEntries(
        term,
        'b',
        previous[1],
        previous[0],
        entry_term,
        commands,
        committed,
        True,
        True,
        sequence,
        5.0,
    )


def test_messages_round_trip_through_the_codec():
    messages = [vote_request(), append(2, (1, 1), (b'x', b'y'))]
    assert decode_frame(encode_frame(messages)) == messages


def test_vote_is_sent_after_it_is_saved():
    voter = Harness(stored=STORED)
    voter.now_s = AFTER_TIMEOUT_S
    effects = voter.receive('b', vote_request())
    assert SaveVote(2, 'b') in effects
    assert not voter.sent(effects, VoteReply)
    effects = voter.handle_event(VoteSaved, 2, 'b')
    assert voter.sent(effects, VoteReply) == [
        VoteReply(2, 'a', 'a1', True, False)
    ]


def test_votes_are_requested_after_own_vote_is_saved():
    candidate = Harness()
    candidate.now_s = AFTER_TIMEOUT_S
    candidate.handle_event(Tick)
    effects = candidate.receive('b', VoteReply(2, 'b', 'b1', True, True))
    assert effects == [SaveVote(2, 'a')]
    effects = candidate.handle_event(VoteSaved, 2, 'a')
    assert len(candidate.sent(effects, VoteRequest)) == 2


def test_one_vote_per_term():
    voter = Harness(stored=StoredLog(2, 'c', entries=(FORMATION,)))
    voter.now_s = AFTER_TIMEOUT_S
    (reply,) = voter.sent(voter.receive('b', vote_request()), VoteReply)
    assert not reply.granted


def test_no_vote_for_a_shorter_log():
    entries = (FORMATION, LogEntry(1, 2, b''))
    voter = Harness(stored=StoredLog(term=1, entries=entries))
    voter.now_s = AFTER_TIMEOUT_S
    (reply,) = voter.sent(voter.receive('b', vote_request()), VoteReply)
    assert not reply.granted


@pytest.mark.parametrize('pre_vote', [True, False])
def test_no_vote_soon_after_contact_with_a_leader(pre_vote):
    voter = Harness()
    voter.now_s = AFTER_TIMEOUT_S
    voter.receive('b', append(2, (1, 1)))
    voter.now_s += 0.59
    request = vote_request(3, (2, 9), pre_vote, candidate='c')
    replies = voter.sent(voter.receive('c', request), VoteReply)
    assert not any(reply.granted for reply in replies)
    assert voter.replica.term == 2


def test_no_vote_right_after_a_restart():
    voter = Harness(now_s=100.0)
    voter.now_s = 100.59
    assert not voter.receive('b', vote_request())
    assert voter.replica.term == 1


def test_new_disk_grants_no_vote():
    voter = Harness(stored=StoredLog(), incarnation='a2')
    voter.now_s = AFTER_TIMEOUT_S
    effects = voter.receive('b', vote_request())
    assert not any(reply.granted for reply in voter.sent(effects, VoteReply))


def test_learner_votes_if_the_candidate_lists_it_as_voter():
    members = (Member('a', 'a2', votes=False), *VOTERS[1:])
    entries = (FORMATION, LogEntry(2, 2, encode_members(members)))
    learner = Harness(stored=StoredLog(2, entries=entries), incarnation='a2')
    learner.now_s = AFTER_TIMEOUT_S
    learner.handle_event(Tick)
    assert learner.replica.term == 2
    learner.receive('b', vote_request(3, (2, 2), incarnation='a1'))
    assert learner.handle_event(VoteSaved, 3, '') == []
    effects = learner.receive('b', vote_request(3, (2, 2), incarnation='a2'))
    assert SaveVote(3, 'b') in effects


def test_pre_vote_does_not_change_the_term():
    replica = Harness()
    replica.now_s = AFTER_TIMEOUT_S
    replica.handle_event(Tick)
    assert replica.replica.term == 1
    replica.receive('b', vote_request(7, (9, 9), pre_vote=True))
    assert replica.replica.term == 1


def test_vote_of_another_disk_does_not_count():
    candidate = Harness()
    candidate.now_s = AFTER_TIMEOUT_S
    candidate.handle_event(Tick)
    candidate.receive('b', VoteReply(2, 'b', 'b2', True, True))
    assert candidate.replica.term == 1


def test_loop_turn_is_batched_into_one_message_and_append():
    leader = Harness()
    leader.win_election()
    leader.acknowledge('b', 2, 2)
    leader.replica.propose([b'x'])
    leader.replica.propose([b'y', b'z'])
    effects = leader.handle_event(TurnEnded)
    appends = [e for e in effects if isinstance(e, AppendLog)]
    assert [len(e.entries) for e in appends] == [3]
    (message,) = leader.sent(effects, AppendEntries)
    assert message.commands == (b'x', b'y', b'z')


def test_appends_are_pipelined():
    leader = Harness()
    leader.win_election()
    leader.acknowledge('b', 2, 2)
    for command in (b'x', b'y'):
        leader.replica.propose([command])
        (message,) = leader.sent(leader.handle_event(TurnEnded), AppendEntries)
        assert message.commands == (command,)


def test_messages_have_a_bounded_size():
    leader = Harness()
    leader.win_election()
    leader.acknowledge('b', 2, 2)
    leader.replica.propose([bytes(MESSAGE_LIMIT_BYTES // 4)] * 9)
    messages = leader.sent(leader.handle_event(TurnEnded), AppendEntries)
    sizes = [sum(map(len, message.commands)) for message in messages]
    assert sum(sizes) == MESSAGE_LIMIT_BYTES // 4 * 9
    assert max(sizes) <= MESSAGE_LIMIT_BYTES


def test_lost_entries_are_sent_again():
    leader = Harness()
    leader.win_election()
    leader.acknowledge('b', 2, 2)
    leader.replica.propose([b'x'])
    leader.handle_event(TurnEnded)
    leader.now_s += 0.5
    probes = leader.sent(leader.handle_event(Tick), AppendEntries)
    assert probes[0].previous_index == 2
    effects = leader.acknowledge('b', 2, 2, sequence=9)
    (message,) = leader.sent(effects, AppendEntries)
    assert message.commands == (b'x',)


def test_new_link_is_probed_at_once():
    leader = Harness()
    leader.win_election()
    leader.acknowledge('b', 2, 2)
    leader.replica.propose([b'x'])
    leader.handle_event(TurnEnded)
    leader.handle_event(PeerConnected, Peer('b', PeerRole.ENTRY, 'run1'))
    (message,) = leader.sent(leader.handle_event(TurnEnded), AppendEntries)
    assert message.commands == (b'x',)


def test_memory_commit_precedes_the_synced_commit():
    leader = Harness()
    leader.win_election()
    leader.acknowledge('b', 2, 0)
    assert leader.notices_of(MemoryCommitted) == [MemoryCommitted(2)]
    assert not leader.notices_of(EntriesCommitted)
    leader.handle_event(LogSynced, 2, 2)
    assert not leader.notices_of(EntriesCommitted)
    leader.acknowledge('b', 2, 2)
    (committed,) = leader.notices_of(EntriesCommitted)
    assert [entry.index for entry in committed.entries] == [1, 2]
    assert leader.notices[-1] == LeaderReady(2)


def test_entries_of_earlier_terms_commit_with_one_of_the_own_term():
    entries = (FORMATION, LogEntry(1, 2, b'old'))
    leader = Harness(stored=StoredLog(term=1, entries=entries))
    leader.win_election()
    leader.acknowledge('b', 2, 2)
    assert not leader.notices_of(EntriesCommitted)
    assert not leader.notices_of(MemoryCommitted)
    leader.handle_event(LogSynced, 2, 3)
    leader.acknowledge('b', 3, 3)
    (committed,) = leader.notices_of(EntriesCommitted)
    assert committed.entries[-1].index == 3


def test_unsynced_entries_of_an_earlier_session_do_not_count():
    leader = Harness()
    leader.win_election()
    leader.acknowledge('b', 2, 2, sequence=1)
    leader.replica.propose([b'x'])
    leader.handle_event(TurnEnded)
    leader.acknowledge('b', 3, 2, sequence=2)
    leader.acknowledge(
        'b', 2, 2, sequence=2, session='run2', rejected=3, hint=2
    )
    assert (
        leader.replica._components.active_leader()._peers['b'].match_index == 2
    )
    leader.replica.propose([b'y'])
    leader.handle_event(TurnEnded)
    leader.acknowledge('b', 3, 2, sequence=2, session='run1')
    assert (
        leader.replica._components.active_leader()._peers['b'].match_index == 2
    )


def test_ack_of_another_disk_does_not_count():
    leader = Harness()
    leader.win_election()
    leader.handle_event(LogSynced, 2, 2)
    leader.acknowledge('b', 2, 2, incarnation='b2')
    assert not leader.notices_of(MemoryCommitted)
    assert not leader.notices_of(EntriesCommitted)
    assert not leader.replica.has_leader_lease(leader.now_s)


def test_learner_counts_in_no_majority():
    members = (*VOTERS[:2], Member('c', 'c1', votes=False))
    entries = (FORMATION, LogEntry(1, 2, encode_members(members)))
    leader = Harness(stored=StoredLog(term=1, entries=entries))
    leader.win_election()
    leader.handle_event(LogSynced, 2, 3)
    leader.acknowledge('c', 3, 3)
    assert not leader.notices_of(MemoryCommitted)
    assert not leader.notices_of(EntriesCommitted)
    assert not leader.replica.has_leader_lease(leader.now_s)
    leader.acknowledge('b', 3, 3)
    assert leader.notices_of(LeaderReady)


def test_learner_is_promoted_once_it_has_synced():
    members = (*VOTERS[:2], Member('c', 'c1', votes=False))
    entries = (FORMATION, LogEntry(1, 2, encode_members(members)))
    leader = Harness(stored=StoredLog(term=1, entries=entries))
    leader.win_election()
    leader.handle_event(LogSynced, 2, 3)
    leader.acknowledge('b', 3, 3)
    leader.acknowledge('c', 3, 2)
    leader.handle_event(Tick)
    assert leader.replica.last_index == 3
    leader.acknowledge('c', 3, 3)
    leader.handle_event(Tick)
    assert leader.replica.last_index == 4


def test_one_membership_change_at_a_time():
    leader = Harness()
    leader.win_election()
    leader.handle_event(LogSynced, 2, 2)
    leader.acknowledge('c', 2, 2)
    leader.now_s += 0.5
    leader.acknowledge('c', 2, 2)
    leader.now_s += 0.2
    leader.receive('b', MembershipQuery('b', 'b2', ('a', 'b', 'c'), 'q'))
    leader.handle_event(Tick)
    assert leader.replica.last_index == 3
    leader.acknowledge('b', 3, 3, incarnation='b2')
    leader.handle_event(Tick)
    assert leader.replica.last_index == 3
    leader.acknowledge('c', 3, 3)
    leader.handle_event(LogSynced, 2, 3)
    leader.handle_event(Tick)
    assert leader.replica.last_index == 4


def test_no_membership_change_before_the_first_own_entry_commits():
    stored = StoredLog(1, '', 1, 1, FORMATION.command, b'state')
    leader = Harness(stored=stored)
    leader.win_election()
    leader.now_s += 0.5
    leader.acknowledge('c', 2, 0)
    leader.now_s += 0.2
    leader.receive('b', MembershipQuery('b', 'b2', ('a', 'b', 'c'), 'q'))
    leader.handle_event(Tick)
    assert leader.replica.last_index == 2


def empty_disk(name):
    replica = Harness(name, StoredLog())
    query = replica.sent(replica.handle_event(Tick), MembershipQuery)[0]
    return replica, query.query_id


def report_empty(replica, name, query_id, incarnation=None):
    disk = incarnation or f'{name}1'
    report = MembershipReply(name, disk, query_id, b'', ())
    replica.receive(name, report)


def answer_first_query_round():
    bootstrap_voter, query_id = empty_disk('a')
    for name in 'bc':
        report_empty(bootstrap_voter, name, query_id)
    assert bootstrap_voter.replica.last_index == 0
    query, _ = bootstrap_voter.sent(
        bootstrap_voter.handle_event(Tick), MembershipQuery
    )
    assert query.query_id != query_id
    return bootstrap_voter, query.query_id


def test_cell_is_formed_after_two_query_rounds():
    bootstrap_voter, query_id = answer_first_query_round()
    for name in 'bc':
        report_empty(bootstrap_voter, name, query_id)
    assert bootstrap_voter.replica.last_index == 1


def test_cell_is_not_formed_if_a_disk_changed_between_rounds():
    bootstrap_voter, query_id = answer_first_query_round()
    report_empty(bootstrap_voter, 'b', query_id)
    report_empty(bootstrap_voter, 'c', query_id, 'c2')
    assert bootstrap_voter.replica.last_index == 0


def test_only_the_bootstrap_voter_forms_a_cell():
    other, query_id = empty_disk('b')
    for _ in range(3):
        for name in 'ac':
            report_empty(other, name, query_id)
        other.now_s += 1
        query, _ = other.sent(other.handle_event(Tick), MembershipQuery)
        query_id = query.query_id
    assert other.replica.last_index == 0


def test_reply_to_the_bootstrap_voter_starts_a_new_query_round():
    voter, query_id = empty_disk('b')
    voter.receive('a', MembershipQuery('a', 'a2', ('a', 'b', 'c'), 'q'))
    formed_reply = MembershipReply(
        'c', 'c1', query_id, FORMATION.command, VOTERS
    )
    voter.receive('c', formed_reply)
    assert voter.replica.last_index == 0


def test_voter_adopts_the_formed_cell():
    voter, query_id = empty_disk('b')
    formed_reply = MembershipReply(
        'c', 'c1', query_id, FORMATION.command, VOTERS
    )
    voter.receive('c', formed_reply)
    assert voter.replica.last_index == 1


def test_late_vote_saved_event_of_an_older_term_is_ignored():
    candidate = Harness()
    for term in (2, 3):
        candidate.now_s += AFTER_TIMEOUT_S
        candidate.handle_event(Tick)
        candidate.receive('b', VoteReply(term, 'b', 'b1', True, True))
    assert candidate.handle_event(VoteSaved, 2, 'a') == []


def test_leader_lease_counts_from_the_time_of_sending():
    leader = Harness()
    leader.win_election()
    sent_s = leader.now_s
    leader.now_s += 0.55
    leader.acknowledge('b', 2, 2, echo_s=sent_s)
    assert leader.replica.has_leader_lease(sent_s + 0.58)
    assert not leader.replica.has_leader_lease(sent_s + 0.59)


def test_leader_without_quorum_steps_down():
    leader = Harness()
    leader.win_election()
    leader.now_s += 0.61
    leader.handle_event(Tick)
    assert leader.notices_of(LeaderLost) == [LeaderLost(2)]
    assert not leader.replica.leads


def test_only_a_leader_proposes():
    with pytest.raises(ReplicationInvariantError):
        Harness().replica.propose([b'x'])


def test_follower_acknowledges_memory_and_then_the_sync():
    follower = Harness()
    effects = follower.receive('b', append(2, (1, 1), (b'', b'x')))
    (reply,) = follower.sent(effects, AppendReply)
    assert (reply.match_index, reply.synced_index) == (3, 1)
    follower.handle_event(LogSynced, 2, 3)
    (reply,) = follower.sent(follower.handle_event(TurnEnded), AppendReply)
    assert (reply.match_index, reply.synced_index) == (3, 3)


def test_follower_applies_only_entries_that_match_the_leader():
    entries = (FORMATION, LogEntry(1, 2, b'unknown to b'))
    follower = Harness(stored=StoredLog(term=1, entries=entries))
    follower.receive('b', append(3, (1, 1), committed=2))
    (committed,) = follower.notices_of(EntriesCommitted)
    assert [entry.index for entry in committed.entries] == [1]


def test_follower_acknowledges_only_entries_that_match_the_leader():
    entries = (FORMATION, LogEntry(1, 2, b'unknown to b'))
    follower = Harness(stored=StoredLog(term=1, entries=entries))
    effects = follower.receive('b', append(3, (1, 1)))
    (reply,) = follower.sent(effects, AppendReply)
    assert (reply.match_index, reply.synced_index) == (1, 1)


def test_conflicting_entries_are_replaced():
    entries = (FORMATION, LogEntry(1, 2, b'old'), LogEntry(1, 3, b'old'))
    follower = Harness(stored=StoredLog(term=1, entries=entries))
    effects = follower.receive('b', append(2, (1, 1), (b'new',)))
    assert AppendLog((LogEntry(2, 2, b'new'),)) in effects
    (reply,) = follower.sent(effects, AppendReply)
    assert (reply.match_index, reply.synced_index) == (2, 1)


def test_committed_entry_is_never_truncated():
    entries = (FORMATION, LogEntry(1, 2, b'old'))
    follower = Harness(stored=StoredLog(term=1, entries=entries))
    follower.receive('b', append(2, (1, 2), committed=2))
    with pytest.raises(ReplicationInvariantError):
        follower.receive('b', append(3, (2, 2), (b'new',)))


def test_two_leaders_of_a_term_are_detected():
    leader = Harness()
    leader.win_election()
    with pytest.raises(ReplicationInvariantError):
        leader.receive('b', append(2, (1, 1)))


def test_stored_snapshot_is_installed_at_the_start():
    stored = StoredLog(3, '', 2, 7, encode_members(VOTERS), b'state')
    replica = Harness(stored=stored)
    replica.handle_event(TurnEnded)
    assert replica.notices == [SnapshotInstalled(7, b'state')]
    assert replica.replica.last_index == 7


def test_log_with_a_gap_is_refused():
    with pytest.raises(ReplicationInvariantError):
        Harness(
            stored=StoredLog(term=1, entries=(FORMATION, LogEntry(1, 3, b'')))
        )


def test_silence_before_an_earlier_term_does_not_count():
    """Guards against the replacement of a member that answers.

    The replica followed b once, has led itself since, and is elected again.
    """
    settings = ReplicaSettings('a', 'a1', ('a', 'b', 'c'), voters_wanted=3)
    voter = Harness()
    voter.replica = Replica(settings, STORED, 0.0)
    voter.receive('b', append(1, (1, 1)))
    voter.win_election()
    voter.now_s += AFTER_TIMEOUT_S
    voter.handle_event(Tick)
    assert not voter.replica.leads
    voter.now_s += AFTER_TIMEOUT_S
    voter.handle_event(Tick)
    voter.receive('c', VoteReply(3, 'c', 'c1', True, True))
    voter.handle_event(VoteSaved, 3, 'a')
    voter.receive('c', VoteReply(3, 'c', 'c1', True, False))
    assert voter.replica.leads
    leader = voter.replica._components.active_leader()
    contacts = [peer.last_contact_s for peer in leader._peers.values()]
    assert contacts == [voter.now_s, voter.now_s]

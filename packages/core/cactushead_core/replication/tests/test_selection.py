"""A cell whose voters are selected at run time, so maybe named too late."""

from cactushead_core.effects import AppendLog, Send
from cactushead_core.events import (
    LogSynced,
    MessageReceived,
    Peer,
    PeerRole,
    Tick,
)
from cactushead_core.replication import Replica, ReplicaSettings, StoredLog
from cactushead_core.replication.messages import (
    Member,
    MembershipQuery,
    MembershipReply,
)

NAMES = ('a', 'b', 'c')
OTHERS = tuple(Member(name, f'{name}1', votes=True) for name in 'xyz')
QUERY_S = 0.2


class Bootstrap:
    """The bootstrap voter, whose peers are played by the test."""

    def __init__(self):
        settings = ReplicaSettings('a', 'a1', ())
        self.replica = Replica(settings, StoredLog(), 0.0)
        self.now_s = 0.0
        self.formed = False

    def query(self):
        """Returns the query of the next round."""
        self.now_s += QUERY_S
        effects = self.replica.handle(Tick(self.now_s)).effects
        queries = [
            effect.message
            for effect in effects
            if isinstance(effect, Send)
            and isinstance(effect.message, MembershipQuery)
        ]
        return queries[0] if queries else None

    def receive(self, name, message):
        peer = Peer(name, PeerRole.ENTRY, f'{name}/1')
        event = MessageReceived(self.now_s, peer, message)
        effects = self.replica.handle(event).effects
        self.formed |= any(isinstance(one, AppendLog) for one in effects)
        return [one.message for one in effects if isinstance(one, Send)]

    def reply_as_empty(self, query):
        for name in ('b', 'c'):
            reply = MembershipReply(name, f'{name}1', query.query_id, b'', ())
            self.receive(name, reply)


def test_selected_voters_form_a_cell_after_two_rounds():
    voter = Bootstrap()
    voter.replica.select_voters(NAMES)
    voter.reply_as_empty(voter.query())
    assert not voter.formed
    voter.reply_as_empty(voter.query())
    assert voter.formed
    assert voter.replica.voters == NAMES


def test_selection_is_void_once_a_member_is_heard_of():
    """Empty disks formed a second cell beside the one that they heard of."""
    voter = Bootstrap()
    voter.replica.select_voters(NAMES)
    query = voter.query()
    voter.receive('b', MembershipReply('b', 'b1', query.query_id, b'', OTHERS))
    voter.replica.set_membership_contacts(('b',))
    for _ in range(4):
        voter.reply_as_empty(voter.query())
    assert not voter.formed
    assert voter.query().voters == ()


def test_formation_is_reported_only_once_it_is_on_disk():
    """A bootstrap voter could lose a formation that others had adopted.

    Its log was empty after a restart, as if it had never formed a cell.
    """
    voter = Bootstrap()
    voter.replica.select_voters(NAMES)
    for _ in range(2):
        voter.reply_as_empty(voter.query())
    ask = MembershipQuery('b', 'b1', (), 'q')
    assert voter.receive('b', ask) == []
    voter.replica.handle(LogSynced(voter.now_s, 1, 1))
    (reply,) = voter.receive('b', ask)
    assert [member.name for member in reply.members] == list(NAMES)


def test_empty_disk_replies_to_the_bootstrap_voter_alone():
    """Two empty disks that know no voters have nothing to tell each other."""
    settings = ReplicaSettings('b', 'b2', ())
    replica = Replica(settings, StoredLog(), 0.0)

    def ask(*query):
        peer = Peer(query[0], PeerRole.ENTRY, f'{query[0]}/1')
        message = MembershipQuery(*query)
        return replica.handle(MessageReceived(0.1, peer, message)).effects

    assert ask('c', 'c2', (), 'q') == []
    (reply,) = ask('a', 'a1', NAMES, 'q')
    assert reply.message == MembershipReply('b', 'b2', 'q', b'', ())

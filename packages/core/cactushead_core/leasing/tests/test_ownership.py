"""When the ownership of an entry expires at an agent."""

from cactushead_core.events import Peer, PeerRole
from cactushead_core.leasing.ownership import OwnershipTimes

OWNER = Peer('e0', PeerRole.ENTRY, 'e0/1')


# Guards against a message that counts from when it is read, although it had
# arrived while the agent was busy with the turn before.
def test_message_counts_from_the_beginning_of_the_last_turn():
    times = OwnershipTimes(silence_s=1.0, grace_s=0.5)
    times.turn_ended(began_s=1.0)
    times.renew(OWNER, 1.3)
    assert times.find_expiry_s(OWNER) == 2.0
    times.turn_ended(began_s=1.3)
    times.heard(OWNER, 1.4)
    assert times.find_expiry_s(OWNER) == 2.3
    assert dict(times.expire(2.2)) == {}
    assert dict(times.expire(2.3)) == {OWNER: 2.3}

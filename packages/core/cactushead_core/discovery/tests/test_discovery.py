"""Dialling, timeouts of peers and announcement of members."""

import pytest
from cactushead_core.discovery import (
    Dial,
    Discovery,
    DropPeer,
    Endpoint,
    Introduction,
    MemberAddress,
    MemberAddresses,
)
from cactushead_core.effects import Send
from cactushead_core.events import (
    Peer,
    PeerConnected,
    PeerRole,
    Tick,
    TurnEnded,
)
from cactushead_core.leasing import LeasingAgent
from cactushead_core.leasing.settings import LeasingSettings

ENTRY, AGENT = PeerRole.ENTRY, PeerRole.AGENT
SEEDS = (Endpoint('h1', 7), Endpoint('h2', 7))


def member(name, role=ENTRY):
    return MemberAddress(name, role, name.replace('e', 'h'), 7)


def peer(name, role=ENTRY, incarnation=1):
    return Peer(name, role, f'{name}/{incarnation}')


def tick_effects(discovery, now_s, active=()):
    effects = []
    discovery.tick(now_s, effects, lambda: active)
    return effects


def dialled_hosts(discovery, now_s):
    return [
        effect.host
        for effect in tick_effects(discovery, now_s)
        if isinstance(effect, Dial)
    ]


def link(discovery, name, now_s, role=ENTRY):
    effects = []
    discovery.peer_connected(peer(name, role), now_s, effects)
    discovery.introduction_received(Introduction(member(name, role), ()))
    return effects


def test_own_endpoint_among_seeds_is_not_dialled():
    assert dialled_hosts(Discovery(member('e1'), SEEDS), 1.0) == ['h2']


def test_dial_backoff_grows_up_to_limit():
    discovery = Discovery(member('e1'), SEEDS)
    times = [k / 100 for k in range(1, 600)]
    dial_times = [now_s for now_s in times if dialled_hosts(discovery, now_s)]
    pauses = [
        round(b - a, 2)
        for a, b in zip(dial_times, dial_times[1:], strict=False)
    ]
    assert pauses[:3] == [0.1, 0.2, 0.4]
    assert max(pauses) <= 0.81


def test_connected_seed_is_not_dialled():
    discovery = Discovery(member('e1'), SEEDS)
    link(discovery, 'e2', 1.0)
    assert dialled_hosts(discovery, 1.0) == []


@pytest.mark.parametrize(
    ('own', 'role', 'other', 'other_role', 'dials'),
    [
        ('e1', ENTRY, 'e5', ENTRY, True),
        ('e5', ENTRY, 'e1', ENTRY, False),
        ('a1', AGENT, 'e5', ENTRY, True),
        ('e1', ENTRY, 'a1', AGENT, False),
    ],
)
def test_one_side_dials_and_the_other_takes_over(
    own,
    role,
    other,
    other_role,
    dials,
):
    discovery = Discovery(member(own, role), ())
    known = Introduction(member(other, other_role), ())
    discovery.introduction_received(known)
    assert bool(dialled_hosts(discovery, 1.1)) is dials
    assert dialled_hosts(discovery, 3.0)


def test_agents_do_not_dial_agents():
    discovery = Discovery(member('a1', AGENT), ())
    discovery.addresses_received(MemberAddresses((member('a2', AGENT),)))
    assert dialled_hosts(discovery, 9.0) == []


def announced_to(discovery, name, now_s):
    return sorted(
        effect.peer
        for effect in tick_effects(discovery, now_s)
        if isinstance(effect, Send)
        and isinstance(effect.message, MemberAddresses)
        and name in {one.name for one in effect.message.members}
    )


def test_new_entry_is_announced_to_all_peers():
    discovery = Discovery(member('e1'), ())
    link(discovery, 'e2', 1.0)
    link(discovery, 'a1', 1.0, AGENT)
    tick_effects(discovery, 1.1)
    link(discovery, 'e3', 1.2)
    assert announced_to(discovery, 'e3', 1.4) == ['a1', 'e2']


def test_agent_is_announced_to_nobody():
    """Entries need no link to an agent that chose other entries."""
    discovery = Discovery(member('e1'), ())
    link(discovery, 'e2', 1.0)
    link(discovery, 'a2', 1.2, AGENT)
    assert announced_to(discovery, 'a2', 1.4) == []


def test_members_that_arrive_together_are_announced_in_one_message():
    discovery = Discovery(member('e1'), ())
    link(discovery, 'a1', 1.0, AGENT)
    tick_effects(discovery, 1.05)
    messages = []
    for number in range(20):
        link(discovery, f'e{number + 2}', 1.1 + number / 200)
        messages += [
            effect.message
            for effect in tick_effects(discovery, 1.1 + number / 200)
            if isinstance(effect, Send) and effect.peer == 'a1'
        ]
    tick_effects(discovery, 1.5)
    assert len(messages) <= 1


def test_entry_dials_a_seed_behind_a_partition_until_it_answers():
    """Parts of a fleet that restart during a partition join after it."""
    discovery = Discovery(member('e1'), SEEDS)
    link(discovery, 'e5', 1.0)
    times = [1.0 + k / 20 for k in range(400)]
    dials = [
        now_s for now_s in times if 'h2' in dialled_hosts(discovery, now_s)
    ]
    assert dials[-1] > times[-1] - 1.0


def test_only_silent_peer_is_dropped():
    discovery = Discovery(member('e1'), ())
    link(discovery, 'e2', 1.0)
    link(discovery, 'e3', 1.0)
    dropped = []
    for step in range(1, 30):
        now_s = 1.0 + step / 20
        discovery.message_received('e3', now_s)
        effects = tick_effects(discovery, now_s, active=('e2', 'e3'))
        dropped += [one.name for one in effects if isinstance(one, DropPeer)]
    assert dropped == ['e2']


# Guards against a process that takes its own pause for the silence of others,
# whichever event it handles first when it goes on.
@pytest.mark.parametrize('first', [Tick, TurnEnded])
def test_process_drops_no_peers_after_its_own_pause(first):
    discovery = Discovery(member('a1', AGENT), ())
    agent = LeasingAgent(LeasingSettings('a1', 1.0, 1), discovery)
    agent.reduce(PeerConnected(1.0, peer('e2')))
    agent.reduce(Tick(1.05))
    effects = [*agent.reduce(first(5.0)), *agent.reduce(Tick(5.01))]
    assert not any(isinstance(one, DropPeer) for one in effects)


def test_unreachable_member_expires():
    discovery = Discovery(member('e1'), ())
    discovery.addresses_received(MemberAddresses((member('e5'),)))
    assert [one.name for one in discovery.members] == ['e5']
    tick_effects(discovery, 1.0)
    tick_effects(discovery, 62.0)
    assert discovery.members == ()

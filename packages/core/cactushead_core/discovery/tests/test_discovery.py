"""Who is dialled, whose link is cut, and who is told of whom."""

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
from cactushead_core.events import Peer, PeerRole

ENTRY, AGENT = PeerRole.ENTRY, PeerRole.AGENT
SEEDS = (Endpoint('h1', 7), Endpoint('h2', 7))


def member(name, role=ENTRY):
    return MemberAddress(name, role, name.replace('e', 'h'), 7)


def peer(name, role=ENTRY, life=1):
    return Peer(name, role, f'{name}/{life}')


def ticked(discovery, now_s):
    effects = []
    discovery.tick(now_s, effects)
    return effects


def dialled(discovery, now_s):
    return [
        effect.host
        for effect in ticked(discovery, now_s)
        if isinstance(effect, Dial)
    ]


def link(discovery, name, now_s, role=ENTRY):
    effects = []
    discovery.link_up(peer(name, role), now_s, effects)
    discovery.introduction_received(
        Introduction(member(name, role), ()), now_s, effects
    )
    return effects


def test_seeds_are_dialled_but_for_the_process_itself():
    assert dialled(Discovery(member('e1'), SEEDS), 1.0) == ['h2']


def test_pauses_between_attempts_grow_up_to_a_limit():
    discovery = Discovery(member('e1'), SEEDS)
    times = [k / 100 for k in range(1, 600)]
    hits = [now_s for now_s in times if dialled(discovery, now_s)]
    pauses = [round(b - a, 2) for a, b in zip(hits, hits[1:], strict=False)]
    assert pauses[:3] == [0.1, 0.2, 0.4]
    assert max(pauses) <= 0.81


def test_reached_seed_is_not_dialled():
    discovery = Discovery(member('e1'), SEEDS)
    link(discovery, 'e2', 1.0)
    assert dialled(discovery, 1.0) == []


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
    known = MemberAddresses((member(other, other_role),))
    discovery.addresses_received(known, 1.0)
    assert bool(dialled(discovery, 1.1)) is dials
    assert dialled(discovery, 3.0)


def test_agents_keep_no_links_to_agents():
    discovery = Discovery(member('a1', AGENT), ())
    discovery.addresses_received(MemberAddresses((member('a2', AGENT),)), 1.0)
    assert dialled(discovery, 9.0) == []


def test_new_member_is_told_to_those_that_want_a_link_to_it():
    discovery = Discovery(member('e1'), ())
    link(discovery, 'e2', 1.0)
    link(discovery, 'a1', 1.0, AGENT)
    effects = link(discovery, 'a2', 1.0, AGENT)
    told = [
        effect.peer
        for effect in effects
        if isinstance(effect, Send)
        and effect.message == MemberAddresses((member('a2', AGENT),))
    ]
    assert told == ['e2']


def test_silent_peer_is_cut_and_a_heard_one_is_not():
    discovery = Discovery(member('e1'), ())
    link(discovery, 'e2', 1.0)
    link(discovery, 'e3', 1.0)
    cut = []
    for step in range(1, 30):
        now_s = 1.0 + step / 20
        discovery.message_received('e3', now_s)
        effects = ticked(discovery, now_s)
        cut += [one.name for one in effects if isinstance(one, DropPeer)]
    assert cut == ['e2']


def test_process_that_stood_still_cuts_nobody_at_once():
    discovery = Discovery(member('e1'), ())
    link(discovery, 'e2', 1.0)
    ticked(discovery, 1.05)
    effects = ticked(discovery, 5.0)
    assert not any(isinstance(one, DropPeer) for one in effects)


def test_member_that_nobody_reaches_is_forgotten():
    discovery = Discovery(member('e1'), ())
    discovery.addresses_received(MemberAddresses((member('e5'),)), 1.0)
    assert [one.name for one in discovery.members] == ['e5']
    ticked(discovery, 62.0)
    assert discovery.members == ()

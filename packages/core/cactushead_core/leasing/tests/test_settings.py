"""Times of the agents' settings that have to add up."""

import pytest
from cactushead_core.dispatch.settings import DispatchSettings
from cactushead_core.leasing.settings import LeasingSettings

RESENDS_S = (1.0, 1.1, 1.2, 1.3, 2.0, 10.0)


def make_settings(resend_s):
    return LeasingSettings('a0', lease_s=1.0, token=1, resend_s=resend_s)


# Guards against runs of a silent entry that go on when its callers have sent
# their jobs to another one.
@pytest.mark.parametrize('resend_s', [1.1, 1.2, 1.3, 2.0, 10.0])
def test_runs_of_a_silent_owner_end_before_a_resend(resend_s):
    settings = make_settings(resend_s)
    end_s = settings.owner_silence_s + settings.reaction_s + settings.stop_s
    assert end_s <= resend_s
    assert settings.overlap_s == 0


# Guards against the same without a sign of it, and against dropping the runs of
# an entry whose pings are late.
@pytest.mark.parametrize('resend_s', [0.3, 0.9, 1.0])
def test_resend_that_is_too_early_is_reported(resend_s):
    settings = make_settings(resend_s)
    assert settings.owner_silence_s == 0.9
    assert settings.overlap_s == pytest.approx(1.1 - resend_s)


# Guards against an entry that places tasks elsewhere while their agent still
# renews them.
@pytest.mark.parametrize('resend_s', RESENDS_S)
def test_runs_of_a_silent_owner_end_before_it_gives_up_the_agent(resend_s):
    silence_s = make_settings(resend_s).owner_silence_s
    lease_s = 1.0 * 1.02 / 0.98
    assert silence_s + lease_s <= DispatchSettings().agent_removal_s + 1e-9


# Guards against runs that outlast a resend, or that their owner places again,
# because their agent can't stop them and the leases go on.
@pytest.mark.parametrize('resend_s', [1.1, 1.2, 1.3, 2.0, 10.0])
def test_leases_of_a_silent_owner_end_before_its_tasks_start_again(resend_s):
    settings = make_settings(resend_s)
    end_s = settings.owner_silence_s + settings.lease_grace_s
    assert end_s <= resend_s * (1 - settings.drift)
    assert end_s <= DispatchSettings().agent_removal_s
    assert settings.lease_grace_s >= settings.reaction_s

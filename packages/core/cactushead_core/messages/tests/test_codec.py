"""Tests of the encoding of messages."""

import cbor2
import pytest
from cactushead_core.agents import OutcomeStatus, TaskOutcome, UpstreamSpec
from cactushead_core.agents.messages import Heartbeat, Outcomes
from cactushead_core.documents.model import Label
from cactushead_core.errors import FrameError
from cactushead_core.jobs import JobId
from cactushead_core.messages import decode_frame, encode_frame

SPEC = UpstreamSpec('u1', labels=(Label('tier', 'a'),))
HEARTBEAT = Heartbeat('u1', 'i1', 3, 1.5, SPEC, draining=False)
OUTCOME = TaskOutcome(JobId('s', 'k'), 0, 1, OutcomeStatus.SUCCEEDED, b'1')
MESSAGES = [HEARTBEAT, Outcomes('u1', 'i1', (OUTCOME,))]


def test_round_trip():
    assert decode_frame(encode_frame(MESSAGES)) == MESSAGES


def test_round_trip_with_optional_field_none():
    message = Heartbeat('u1', 'i1', 3, 1.5, None, draining=True)
    assert decode_frame(encode_frame([message])) == [message]


@pytest.mark.parametrize(
    'frame',
    [
        b'',
        b'\xff',
        cbor2.dumps(7),
        cbor2.dumps([[]]),
        cbor2.dumps([[9999, 1]]),
        cbor2.dumps([['1']]),
        cbor2.dumps([[7, 1]]),
        cbor2.dumps([[7, 'one', []]]),
        cbor2.dumps([[7, 1, 'ids']]),
        cbor2.dumps([[6, 'u', 'i', [[['s', 'k'], 0, 1, 'lost', b'', '', 0]]]]),
    ],
)
def test_invalid_frame_is_rejected(frame):
    with pytest.raises(FrameError):
        decode_frame(frame)

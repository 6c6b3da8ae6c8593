"""Tests of log lines."""

import json
import logging
import subprocess
import sys

import pytest

from cactushead_node.observability.logs import JsonFormatter, TextFormatter

PROGRAM = """
import logging
from cactushead_node.observability import set_up_logs
from cactushead_node.settings import LogForm, LogSettings
set_up_logs(LogSettings('{level}', LogForm('{form}')))
logging.getLogger('cactushead.peers').info('peers: connected to %s', 'e1')
logging.getLogger('cactushead.agent').debug('tick')
logging.getLogger('websockets.client').info('open')
"""


def run(level, form):
    program = PROGRAM.format(level=level, form=form)
    completed = subprocess.run(
        [sys.executable, '-c', program],
        capture_output=True,
        text=True,
        check=True,
    )
    return completed.stderr.splitlines()


def test_text_lines_have_one_prefix():
    (line,) = run('info', 'text')
    assert line.endswith(' info peers: connected to e1')


def test_json_lines_are_filtered_by_level():
    lines = [json.loads(line) for line in run('debug', 'json')]
    assert [line['part'] for line in lines] == ['peers', 'agent']
    assert lines[0]['message'] == 'connected to e1'
    assert run('error', 'json') == []


@pytest.mark.parametrize('formatter', [TextFormatter(), JsonFormatter()])
def test_traceback_is_included(formatter):
    try:
        raise ValueError('fault')
    except ValueError:
        record = logging.makeLogRecord(
            {'name': 'cactushead.entry', 'exc_info': sys.exc_info()},
        )
    assert 'ValueError: fault' in formatter.format(record)

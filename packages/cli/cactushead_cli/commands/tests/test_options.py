"""Tests of option values."""

import pytest
from cactushead_cli.client import UsageError
from cactushead_cli.commands.options import (
    complete_flags,
    parse_flag,
    parse_number,
    parse_task_inputs,
    parse_task_lines,
)


def test_flags_take_no_word_after_them():
    words = ['submit', '--no-wait', 'sample', '--key', 'json']
    assert complete_flags(words)[1] == '--no-wait=True'


def test_inputs_keep_json_types():
    assert parse_task_inputs(['{"a": true}', 'null']) == ({'a': True}, None)


def test_all_bad_lines_are_named():
    body = b'{"input": 1}\n{"inputs": 1}\n\n{"input": 1, "cores": -1}\nx\n'
    with pytest.raises(UsageError) as caught:
        parse_task_lines('tasks.jsonl', body)
    for place in ('tasks.jsonl:2', 'tasks.jsonl:4', 'tasks.jsonl:5'):
        assert place in str(caught.value)


@pytest.mark.parametrize('text', ['nan', 'inf', 'x', ''])
def test_numbers_are_finite(text):
    with pytest.raises(UsageError):
        parse_number(text)


def test_flags_are_true_or_false():
    assert parse_flag('True') and not parse_flag('False')
    with pytest.raises(UsageError):
        parse_flag('perhaps')

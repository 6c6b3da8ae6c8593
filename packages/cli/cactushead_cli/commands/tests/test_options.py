"""Tests of the parsing of option values."""

import pytest
from cactushead_cli.client import UsageError
from cactushead_cli.commands.options import (
    expand_flags,
    parse_flag,
    parse_number,
    parse_task_inputs,
    parse_task_lines,
)


def test_flags_do_not_use_the_next_argument_as_value():
    arguments = ['submit', '--no-wait', 'sample', '--key', 'json']
    assert expand_flags(arguments)[1] == '--no-wait=True'


def test_inputs_keep_json_types():
    assert parse_task_inputs(['{"a": true}', 'null']) == ({'a': True}, None)


def test_error_names_all_invalid_lines():
    body = b'{"input": 1}\n{"inputs": 1}\n\n{"input": 1, "cores": -1}\nx\n'
    with pytest.raises(UsageError) as caught:
        parse_task_lines('tasks.jsonl', body)
    for place in ('tasks.jsonl:2', 'tasks.jsonl:4', 'tasks.jsonl:5'):
        assert place in str(caught.value)


@pytest.mark.parametrize('text', ['nan', 'inf', 'x', ''])
def test_invalid_number_is_a_usage_error(text):
    with pytest.raises(UsageError):
        parse_number(text)


def test_flags_accept_only_texts_of_true_and_false():
    assert parse_flag('True') and not parse_flag('False')
    with pytest.raises(UsageError):
        parse_flag('perhaps')

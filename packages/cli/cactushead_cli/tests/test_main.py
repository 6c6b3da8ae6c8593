"""Tests of exit codes and messages of the command line."""

import json

import pytest
from cactushead_cli.client import RefusedError
from cactushead_cli.main import run

UNUSED_ADDRESS = 'http://127.0.0.1:9'
DOCUMENT = {
    'service': 'sample',
    'version': 1,
    'team': 'kandy',
    'requests': {'echo': {'repeatable': True}},
}


def document_file(tmp_path, **changes):
    path = tmp_path / 'document.json'
    path.write_text(json.dumps({**DOCUMENT, **changes}))
    return str(path)


def exit_code(*arguments):
    try:
        return run(arguments)
    except SystemExit as caught:
        return caught.code


@pytest.mark.parametrize(
    'arguments',
    [
        ('submit', 'sample'),
        ('submit', 'sample', 'echo'),
        ('submit', 'sample', 'echo', '--input', '{"value": '),
        ('submit', 'sample', 'echo', '--input', '1', '--deadline_s', 'soon'),
        ('submit', 'sample', 'echo', '--input', '1', '--deadlin_s', '5'),
        ('submit', 'sample', 'echo', '--input', '1', '--file', 'x.jsonl'),
        ('status', 'sample', 'k1', 'k2'),
        ('document', 'check', '/nowhere/document.json'),
        ('settings', 'check', 'leader', 'x.json'),
        ('frobnicate',),
        ('document',),
        ('--entry', 'nowhere', 'metrics'),
    ],
)
def test_usage_error_exits_with_2(arguments):
    assert exit_code(*arguments) == 2


def test_unknown_option_is_refused_before_anything_is_sent(monkeypatch):
    sent = []
    monkeypatch.setattr('cactushead_cli.commands.root.submit_job', sent.append)
    arguments = ('submit', 's', 'k', '--input', '1', '--bogus', '2')
    assert exit_code(*arguments) == 2
    assert not sent


def test_help_exits_with_0(capsys):
    assert exit_code('submit', '--help') == 0
    assert 'Idempotency' in capsys.readouterr().err


def test_error_names_the_addresses_if_no_entry_answers(capsys):
    code = exit_code(
        'submit',
        'sample',
        'echo',
        '--input',
        '{"value": true}',
        '--entry',
        f'{UNUSED_ADDRESS},{UNUSED_ADDRESS}',
    )
    captured = capsys.readouterr()
    assert code == 1
    assert captured.err.startswith('idempotency key: ')
    assert captured.err.count(UNUSED_ADDRESS) == 2


def test_errors_are_json_with_the_json_option(capsys):
    assert (
        exit_code('--json', 'status', 's', 'k', '--entry', UNUSED_ADDRESS) == 1
    )
    assert 'no entry answers' in json.loads(capsys.readouterr().out)['error']


def test_document_check_accepts_a_valid_document(tmp_path, capsys):
    assert exit_code('document', 'check', document_file(tmp_path)) == 0
    assert 'service sample version 1' in capsys.readouterr().out


def test_document_check_reports_all_findings(tmp_path, capsys):
    name = document_file(tmp_path, version='x', state='asleep', extra=1)
    assert exit_code('document', 'check', name) == 1
    error_lines = capsys.readouterr().err.splitlines()
    assert len(error_lines) == 4


def test_invalid_document_is_not_submitted(tmp_path, capsys):
    name = document_file(tmp_path, version=0)
    assert exit_code('document', 'submit', name, '--entry', UNUSED_ADDRESS) == 1
    assert 'no entry answers' not in capsys.readouterr().err


@pytest.mark.parametrize(
    ('status', 'not_run', 'note'),
    [
        (429, True, 'nothing was run'),
        (504, False, 'it is not known that nothing was run'),
        (404, False, ''),
    ],
)
def test_refusal_reports_whether_a_task_was_run(
    monkeypatch, capsys, status, not_run, note
):
    async def refuse(*_):
        raise RefusedError(status, 'no', not_run)

    monkeypatch.setattr('cactushead_cli.commands.root.show_status', refuse)
    assert exit_code('status', 's', 'k') == 1
    assert capsys.readouterr().err.splitlines()[1:] == (
        [f'  {note}'] if note else []
    )

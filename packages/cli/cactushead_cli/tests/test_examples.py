"""Tests that the example settings and documents are valid."""

import json
from pathlib import Path

import pytest
from cactushead_cli.main import run

EXAMPLES = Path(__file__).resolve().parents[4] / 'examples'
CORES_BY_SITE = {'pickers': 64, 'consortium': 32}


def example_files(pattern):
    files = sorted(EXAMPLES.glob(pattern))
    return [pytest.param(file, id=file.stem) for file in files]


@pytest.mark.parametrize('file', example_files('*/entries/*.json'))
def test_entry_settings_are_valid(file):
    assert run(['settings', 'check', 'entry', str(file)]) == 0


@pytest.mark.parametrize('file', example_files('*/agents/*.json'))
def test_agent_settings_are_valid(file):
    assert run(['settings', 'check', 'agent', str(file)]) == 0


@pytest.mark.parametrize('file', example_files('*/documents/*.json'))
def test_documents_are_valid(file):
    assert run(['document', 'check', str(file)]) == 0


@pytest.mark.parametrize('file', example_files('*/client.json'))
def test_client_settings_are_valid(file):
    assert run(['settings', 'check', 'client', str(file)]) == 0


def test_local_settings_and_document_are_valid():
    folder = EXAMPLES / 'local'
    assert run(['settings', 'check', 'local', f'{folder}/local.json']) == 0
    assert run(['document', 'check', f'{folder}/sample.json']) == 0


@pytest.mark.parametrize(('site', 'cores'), CORES_BY_SITE.items())
def test_site_has_the_expected_size(site, cores):
    agents = [
        json.loads(file.read_bytes())
        for file in EXAMPLES.glob(f'{site}/agents/*.json')
    ]
    assert len(agents) == 11
    racks = [agent['rack'] for agent in agents]
    assert max(map(racks.count, racks)) == 3
    for agent in agents:
        upstream = agent['upstream']
        assert (upstream['slots'], upstream['connections']) == (8, 64)
        assert upstream['cores'] == cores


@pytest.mark.parametrize('site', CORES_BY_SITE)
def test_one_entry_of_a_site_has_no_data_folder(site):
    entries = [
        json.loads(file.read_bytes())
        for file in EXAMPLES.glob(f'{site}/entries/*.json')
    ]
    without_data_dir = [entry for entry in entries if 'data_dir' not in entry]
    assert (len(entries), len(without_data_dir)) == (4, 1)

"""Generates settings files and commands of a small cluster on loopback."""

import json
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Any

LOOPBACK = '127.0.0.1'
CELL = 'cell-1'
DATA_CENTRES = ('efri-skard', 'midhlid', 'nedri-dalur')
PEER_PORT_OFFSET = 100
UPSTREAM_PORT_OFFSET = 200
SMALL_VOTER_COUNT = 3
LARGE_VOTER_COUNT = 5
UPSTREAM_CONNECTIONS = 64


@dataclass(frozen=True, slots=True)
class ProcessPlan:
    """A process to start.

    Attributes:
        role: `entry`, `agent` or `upstream`.
        name: Name of the process.
        url: Base URL of its HTTP server; empty for an agent.
        command: Command line that starts or restarts it.
    """

    role: str
    name: str
    url: str
    command: tuple[str, ...]


def count_voters(entries: int) -> int:
    """Returns the number of voters among the entries.

    Examples:
        >>> [count_voters(entries) for entries in (1, 2, 3, 4, 5, 9)]
        [1, 1, 3, 3, 5, 5]

    Args:
        entries: Number of entries.
    """
    if entries >= LARGE_VOTER_COUNT:
        return LARGE_VOTER_COUNT
    if entries >= SMALL_VOTER_COUNT:
        return SMALL_VOTER_COUNT
    return 1


class ClusterLayout:
    """Writes the settings of a cluster into a folder."""

    def __init__(
        self,
        folder: Path,
        base_port: int,
        slots: int,
        policy: dict[str, str],
    ) -> None:
        """Creates the folder and its subfolders.

        Args:
            folder: Folder for settings, logs, records of starts and data.
            base_port: Port for callers of the first entry.
            slots: Slots of each upstream.
            policy: Scheduling policies of the entries, by setting.
        """
        self._policy = policy
        self._folder = folder.resolve()
        self._base_port = base_port
        self._slots = slots
        self._voters: list[dict[str, Any]] = []
        for name in ('settings', 'logs', 'starts', 'data'):
            (self._folder / name).mkdir(parents=True, exist_ok=True)

    def plan(self, entries: int, agents: int) -> list[ProcessPlan]:
        """Writes all settings files and returns the processes to start.

        Args:
            entries: Number of entries.
            agents: Number of agents, each with an upstream.

        Returns:
            Upstreams first, then entries, then agents.
        """
        self._voters = [
            {
                'name': _entry_name(number),
                'host': LOOPBACK,
                'port': self._base_port + PEER_PORT_OFFSET + number,
            }
            for number in range(count_voters(entries))
        ]
        return [
            *[self._plan_upstream(number) for number in range(agents)],
            *[self._plan_entry(number) for number in range(entries)],
            *[self._plan_agent(number) for number in range(agents)],
        ]

    def _plan_upstream(self, number: int) -> ProcessPlan:
        name = _upstream_name(number)
        port = self._base_port + UPSTREAM_PORT_OFFSET + number
        script = Path(__file__).resolve().parent / 'sample_upstream.py'
        command = (
            sys.executable,
            str(script),
            f'--port={port}',
            f'--starts={self._folder}/starts/{name}.jsonl',
        )
        url = f'http://{LOOPBACK}:{port}'
        return ProcessPlan('upstream', name, url, command)

    def _plan_entry(self, number: int) -> ProcessPlan:
        name = _entry_name(number)
        port = self._base_port + number
        settings = {
            'name': name,
            'cell': CELL,
            'data_centre': _data_centre(number),
            'callers': {'host': LOOPBACK, 'port': port},
            'peers': {'host': LOOPBACK, 'port': port + PEER_PORT_OFFSET},
            'voters': self._voters,
            'policy': self._policy,
        }
        if number < len(self._voters):
            settings['data_dir'] = f'{self._folder}/data/{name}'
        command = self._make_command('entry', name, settings)
        return ProcessPlan('entry', name, f'http://{LOOPBACK}:{port}', command)

    def _plan_agent(self, number: int) -> ProcessPlan:
        name = _upstream_name(number)
        settings = {
            'name': name,
            'cell': CELL,
            'data_centre': _data_centre(number),
            'rack': f'rack-{number // SMALL_VOTER_COUNT + 1}',
            'upstream': {
                'host': LOOPBACK,
                'port': self._base_port + UPSTREAM_PORT_OFFSET + number,
                'slots': self._slots,
                'connections': UPSTREAM_CONNECTIONS,
            },
            'voters': self._voters,
        }
        command = self._make_command('agent', name, settings)
        return ProcessPlan('agent', name, '', command)

    def _make_command(
        self,
        role: str,
        name: str,
        settings: dict[str, Any],
    ) -> tuple[str, ...]:
        path = self._folder / 'settings' / f'{role}-{name}.json'
        path.write_text(json.dumps(settings, indent=2), encoding='utf-8')
        program = Path(sys.executable).parent / 'cactusheadd'
        log_file = self._folder / 'logs' / f'{role}-{name}.log'
        options = ('--settings', str(path), '--log_file', str(log_file))
        return (str(program), role, *options)


def _entry_name(number: int) -> str:
    return f'entry-{number + 1}'


def _upstream_name(number: int) -> str:
    return f'upstream-{number + 1}'


def _data_centre(number: int) -> str:
    return DATA_CENTRES[number % len(DATA_CENTRES)]

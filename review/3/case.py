"""A heartbeat from another writer arrives at an agent."""

import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'standins'))

from fleet import Fleet, run_case  # noqa: E402
from runner import call, find_twice  # noqa: E402

WORK_MS = 3000
# All times are from one clock.
SLACK_S = 0.005


def play(folder, trouble):
    fleet = Fleet(folder, net=72, entries=3, agents=2, cpu=8000)
    try:
        # The task runs in the rack of the first runner.
        step = {'count': 1, 'cpu': 4000, 'mem-mb': 64,
                'estimate-ms': WORK_MS, 'affinity': 'r0'}
        client = fleet.submit(
            fleet.entries[0], 'c' * 16, [step], {'ms': WORK_MS}, 12.0
        )
        time.sleep(1.0)
        if trouble:
            send_foreign_heartbeat(fleet)
        client.join(14.0)
        time.sleep(1.0)
        return [
            f'TWICE: {one.task} run {one.number} on {name} and run'
            f' {other.number} on {other_name} overlap for {overlap_s:.3f} s'
            for name, one, other_name, other, overlap_s in find_twice(
                fleet.runners, SLACK_S
            )
        ]
    finally:
        fleet.close()


def send_foreign_heartbeat(fleet):
    """Sends a heartbeat with a service that the configuration doesn't name."""
    host = fleet.agents[0]
    body = {
        'service': 'elsewhere',
        'address': f'{host}:{fleet.links_port + 1}',
        'zone': 'z1',
        'version': 'v1',
        'slots': 8,
        'state': 'ready',
        'cold-left-ms': 0,
        'capacity': {'cpu': 8000, 'mem-mb': 16000, 'gpu': 0},
        'labels': ['a', 'r0'],
        'clock-ms': 100,
        'seq-no': 1,
        'born': int(time.time() * 1000),
    }
    status, _ = call(
        (host, fleet.control), 'POST', '/-/instances/i-other/heartbeat', body
    )
    fleet.record(f'heartbeat of i-other (service elsewhere): {status}')


if __name__ == '__main__':
    sys.exit(run_case(play, FOLDER))

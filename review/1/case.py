"""An agent's machine freezes while a task waits in its queue."""

import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'standins'))

from fleet import Fleet, run_case  # noqa: E402
from runner import find_twice  # noqa: E402

# The pages' usual length of a freeze is 5 s.
FREEZE_S = 4.5
WORK_MS = 2000
# All times are from one clock.
SLACK_S = 0.005


def play(folder, trouble):
    fleet = Fleet(folder, net=71, entries=3, agents=3, cpu=8000)
    try:
        # Each task fills a runner. The first job keeps all runners busy; the
        # task of the second one waits at the agent in its rack.
        step = {'cpu': 8000, 'mem-mb': 64, 'estimate-ms': WORK_MS}
        spec = {'ms': WORK_MS}
        entry = fleet.entries[0]
        all_busy = [step | {'count': 3}]
        first = fleet.submit(entry, 'a' * 16, all_busy, spec, 12.0)
        time.sleep(1.3)
        near = [step | {'count': 1, 'affinity': 'r0'}]
        second = fleet.submit(entry, 'b' * 16, near, spec, 12.0)
        time.sleep(0.3)
        frozen = fleet.agents[0]
        if trouble:
            fleet.signal(frozen, signal.SIGSTOP)
        time.sleep(FREEZE_S)
        if trouble:
            fleet.signal(frozen, signal.SIGCONT)
        for client in (first, second):
            client.join(14.0)
        return [
            f'TWICE: {one.task} run {one.number} on {name} and run'
            f' {other.number} on {other_name} overlap for {overlap_s:.3f} s'
            for name, one, other_name, other, overlap_s in find_twice(
                fleet.runners, SLACK_S
            )
        ]
    finally:
        fleet.close()


if __name__ == '__main__':
    sys.exit(run_case(play, FOLDER))

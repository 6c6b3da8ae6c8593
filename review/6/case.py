"""All core processes are killed at once; later two disks are lost in turn."""

import shutil
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / 'standins-2'))

from standins import CONTACT_S, has_trouble, play  # noqa: E402

# `catch-up-s` of the sites, after which a lost machine no longer counts.
CATCH_UP_S = 4.0
READ_BACK_S = 15.0


def lose_disk(fleet, host):
    """Restarts an entry with an empty disk, and waits until it is calm."""
    fleet.kill(host)
    shutil.rmtree(fleet.disk(host))
    time.sleep(1.0)
    fleet.start(host)
    fleet.record.add(f'started {host} with an empty disk')
    time.sleep(CATCH_UP_S + CONTACT_S)


def case(fleet):
    if not fleet.configure(1):
        return 'no first configuration'
    fleet.wait_ready()
    if has_trouble():
        for host in fleet.entries:
            fleet.kill(host)
        time.sleep(0.5)
        for host in fleet.entries:
            fleet.start(host)
        fleet.wait_ready()
        time.sleep(CATCH_UP_S + CONTACT_S)
    acknowledged = 2 if fleet.configure(2) else 1
    for host in fleet.entries[:2]:
        if has_trouble():
            lose_disk(fleet, host)
    version = fleet.read_back(READ_BACK_S)
    fleet.record.add(f'version {acknowledged} acknowledged, {version} read')
    if version < acknowledged:
        return (
            f'CONFIG: version {acknowledged} was acknowledged, {version} read'
        )
    return ''


if __name__ == '__main__':
    sys.exit(play(Path(__file__).parent, case, entries=3, agents=2))

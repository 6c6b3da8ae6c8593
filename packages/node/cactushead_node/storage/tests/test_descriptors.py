"""A voter whose process has no file descriptor left."""

import os
import resource
import threading
import time

from cactushead_core.effects import SaveSnapshot, SaveVote
from cactushead_node.storage import open_storage

WAIT_S = 0.2


def use_up_descriptors():
    """Opens files up to a lowered limit; returns their descriptors."""
    highest = max(int(name) for name in os.listdir('/proc/self/fd'))
    soft_limit, hard_limit = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (highest + 5, hard_limit))
    opened = []
    try:
        while True:
            opened.append(os.open('/dev/null', os.O_RDONLY))
    except OSError:
        return opened, (soft_limit, hard_limit)


# Guards against a voter that ends because connections have used up its
# descriptors while it stores a vote or a snapshot.
def test_writes_wait_for_a_descriptor(tmp_path):
    storage = open_storage(tmp_path)
    writes = (
        SaveVote(3, 'a'),
        SaveSnapshot(2, 5, b'members', b'state'),
        SaveVote(4, 'b'),
    )
    failures = []

    def write():
        try:
            storage._perform(writes)
        except Exception as error:
            failures.append(error)

    opened, limits = use_up_descriptors()
    try:
        writer = threading.Thread(target=write)
        writer.start()
        time.sleep(WAIT_S)
        waits = writer.is_alive()
    finally:
        for descriptor in opened:
            os.close(descriptor)
        resource.setrlimit(resource.RLIMIT_NOFILE, limits)
    writer.join(timeout=10)
    assert (waits, failures) == (True, [])
    storage.close()
    stored = open_storage(tmp_path).load()
    assert (stored.term, stored.voted_for) == (4, 'b')
    assert stored.snapshot_index == 5

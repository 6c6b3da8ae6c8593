"""Tests of the processes' usage."""

import os

from cactushead_cli.bench.cluster import Cluster, ClusterProcess
from cactushead_cli.bench.usage import (
    ProcessUsage,
    parse_stat,
    read_usage,
    used_between,
)


def test_stat_line_with_brackets_in_its_name_is_read():
    fields = ['S', *('0' for _ in range(30))]
    fields[11], fields[12], fields[21] = '150', '50', '256'
    usage = parse_stat('entry', f'7 (a) b) {" ".join(fields)}')
    assert usage.cpu_s == 200 / os.sysconf('SC_CLK_TCK')
    assert usage.resident_mb == 256 * os.sysconf('SC_PAGE_SIZE') / 2**20


def test_usage_of_living_processes_is_read():
    own = ClusterProcess('agent', 'u1', os.getpid(), '', ())
    found = read_usage(Cluster((own,)))
    assert found[os.getpid()].resident_mb > 1
    assert not read_usage(None)


def test_killed_process_is_not_counted():
    before = {
        1: ProcessUsage('entry', 2.0, 50.0),
        2: ProcessUsage('entry', 9.0, 90.0),
    }
    after = {1: ProcessUsage('entry', 2.5, 60.0)}
    (used,) = used_between(before, after)
    assert (used.processes, used.cpu_s, used.largest_mb) == (1, 0.5, 60.0)

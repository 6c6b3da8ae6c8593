"""Tests of the resource usage of processes."""

import os

from cactushead_cli.bench.cluster import Cluster, ClusterProcess
from cactushead_cli.bench.usage import (
    ProcessUsage,
    compute_role_usage,
    parse_stat,
    read_usage,
)


def test_stat_line_with_parentheses_in_the_name_is_parsed():
    fields = ['S', *('0' for _ in range(30))]
    fields[11], fields[12], fields[21] = '150', '50', '256'
    usage = parse_stat('entry', f'7 (a) b) {" ".join(fields)}')
    assert usage.cpu_s == 200 / os.sysconf('SC_CLK_TCK')
    assert usage.resident_mb == 256 * os.sysconf('SC_PAGE_SIZE') / 2**20


def test_usage_of_running_processes_is_read():
    this_process = ClusterProcess('agent', 'u1', os.getpid(), '', ())
    usage = read_usage(Cluster((this_process,)))
    assert usage[os.getpid()].resident_mb > 1
    assert not read_usage(None)


def test_killed_process_is_not_counted():
    before = {
        1: ProcessUsage('entry', 2.0, 50.0),
        2: ProcessUsage('entry', 9.0, 90.0),
    }
    after = {1: ProcessUsage('entry', 2.5, 60.0)}
    (usage,) = compute_role_usage(before, after)
    assert (usage.processes, usage.cpu_s, usage.largest_mb) == (1, 0.5, 60.0)

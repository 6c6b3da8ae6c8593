"""Clients that send without reading, at a local system on loopback.

Explanation:
    Limits are lowered in the settings, so that small crowds pass them. The
    bounds follow from these limits; see `crowd.py`.
"""

import json
import resource
import subprocess
import sys
import time
from functools import partial
from pathlib import Path

import httpcore
import pytest

from .cluster_client import find_base_port, wait_until
from .crowd import (
    BOUND_DESCRIPTORS,
    BOUND_KB,
    LIMITS,
    MB,
    Crowd,
    Usage,
    half_body,
    requests_ahead,
    streams,
    tiny_chunks,
)

HOST = '127.0.0.1'
CONNECTIONS = 100
DESCRIPTORS = 256
PRESS_S = 4.0
JOBS = '/v1/services/sample/jobs'
PROGRAM = Path(sys.executable).parent / 'cactusheadd'
CROWDS = {
    'unknown path': partial(requests_ahead, '/none'),
    'readiness': partial(requests_ahead, '/readyz'),
    'half bodies': partial(half_body, JOBS, 4 * MB),
    'tiny chunks': partial(tiny_chunks, JOBS, MB // 8),
    'streams': partial(streams, '/none'),
    'reset streams': partial(streams, '/none', reset=True),
    'large streams': partial(streams, '/v1/metrics'),
}


def limit_descriptors():
    _, highest = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (DESCRIPTORS, highest))


def call(port, method, path, body=b'', headers=None, *, http2=False):
    """Sends one request; returns its status, 0 on failure."""
    url = f'http://{HOST}:{port}{path}'
    try:
        with httpcore.ConnectionPool(http1=not http2, http2=http2) as pool:
            reply = pool.request(
                method,
                url,
                headers=headers,
                content=body,
                extensions={'timeout': {'connect': 10, 'read': 10}},
            )
            return reply.status
    except (
        httpcore.NetworkError,
        httpcore.ProtocolError,
        httpcore.TimeoutException,
    ):
        return 0


def submit(port, key, *, http2=False):
    job = {
        'caller': 'c',
        'kind': 'echo',
        'deadline_s': 5,
        'tasks': [{'input': 1}],
    }
    headers = {'Idempotency-Key': key}
    return call(
        port, 'POST', JOBS, json.dumps(job).encode(), headers, http2=http2
    )


@pytest.fixture
def local(tmp_path):
    """Yields the process and the port of a local system."""
    port = find_base_port()
    settings = tmp_path / 'settings.json'
    settings.write_text(
        json.dumps(
            {
                'callers': {'host': HOST, 'port': port},
                'data_dir': str(tmp_path / 'data'),
                'connections': LIMITS,
            }
        )
    )
    with (tmp_path / 'log').open('wb') as log:
        process = subprocess.Popen(
            [PROGRAM, 'local', '--settings', settings],
            stdout=log,
            stderr=log,
            preexec_fn=limit_descriptors,
        )
    wait_until(lambda: call(port, 'GET', '/readyz') == 200)
    yield process, port
    process.kill()
    process.wait()


# Guards against an entry that keeps what clients send ahead of replies that
# they don't read, bodies that never end, or streams that may not be answered,
# until its memory is used up.
@pytest.mark.parametrize('crowd', CROWDS)
def test_local_system_stays_within_its_limits(local, crowd):
    process, port = local
    usage = Usage(process.pid)
    pressing = Crowd((HOST, port), CONNECTIONS, CROWDS[crowd])
    time.sleep(PRESS_S)
    statuses = [submit(port, 'k1'), submit(port, 'k2', http2=True)]
    pressing.close()
    statuses += [submit(port, 'k3'), submit(port, 'k4', http2=True)]
    assert process.poll() is None
    held_kb, descriptors = usage.close()
    findings = f'{held_kb} KB, {descriptors} descriptors, {statuses}'
    print(findings, f'sent {pressing.sent_bytes}, closed {pressing.closed}')
    assert held_kb < BOUND_KB, findings
    assert descriptors < BOUND_DESCRIPTORS, findings
    assert statuses == [200] * 4, findings

"""Tests of signals sent to a running process."""

import signal
import subprocess
import sys

import pytest

PROGRAM = """
import sys
import trio
from cactushead_node.runner import run_process
from cactushead_node.settings import LogSettings

class Slow:
    async def run(self, stop):
        print('up', flush=True)
        await stop.wait()
        print('draining', flush=True)
        await trio.to_thread.run_sync(sys.stdin.readline)
        print('drained', flush=True)

run_process(Slow(), LogSettings(), supervised=sys.argv[1] == 'supervised')
"""


@pytest.fixture
def start_process():
    processes = []

    def start(kind):
        process = subprocess.Popen(
            [sys.executable, '-c', PROGRAM, kind],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
            text=True,
        )
        processes.append(process)
        assert process.stdout.readline() == 'up\n'
        return process

    yield start
    for process in processes:
        process.kill()
        process.wait()


def drain(process):
    process.send_signal(signal.SIGTERM)
    assert process.stdout.readline() == 'draining\n'


def test_sighup_does_not_stop_the_process(start_process):
    process = start_process('supervised')
    process.send_signal(signal.SIGHUP)
    drain(process)
    process.stdin.write('go\n')
    process.stdin.flush()
    assert process.stdout.readline() == 'drained\n'
    assert process.wait() == 0


def test_repeated_sigterm_does_not_interrupt_a_supervised_drain(start_process):
    process = start_process('supervised')
    drain(process)
    process.send_signal(signal.SIGTERM)
    process.send_signal(signal.SIGHUP)
    process.stdin.write('go\n')
    process.stdin.flush()
    assert process.stdout.readline() == 'drained\n'
    assert process.wait() == 0


def test_repeated_sigterm_ends_an_unsupervised_process_at_once(start_process):
    process = start_process('by hand')
    drain(process)
    process.send_signal(signal.SIGTERM)
    assert process.wait() == 1

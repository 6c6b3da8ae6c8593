"""Runs the sample upstream as a separate process, for tests and trials."""

import signal
from pathlib import Path

import fire
import trio
from cactushead_node.upstreams.sample import SampleUpstream
from cactushead_node.upstreams.sample_server import serve_sample

LOOPBACK = '127.0.0.1'


def main(port: int, starts: str) -> None:
    """Serves until SIGTERM or SIGINT, then completes the running tasks.

    Args:
        port: TCP port on loopback.
        starts: File to which one JSON line per start is appended.
    """
    trio.run(_serve, SampleUpstream(Path(starts)), port)


async def _serve(upstream: SampleUpstream, port: int) -> None:
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:

        async def wait_for_signal() -> None:
            await anext(aiter(signals))

        await serve_sample(upstream, LOOPBACK, port, wait_for_signal)


if __name__ == '__main__':
    fire.Fire(main)

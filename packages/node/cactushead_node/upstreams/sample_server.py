"""HTTP server of the sample upstream."""

from collections.abc import Awaitable, Callable
from functools import partial

import trio
from hypercorn.config import Config
from hypercorn.trio import serve

from .sample import SampleUpstream

GRACEFUL_TIMEOUT_S = 30.0
KEEP_ALIVE_TIMEOUT_S = 10.0


async def serve_sample(
    upstream: SampleUpstream,
    host: str,
    port: int,
    shutdown: Callable[[], Awaitable[None]],
    *,
    task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serves until `shutdown` returns and running tasks have ended.

    Args:
        upstream: The application.
        host: IP address to listen on.
        port: TCP port, 0 for any.
        shutdown: Returns when the server has to stop.
        task_status: Receives the port when the server listens.
    """
    config = Config()
    config.bind = [f'{host}:{port}']
    config.graceful_timeout = GRACEFUL_TIMEOUT_S
    config.keep_alive_timeout = KEEP_ALIVE_TIMEOUT_S
    config.accesslog = None
    config.errorlog = None
    async with trio.open_nursery() as nursery:
        binds = await nursery.start(
            partial(serve, shutdown_trigger=shutdown),
            upstream,
            config,
        )
        task_status.started(int(binds[0].rsplit(':', 1)[1]))

"""Connections to HTTP servers."""

import httpcore


def make_connection_pool(
    connections: int,
    keepalive_s: float,
) -> httpcore.AsyncConnectionPool:
    """Makes a bounded pool that never repeats a request by itself.

    Args:
        connections: Largest number of connections.
        keepalive_s: How long an idle connection is kept.
    """
    return httpcore.AsyncConnectionPool(
        max_connections=connections,
        max_keepalive_connections=connections,
        keepalive_expiry=keepalive_s,
        retries=0,
        network_backend=httpcore.TrioBackend(),
    )

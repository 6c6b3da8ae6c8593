"""Connections to HTTP servers."""

import httpcore


def make_connection_pool(
    max_connections: int,
    keepalive_s: float,
) -> httpcore.AsyncConnectionPool:
    """Returns a bounded connection pool that does not retry requests.

    Args:
        max_connections: Largest number of open connections.
        keepalive_s: Time after which an idle connection is closed.
    """
    return httpcore.AsyncConnectionPool(
        max_connections=max_connections,
        max_keepalive_connections=max_connections,
        keepalive_expiry=keepalive_s,
        retries=0,
        network_backend=httpcore.TrioBackend(),
    )

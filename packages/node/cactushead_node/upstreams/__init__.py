"""HTTP clients of upstreams, and the sample upstream."""

from .client import UpstreamClient
from .leased import HttpLeasedUpstream
from .target import UpstreamTarget

__all__ = ['HttpLeasedUpstream', 'UpstreamClient', 'UpstreamTarget']

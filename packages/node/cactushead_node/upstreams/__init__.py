"""HTTP client for upstreams and the sample upstream."""

from .client import UpstreamClient
from .target import UpstreamTarget

__all__ = ['UpstreamClient', 'UpstreamTarget']

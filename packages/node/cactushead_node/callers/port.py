"""Re-exports the ports between the HTTP interface and the reducer."""

from ..request_port import RequestEventFactory, RequestPort, StatusPort

__all__ = ['RequestEventFactory', 'RequestPort', 'StatusPort']

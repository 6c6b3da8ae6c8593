"""The ports, under the name that the HTTP interface uses."""

from ..request_port import RequestEventFactory, RequestPort, StatusPort

__all__ = ['RequestEventFactory', 'RequestPort', 'StatusPort']

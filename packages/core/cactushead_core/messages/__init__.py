"""Messages between processes and their wire form."""

from .base import Message, wire_type
from .codec import decode_frame, decode_message, encode_frame, encode_message

__all__ = [
    'Message',
    'decode_frame',
    'decode_message',
    'encode_frame',
    'encode_message',
    'wire_type',
]

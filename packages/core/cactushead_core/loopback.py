"""Local delivery of the messages that a process sends to itself."""

from collections.abc import Iterator

from .effects import Effect, Send
from .messages.base import Message


def extract_self_sends(effects: list[Effect], name: str) -> Iterator[Message]:
    """Removes and yields the messages that a process sends to itself.

    Explanation:
        Effects that the caller appends during the iteration are included.

    Args:
        effects: Effects of one event, in order; modified in place.
        name: Name of the process.

    Yields:
        Each message to the process itself, in order.
    """
    position = 0
    while position < len(effects):
        effect = effects[position]
        if isinstance(effect, Send) and effect.peer == name:
            effects.pop(position)
            yield effect.message
        else:
            position += 1

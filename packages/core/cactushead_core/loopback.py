"""What a process sends to itself stays in the process."""

from collections.abc import Iterator

from .effects import Effect, Send
from .messages.base import Message


def extract_self_sends(effects: list[Effect], name: str) -> Iterator[Message]:
    """Takes the messages that a process sends to itself out of its effects.

    Explanation:
        Effects that the caller adds while it iterates are looked at too.

    Args:
        effects: Effects of one event, in order.
        name: Name of the process.

    Yields:
        Each such message, in order.
    """
    position = 0
    while position < len(effects):
        effect = effects[position]
        if isinstance(effect, Send) and effect.peer == name:
            effects.pop(position)
            yield effect.message
        else:
            position += 1

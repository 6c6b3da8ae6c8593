"""Syntax of names in documents and settings."""

import re

# Names are part of URL paths, task ids and log lines.
NAME_PATTERN = '^[A-Za-z0-9][A-Za-z0-9._-]{0,99}$'
NAME_RULE = (
    'must be 1 to 100 letters, digits, ".", "_" or "-", and begin with a '
    'letter or digit'
)


def is_valid_name(text: str) -> bool:
    """Whether a text is a valid name of a service, label or process.

    Explanation:
        The same syntax holds for upstreams, teams and request kinds.

    Examples:
        >>> is_valid_name('sled-desk'), is_valid_name('sled desk')
        (True, False)
    """
    return re.fullmatch(NAME_PATTERN, text) is not None

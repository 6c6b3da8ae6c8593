"""Strict parsing of JSON inputs that reports all findings with places.

Explanation:
    The pydantic base class is in `schema_base` and is not imported here:
    agents import this package and must not use memory for pydantic.
"""

from .fields import FieldReader
from .strict_json import LoadedJson, child_place, item_place, load_json
from .unreadable import replace_unreadable

__all__ = [
    'FieldReader',
    'LoadedJson',
    'child_place',
    'item_place',
    'load_json',
    'replace_unreadable',
]

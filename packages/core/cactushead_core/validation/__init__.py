"""Strict reading of JSON inputs, with all findings and their places.

Explanation:
    The pydantic base class is in `schema_base` and is not named here: agents
    import this package and have no memory to spare for pydantic.
"""

from .fields import FieldReader
from .strict_json import LoadedJson, child_place, item_place, load_json

__all__ = [
    'FieldReader',
    'LoadedJson',
    'child_place',
    'item_place',
    'load_json',
]

"""The entry's reducer: gateway for callers, voter and leader."""

from .node import EntryNode

__all__ = ['EntryNode']

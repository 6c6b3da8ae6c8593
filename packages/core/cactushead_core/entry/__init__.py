"""Reducer of the entry process: gateway, voter and leader of the cell."""

from .node import EntryNode

__all__ = ['EntryNode']

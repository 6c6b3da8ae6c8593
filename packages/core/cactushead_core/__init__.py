"""Decisions of the cactushead dispatcher: reducers, events and effects."""

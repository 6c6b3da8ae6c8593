"""Core logic of the cactushead dispatcher: reducers, events and effects."""

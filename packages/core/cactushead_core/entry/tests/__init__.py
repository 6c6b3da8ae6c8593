"""Tests of the entry, with a cluster of reducers as fixture."""

"""Tests of the entry on a simulated cluster of reducers."""

"""Tests of the runtime and of whole processes."""

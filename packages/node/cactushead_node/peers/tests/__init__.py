"""Tests of the links; a package, so that messages are registered once."""

"""Tests of hybrid logical clocks."""

"""Tests of logs, metrics and the time line."""

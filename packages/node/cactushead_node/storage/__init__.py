"""Durable files of a voter."""

"""Processes of the cactushead dispatcher: entry, agent and local."""

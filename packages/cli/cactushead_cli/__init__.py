"""Command line of the cactushead dispatcher."""

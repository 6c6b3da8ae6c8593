"""Time stamps of time line events."""

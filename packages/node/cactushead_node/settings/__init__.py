"""Settings of processes."""

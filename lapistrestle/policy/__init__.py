"""The decision module: receives events and the time, issues commands to its host; no I/O."""

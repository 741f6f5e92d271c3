"""The decision module: events and a clock in, commands to the host out; no I/O."""

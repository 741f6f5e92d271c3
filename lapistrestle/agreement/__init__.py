"""The replicated log: elections, terms, commits. Decisions free of I/O; nothing carries them yet."""

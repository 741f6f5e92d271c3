"""A replicated log after Raft: elections, terms, commits. Decisions free of I/O; nothing carries them yet."""

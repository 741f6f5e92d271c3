"""A replicated log by Raft: elections, terms, commits. Free of I/O; no program uses it yet."""

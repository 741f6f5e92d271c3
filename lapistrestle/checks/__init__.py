"""Rule checkers: they read the tape of the sockets alone, never the program's word."""

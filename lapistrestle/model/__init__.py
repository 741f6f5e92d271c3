"""The fleet in simulated time: the same decisions, runners and clients, with messages in place of sockets."""

"""Clients of the processes that an edge or holder subscribes to, and the sequencing of the roster's lists."""

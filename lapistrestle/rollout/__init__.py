"""Versions of a function: which one an RPC meets, and when the new one's share grows or is taken back. No
I/O."""

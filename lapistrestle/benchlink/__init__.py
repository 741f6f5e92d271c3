"""Adapter between a simulator, connected by pipes, and the decision module; it makes no decisions."""

"""Crash-safe storage: a journal, and small files that are replaced atomically."""

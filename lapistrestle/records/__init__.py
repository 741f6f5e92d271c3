"""Structured logging."""

"""Structured logs."""

"""Structured logging by structlog, as text or as JSON lines."""

import sys
from collections.abc import Callable
from typing import Any, TextIO

import structlog


def make_log(json: bool = False, sink: TextIO | None = None, **always: Any) -> Callable[..., None]:
    """Return a function that logs an event with its fields; the fields `always` are in each line."""
    renderer: Any = (
        structlog.processors.JSONRenderer() if json else structlog.dev.ConsoleRenderer(colors=False)
    )
    logger = structlog.wrap_logger(
        structlog.WriteLogger(sink or sys.stderr),
        processors=[structlog.processors.TimeStamper(fmt="iso", utc=True), renderer],
    ).bind(**always)

    def log(event: str, **fields: Any) -> None:
        logger.info(event, **fields)

    return log

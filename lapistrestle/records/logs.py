"""Structured logs on structlog: lines for people, or JSON lines."""

import sys
from collections.abc import Callable
from typing import Any, TextIO

import structlog


def make_log(json: bool = False, sink: TextIO | None = None, **always: Any) -> Callable[..., None]:
    """A log that takes what happened and its figures; `always` is told with each line."""
    last: Any = structlog.processors.JSONRenderer() if json else structlog.dev.ConsoleRenderer(colors=False)
    logger = structlog.wrap_logger(
        structlog.WriteLogger(sink or sys.stderr),
        processors=[structlog.processors.TimeStamper(fmt="iso", utc=True), last],
    ).bind(**always)

    def log(what: str, **figures: Any) -> None:
        logger.info(what, **figures)

    return log

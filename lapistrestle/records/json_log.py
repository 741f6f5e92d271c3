"""JSON log lines without structlog, whose console rendering would take memory."""

import sys
import time
from collections.abc import Callable
from typing import Any, TextIO

import msgspec


def make_log(sink: TextIO | None = None, **always: Any) -> Callable[..., None]:
    """Return a function that logs an event with its fields; the fields `always` are in each line."""
    out = sink or sys.stderr

    def log(event: str, **fields: Any) -> None:
        line = {"event": event, **always, **fields, "timestamp": round(time.time(), 3)}
        out.write(msgspec.json.encode(line, enc_hook=str).decode() + "\n")
        out.flush()

    return log

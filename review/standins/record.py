"""The record of one run: what was sent, answered and run, in the order in which it was seen."""

import json
import time
from pathlib import Path
from typing import Any


class Record:
    """Events with their times, written to a file of JSON lines."""

    def __init__(self, path: Path) -> None:
        self.file = path.open("w", encoding="utf-8")
        self.started_at = time.time()
        self.events: list[dict[str, Any]] = []

    def now(self) -> float:
        """Seconds of Unix time."""
        return time.time()

    def add(self, event: str, **figures: Any) -> dict[str, Any]:
        """Record an event at the current time."""
        entry = {"at": round(time.time() - self.started_at, 4), "event": event} | figures
        self.events.append(entry)
        self.file.write(json.dumps(entry) + "\n")
        return entry

    def of(self, *names: str) -> list[dict[str, Any]]:
        """The events of these names."""
        return [entry for entry in self.events if entry["event"] in names]

    def close(self) -> None:
        """Write out the rest."""
        self.file.close()

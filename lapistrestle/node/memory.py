"""Measures the memory of the process, so that the module bounds what it retains."""

from collections.abc import Callable
from pathlib import Path
from typing import Final, Protocol

from lapistrestle.edge.core import Core
from lapistrestle.ticks import SECOND

MEASURE_INTERVAL: Final = SECOND
STATUS_FILE: Final = Path("/proc/self/status")
COUNTED_FIELDS: Final = ("RssAnon:", "RssShmem:")  # memory that no file backs
BYTES_PER_KB: Final = 1_024
LOGGED_FROM: Final = 1 / 2  # of the limit
LOG_STEP: Final = 1 / 16  # of the limit, by which the memory has grown since the last log line


def used_bytes() -> int | None:
    """Return the memory of this process in bytes; None where the system does not tell."""
    try:
        lines = STATUS_FILE.read_text().splitlines()
    except OSError:
        return None
    sizes = [int(line.split()[1]) for line in lines if line.startswith(COUNTED_FIELDS)]
    return sum(sizes) * BYTES_PER_KB if sizes else None


class MemoryUser(Protocol):
    """What holds memory for clients."""

    def memory_measured(self, used: int) -> None:
        """The process uses so many bytes."""

    def memory_figures(self) -> dict[str, int]:
        """What is held for clients, for the log."""


class MemoryMonitor:
    """Reports the memory of the process to the module and the front, once per `MEASURE_INTERVAL`.

    Without a report each holds the least that it is guaranteed.
    """

    def __init__(
        self,
        core: Core,
        front: MemoryUser,
        measure: Callable[[], int | None] = used_bytes,
    ) -> None:
        self.core = core
        self.front = front
        self.measure = measure
        self.limit = core.settings.memory_limit
        self.next_logged = LOGGED_FROM * self.limit  # bytes from which on the memory is logged

    def start(self) -> None:
        """Report now, and at each interval."""
        self.report(None)

    def report(self, _: object) -> None:
        """Measure, and report."""
        used = self.measure()
        if used is not None:
            self.core.host.memory_measured(used)
            self.front.memory_measured(used)
            self.log_growth(used)
        self.core.after(MEASURE_INTERVAL, self.report, None)

    def log_growth(self, used: int) -> None:
        """Log the memory each time it has grown by `LOG_STEP` of the limit."""
        if self.limit and used >= self.next_logged:
            self.next_logged = used + LOG_STEP * self.limit
            self.core.log("memory", used=used, limit=self.limit, **self.front.memory_figures())

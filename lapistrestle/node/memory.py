"""Measures the memory of the process, so that the module bounds what it retains."""

from collections.abc import Callable
from pathlib import Path
from typing import Final

from lapistrestle.edge.core import Core
from lapistrestle.ticks import SECOND

MEASURE_INTERVAL: Final = SECOND
STATUS_FILE: Final = Path("/proc/self/status")
COUNTED_FIELDS: Final = ("RssAnon:", "RssShmem:")  # memory that no file backs
BYTES_PER_KB: Final = 1_024


def used_bytes() -> int | None:
    """Return the memory of this process in bytes; None where the system does not tell."""
    try:
        lines = STATUS_FILE.read_text().splitlines()
    except OSError:
        return None
    sizes = [int(line.split()[1]) for line in lines if line.startswith(COUNTED_FIELDS)]
    return sum(sizes) * BYTES_PER_KB if sizes else None


class MemoryMonitor:
    """Reports the memory of the process to the module, once per `MEASURE_INTERVAL`.

    Without a report the module retains the least that it is guaranteed.
    """

    def __init__(self, core: Core, measure: Callable[[], int | None] = used_bytes) -> None:
        self.core = core
        self.measure = measure

    def start(self) -> None:
        """Report now, and at each interval."""
        self.report(None)

    def report(self, _: object) -> None:
        """Measure, and report."""
        used = self.measure()
        if used is not None:
            self.core.host.memory_measured(used)
        self.core.after(MEASURE_INTERVAL, self.report, None)

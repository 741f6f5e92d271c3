"""Counters of a holder's process, for operators."""

from dataclasses import dataclass


@dataclass(slots=True)
class HolderCounts:
    """Counters since the start of the process."""

    closed_sessions: int = 0  # closed by the holder
    slow_connections_cut: int = 0
    unreadable_lines: int = 0

    def as_report(self) -> dict[str, int]:
        """The counters under the names that operators' tools read."""
        return {
            "turned away": self.closed_sessions,
            "cut as slow": self.slow_connections_cut,
            "passed over": self.unreadable_lines,
        }

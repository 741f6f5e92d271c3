"""What a holder's program counts for operators."""

from dataclasses import dataclass


@dataclass(slots=True)
class HolderCounts:
    """Counts since the start of the program."""

    closed_sessions: int = 0  # by the holder's decisions
    slow_connections_cut: int = 0
    unreadable_lines: int = 0

    def as_report(self) -> dict[str, int]:
        """Under the names that operators' tools read."""
        return {
            "turned away": self.closed_sessions,
            "cut as slow": self.slow_connections_cut,
            "passed over": self.unreadable_lines,
        }

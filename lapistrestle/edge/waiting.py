"""RPCs of an edge that wait until the prefix of their function is known.

Each is given back once: when the prefix is known or the look-up has failed, or at its own deadline.
"""

from typing import Any

from lapistrestle.hosting.requests import PendingRequest
from lapistrestle.hosting.timers import Timer


class WaitingRequests:
    """They, by function, with their figures. Times are whole tenths of a millisecond on the edge's clock."""

    def __init__(self, edge: Any, lookup_time_out: int) -> None:
        """`lookup_time_out`: within it every look-up ends, with a prefix or without."""
        self.edge, self.lookup_time_out = edge, lookup_time_out
        self.by_function: dict[str, dict[PendingRequest, Timer | None]] = {}  # with its own time-out
        self.counts = dict.fromkeys(("waited", "looked up", "failed", "late"), 0)

    def __len__(self) -> int:
        """How many wait."""
        return sum(len(requests) for requests in self.by_function.values())

    def of(self, function: str) -> list[PendingRequest]:
        """Those of one function, the first to come first."""
        return list(self.by_function.get(function, ()))

    def add(self, pending: PendingRequest) -> None:
        """One waits from now on."""
        self.counts["waited"] += 1
        now, timer = self.edge.clock(), None
        if pending.deadline < now + self.lookup_time_out:
            timer = self.edge.after(max(0, pending.deadline - now), self.late, pending)
        self.by_function.setdefault(pending.function.name, {})[pending] = timer

    def leave(self, pending: PendingRequest) -> bool:
        """It waits no longer, whatever the reason; whether it did."""
        waiting = self.by_function.get(pending.function.name, {})
        if pending not in waiting:
            return False
        timer = waiting.pop(pending)
        if timer is not None:
            timer.stop()
        if not waiting:
            del self.by_function[pending.function.name]
        return True

    def looked_up(self, function: str) -> None:
        """The function's prefix is known, and the module was told it."""
        waiting = self.of(function)
        self.counts["looked up"] += bool(waiting)
        for pending in waiting:
            self.leave(pending)
            self.edge.host.looked_up(pending)

    def failed(self, function: str, retry_after: int) -> None:
        """The function's prefix can't be had now."""
        self.counts["failed"] += 1
        for pending in self.of(function):
            self.deny(pending, retry_after)

    def late(self, pending: PendingRequest) -> None:
        """Its deadline has come."""
        self.counts["late"] += 1
        self.deny(pending, self.edge.settings.max_retry_after)

    def deny(self, pending: PendingRequest, retry_after: int) -> None:
        """Answer that it did not run, and when its client may come back."""
        settings = self.edge.settings
        told = min(retry_after, settings.max_retry_after) if settings.may_retry_after else 0
        self.edge.host.reject(pending, told)

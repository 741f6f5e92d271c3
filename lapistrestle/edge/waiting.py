"""RPCs that wait for the directory lookup of their function's prefix.

A request waits until the prefix is known, the lookup has failed, or its own deadline has passed.
"""

from typing import Any

from lapistrestle.hosting.requests import PendingRequest
from lapistrestle.hosting.timers import Timer


class WaitingRequests:
    """The waiting requests of one edge, by function, with counters. Times are ticks on the edge's clock."""

    def __init__(self, edge: Any, lookup_timeout: int) -> None:
        """`lookup_timeout` is the time within which every lookup ends, in ticks."""
        self.edge, self.lookup_timeout = edge, lookup_timeout
        # each with the timer of its deadline, if that comes before the lookup's timeout
        self.by_function: dict[str, dict[PendingRequest, Timer | None]] = {}
        self.counts = dict.fromkeys(("waited", "looked up", "failed", "late"), 0)

    def __len__(self) -> int:
        """The number of waiting requests."""
        return sum(len(requests) for requests in self.by_function.values())

    def of_function(self, function: str) -> list[PendingRequest]:
        """The waiting requests of one function, oldest first."""
        return list(self.by_function.get(function, ()))

    def add(self, pending: PendingRequest) -> None:
        """Have a request wait, until its deadline at most."""
        self.counts["waited"] += 1
        now, timer = self.edge.clock(), None
        if pending.deadline < now + self.lookup_timeout:
            timer = self.edge.after(max(0, pending.deadline - now), self.deadline_passed, pending)
        self.by_function.setdefault(pending.function.name, {})[pending] = timer

    def leave(self, pending: PendingRequest) -> bool:
        """Remove a request and stop its timer; False if it was not waiting."""
        waiting = self.by_function.get(pending.function.name, {})
        if pending not in waiting:
            return False
        timer = waiting.pop(pending)
        if timer is not None:
            timer.stop()
        if not waiting:
            del self.by_function[pending.function.name]
        return True

    def lookup_succeeded(self, function: str) -> None:
        """The module has received the function's prefix: resume its requests."""
        waiting = self.of_function(function)
        self.counts["looked up"] += bool(waiting)
        for pending in waiting:
            self.leave(pending)
            self.edge.host.lookup_finished(pending)

    def lookup_failed(self, function: str, retry_after: int) -> None:
        """The lookup of the function's prefix failed: reject its requests."""
        self.counts["failed"] += 1
        for pending in self.of_function(function):
            self.reject(pending, retry_after)

    def deadline_passed(self, pending: PendingRequest) -> None:
        """The request's deadline has passed: reject it."""
        self.counts["late"] += 1
        self.reject(pending, self.edge.settings.max_retry_after)

    def reject(self, pending: PendingRequest, retry_after: int) -> None:
        """Reject a request as not run, with `retry_after` in ticks, limited as the settings require."""
        settings = self.edge.settings
        allowed_retry_after = min(retry_after, settings.max_retry_after) if settings.may_retry_after else 0
        self.edge.host.reject(pending, allowed_retry_after)

"""Lookups that calls wait for: each ends exactly once, with a prefix, a failure or a time-out."""

from collections.abc import Callable, Container

from lapistrestle.directory.connection_state import CachedFunction
from lapistrestle.directory.effects import LookupFailed, WatcherEffect, WatcherSettings
from lapistrestle.directory.jitter import Jitter
from lapistrestle.ticks import NEVER


class Lookups:
    """The pending lookups, oldest first. Further calls of a function share its lookup."""

    def __init__(
        self, settings: WatcherSettings, jitter: Jitter, emit: Callable[[WatcherEffect], None]
    ) -> None:
        """`jitter` spreads the retries of failed lookups."""
        self.settings = settings
        self.jitter = jitter
        self.emit = emit
        self.pending = dict[str, CachedFunction]()  # by name

    def start(self, function: CachedFunction, now: int) -> None:
        """Start a lookup of this function; fails at once if too many are pending."""
        if len(self.pending) >= self.settings.max_pending:
            self.fail(function.name, self.settings.lookup_timeout)
            return
        function.lookup_deadline = now + self.settings.lookup_timeout
        self.pending[function.name] = function

    def fail(self, name: str, retry_after: int) -> None:
        """Fail a lookup; it may be retried after at least `retry_after` ticks, plus jitter."""
        function = self.pending.pop(name, None)
        if function is not None:
            function.lookup_deadline = NEVER
        spread = self.jitter.below(self.settings.lookup_timeout)
        self.emit(LookupFailed(name, max(self.settings.initial_backoff, retry_after) + spread))

    def fail_pending(self, names: Container[str], retry_after: int) -> None:
        """Fail the pending lookups of these functions."""
        for name in [name for name in self.pending if name in names]:
            self.fail(name, retry_after)

    def finish(self, function: CachedFunction) -> bool:
        """Finish a lookup successfully. Returns whether one was pending."""
        function.lookup_deadline = NEVER
        return self.pending.pop(function.name, None) is not None

    def cancel(self, function: CachedFunction) -> None:
        """Fail the lookup of a function that is no longer watched."""
        if self.pending.pop(function.name, None) is not None:
            self.emit(LookupFailed(function.name, self.settings.lookup_timeout))

    def expire(self, now: int) -> None:
        """Fail the lookups that have timed out."""
        for name, function in list(self.pending.items()):
            if function.lookup_deadline > now:
                break
            self.fail(name, self.settings.lookup_timeout)

    def next_due(self) -> int:
        """When the oldest lookup times out; `NEVER` if none is pending."""
        return next(iter(self.pending.values())).lookup_deadline if self.pending else NEVER

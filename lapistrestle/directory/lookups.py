"""Look-ups that calls wait for: each ends in a prefix, a failure or its time-out, and in one of them only."""

from collections.abc import Callable, Container

from lapistrestle.directory.connection_state import CachedFunction
from lapistrestle.directory.effects import LookupFailed, WatcherEffect, WatcherSettings
from lapistrestle.directory.jitter import Jitter
from lapistrestle.ticks import NEVER


class Lookups:
    """The look-ups without an end so far, the oldest first. Further calls of a function share its look-up."""

    def __init__(
        self, settings: WatcherSettings, jitter: Jitter, emit: Callable[[WatcherEffect], None]
    ) -> None:
        """`jitter` spreads the times after which failed look-ups may be repeated."""
        self.settings = settings
        self.jitter = jitter
        self.emit = emit
        self.pending = dict[str, CachedFunction]()  # by name

    def begin(self, function: CachedFunction, now: int) -> None:
        """Let a call wait for this function's prefix; fails at once where too many wait already."""
        if len(self.pending) >= self.settings.most_pending:
            self.fail(function.name, self.settings.lookup_time_out)
            return
        function.deadline = now + self.settings.lookup_time_out
        self.pending[function.name] = function

    def fail(self, name: str, retry_after: int) -> None:
        """End a look-up without a prefix; it may be repeated after `retry_after` ticks, with jitter."""
        function = self.pending.pop(name, None)
        if function is not None:
            function.deadline = NEVER
        spread = self.jitter.below(self.settings.lookup_time_out)
        self.emit(LookupFailed(name, max(self.settings.first_pause, retry_after) + spread))

    def fail_pending(self, names: Container[str], retry_after: int) -> None:
        """Fail the look-ups of these functions, as far as calls wait for them."""
        for name in [name for name in self.pending if name in names]:
            self.fail(name, retry_after)

    def finish(self, function: CachedFunction) -> bool:
        """End a look-up because the prefix is there; whether calls waited for it."""
        function.deadline = NEVER
        return self.pending.pop(function.name, None) is not None

    def abandon(self, function: CachedFunction) -> None:
        """Fail the look-up of a function that is no longer watched."""
        if self.pending.pop(function.name, None) is not None:
            self.emit(LookupFailed(function.name, self.settings.lookup_time_out))

    def expire(self, now: int) -> None:
        """Fail the look-ups whose time-out is over."""
        for name, function in list(self.pending.items()):
            if function.deadline > now:
                break
            self.fail(name, self.settings.lookup_time_out)

    def next_due(self) -> int:
        """When the oldest look-up times out; `NEVER` where none waits."""
        return next(iter(self.pending.values())).deadline if self.pending else NEVER

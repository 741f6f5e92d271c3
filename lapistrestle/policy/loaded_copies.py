"""Copies of functions on workers: those that were observed, and those that may be presumed."""

from typing import Final

from lapistrestle.policy.clock import Clock
from lapistrestle.policy.entities import FunctionReplica, Worker
from lapistrestle.policy.estimates import LONG_TIME_CONSTANT, DecayingMean
from lapistrestle.policy.settings import Settings
from lapistrestle.policy.throughput import Throughput
from lapistrestle.policy.types import Outcome

# Typical load times after "not loaded" until a copy is presumed again, as another dispatcher loads it
# meanwhile (docs/design.md, "front ends of their own clients").
PRESUMED_AFTER_LOADS: Final = 2


class LoadedCopies:
    """Believed number of copies per replica, and the typical load time."""

    def __init__(self, settings: Settings, clock: Clock, throughput: Throughput) -> None:
        self.settings = settings
        self.clock = clock
        self.throughput = throughput
        self.load_time = DecayingMean(LONG_TIME_CONSTANT)  # duration of own preloads, in ticks
        # Outcomes that mean a restart, which leaves no copies. If workers report "not loaded", a reset alone
        # does not.
        self.restart_outcomes = {Outcome.UNREACHABLE}
        if not settings.reports_not_loaded:
            self.restart_outcomes.add(Outcome.RESET)

    def believed_count(self, replica: FunctionReplica) -> int:
        """Return the number of copies believed to be loaded: none after the idle timeout or a restart."""
        idle_timeout = self.settings.idle_timeout * self.throughput.time_constant_factor
        idle = not replica.in_flight and self.clock.now - replica.confirmed_at > idle_timeout
        if idle or replica.confirmed_at <= replica.worker.emptied_at:
            replica.copies = 0
        return replica.copies

    def presumed_loaded(self, replica: FunctionReplica) -> bool:
        """Whether a copy may be loaded because other dispatchers, which share the order, use it. Presumed
        only by a dispatcher that uses each worker rarely, and only if a wrong guess costs no more than "not
        loaded".
        """
        if self.throughput.time_constant_factor <= 1 or not self.settings.reports_not_loaded:
            return False
        load_time = replica.function.load_time or self.load_time.read(self.settings.idle_timeout / 2)
        absent_since = max(replica.not_loaded_at, replica.worker.emptied_at)
        return self.clock.now - absent_since > PRESUMED_AFTER_LOADS * load_time

    def record_restart(self, worker: Worker, outcome: Outcome) -> None:
        """Mark all copies on the worker as gone, if the outcome means a restart."""
        if outcome in self.restart_outcomes:
            worker.emptied_at = self.clock.now

    def record_answer(self, replica: FunctionReplica) -> None:
        """Record that a copy answered."""
        replica.copies = max(self.believed_count(replica), 1)
        replica.confirmed_at = self.clock.now

    def record_not_loaded(self, replica: FunctionReplica) -> None:
        """Record the answer "not loaded"."""
        replica.copies = 0
        replica.not_loaded_at = self.clock.now

    def set_count(self, replica: FunctionReplica, count: int) -> None:
        """Record the number of copies that the worker reported."""
        replica.copies = count
        replica.confirmed_at = self.clock.now
        if not count:
            replica.not_loaded_at = self.clock.now

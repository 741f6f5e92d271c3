"""Which copies of functions stand on which workers: what was seen, and what may be presumed."""

from typing import Final

from lapistrestle.policy.clock import Clock
from lapistrestle.policy.entities import FunctionReplica, Worker
from lapistrestle.policy.estimates import LONG_TIME_CONSTANT, DecayingMean
from lapistrestle.policy.settings import Settings
from lapistrestle.policy.throughput import Throughput
from lapistrestle.policy.types import Outcome

# Usual load times after "not loaded" until a copy is presumed again: others load it meanwhile
# (docs/design.md, "front ends of their own clients").
PRESUMED_AFTER_LOADS: Final = 2


class LoadedCopies:
    """Beliefs in copies, and how long loads take."""

    def __init__(self, settings: Settings, clock: Clock, throughput: Throughput) -> None:
        self.settings = settings
        self.clock = clock
        self.throughput = throughput
        self.load_time = DecayingMean(LONG_TIME_CONSTANT)  # ticks that own preloads took
        # What shows that nothing stands there any more; where "not loaded" would tell, one reset is no
        # restart.
        self.restart_outcomes = {Outcome.UNREACHABLE}
        if not settings.reports_not_loaded:
            self.restart_outcomes.add(Outcome.RESET)

    def believed(self, replica: FunctionReplica) -> int:
        """Return the copies believed to stand: an idle one goes after the idle timeout, a restart leaves
        none.
        """
        idle_timeout = self.settings.idle_timeout * self.throughput.memory_factor
        idle = not replica.in_flight and self.clock.now - replica.confirmed_at > idle_timeout
        if idle or replica.confirmed_at <= replica.worker.emptied_at:
            replica.copies = 0
        return replica.copies

    def presumed_loaded(self, replica: FunctionReplica) -> bool:
        """Whether others, who share the order, may keep a copy warm: a guess, made by a dispatcher that meets
        workers seldom, and only where a wrong one costs no more than "not loaded".
        """
        if self.throughput.memory_factor <= 1 or not self.settings.reports_not_loaded:
            return False
        load_time = replica.function.load or self.load_time.read(self.settings.idle_timeout / 2)
        absent_since = max(replica.not_loaded_at, replica.worker.emptied_at)
        return self.clock.now - absent_since > PRESUMED_AFTER_LOADS * load_time

    def record_restart(self, worker: Worker, outcome: Outcome) -> None:
        """Believe that nothing stands on the worker any more, if the outcome says so."""
        if outcome in self.restart_outcomes:
            worker.emptied_at = self.clock.now

    def record_answer(self, replica: FunctionReplica) -> None:
        """A copy answered."""
        replica.copies = max(self.believed(replica), 1)
        replica.confirmed_at = self.clock.now

    def record_not_loaded(self, replica: FunctionReplica) -> None:
        """None was found there."""
        replica.copies = 0
        replica.not_loaded_at = self.clock.now

    def set_count(self, replica: FunctionReplica, count: int) -> None:
        """The worker told how many stand."""
        replica.copies = count
        replica.confirmed_at = self.clock.now
        if not count:
            replica.not_loaded_at = self.clock.now

"""Health of workers: outlier ejection by outcomes, detection of silent workers, and readmission.

Not part of the FnSched paper; reasons in docs/design.md, "Added".
"""

from typing import Final

from lapistrestle.policy.clock import Clock
from lapistrestle.policy.endpoints import INITIAL_EJECTION_BACKOFF, Endpoints
from lapistrestle.policy.entities import Worker
from lapistrestle.policy.estimates import LONG_TIME_CONSTANT, SHORT_TIME_CONSTANT, DecayingSum
from lapistrestle.policy.latency_estimates import LatencyEstimates
from lapistrestle.policy.ports import Host
from lapistrestle.ticks import SECOND

# A worker is ejected if the share of bad outcomes among its recent ones exceeds this, and `FLEET_FACTOR`
# times the share over all workers, so that a fault common to all workers ejects none.
MIN_BAD_SHARE: Final = 0.35
FLEET_FACTOR: Final = 2
MIN_BAD_OUTCOMES: Final = 1.5  # recent bad outcomes required, so that one is not enough
MAX_EJECTION_BACKOFF: Final = 8 * SECOND  # maximum ticks between trials of an ejected worker
SILENCE_FACTOR: Final = 4  # a worker is silent after so many typical latencies without an answer
# Ticks after which a silent worker without own attempts in flight is tried again, and an ejected one whose
# trials are assigned to other dispatchers. An earlier trial is likely to fail: the benchmark score lost 0.03
# if it followed at once, 0.04 after 2 s, 0.015 after 10 s.
SILENCE_RETRY_DELAY: Final = LONG_TIME_CONSTANT


class Health:
    """Ejects workers by comparing own outcomes there with those at all workers."""

    def __init__(self, host: Host, clock: Clock, endpoints: Endpoints, latency: LatencyEstimates) -> None:
        self.host = host
        self.clock = clock
        self.endpoints = endpoints
        self.latency = latency
        self.good_outcomes = DecayingSum(SHORT_TIME_CONSTANT, clock.now)  # at all workers
        self.bad_outcomes = DecayingSum(SHORT_TIME_CONSTANT, clock.now)
        self.ejected_count = 0  # among serving workers
        self.is_count_stale = False  # whether the endpoint list has changed since they were counted

    def endpoints_changed(self) -> None:
        """Have the ejected workers counted again when that is next needed. With a partial list this is
        skipped if there were none, to keep the cost of a change proportional to the workers in it.
        """
        if not self.endpoints.partial or self.ejected_count:
            self.is_count_stale = True

    def update_ejected_count(self) -> None:
        """Count the ejected workers, if the endpoint list has changed."""
        if self.is_count_stale:
            self.is_count_stale = False
            self.ejected_count = sum([worker.ejected for worker in self.endpoints.serving])

    def ejections_apply(self) -> bool:
        """Whether ejections apply: not if most workers are ejected, as the rest would be overloaded."""
        self.update_ejected_count()
        return 2 * self.ejected_count <= len(self.endpoints.serving)

    def record(self, worker: Worker, bad: bool, sent: int) -> None:
        """Record the outcome of an attempt or preload that was sent at tick `sent`. Errors, timeouts, lost
        connections and slow answers all count as bad.
        """
        now = self.clock.now
        for outcomes in (worker, self):
            (outcomes.bad_outcomes if bad else outcomes.good_outcomes).add(now, 1)
        if not worker.ejected:
            self.update_ejection(worker)
        elif sent >= worker.next_trial_at and bad:
            worker.ejection_backoff = min(2 * worker.ejection_backoff, MAX_EJECTION_BACKOFF)
            worker.next_trial_at = now + worker.ejection_backoff
        elif sent >= worker.next_trial_at:
            self.readmit(worker)

    def update_ejection(self, worker: Worker) -> None:
        """Eject the worker if its share of bad outcomes is high, also relative to all workers."""
        now = self.clock.now
        bad = worker.bad_outcomes.read(now)
        good = worker.good_outcomes.read(now)
        all_bad = self.bad_outcomes.read(now)
        all_good = self.good_outcomes.read(now)
        share = max(MIN_BAD_SHARE, FLEET_FACTOR * all_bad / max(all_bad + all_good, 1))
        worker.next_trial_at = now + worker.ejection_backoff
        if bad > MIN_BAD_OUTCOMES and bad > share * (bad + good):
            self.update_ejected_count()
            worker.ejected = True
            self.ejected_count += 1
            self.host.log(f"{worker.name} ejected: {bad:.1f} bad, {good:.1f} good, fleet {all_bad:.0f}")

    def healthy(self, worker: Worker) -> bool:
        """Whether the worker may get requests: it is neither ejected nor silent, or it is due for a trial and
        has no attempt in flight.
        """
        now = self.clock.now
        silence = 0 if worker.silent_since is None else now - worker.silent_since
        if silence and silence > SILENCE_FACTOR * self.slowest_typical():
            # without an attempt in flight it has no way to answer
            return silence > SILENCE_RETRY_DELAY and not worker.in_flight
        if not worker.ejected:
            return True
        wait = 0 if worker.trials_assigned_here else SILENCE_RETRY_DELAY
        return now >= worker.next_trial_at + wait and not worker.in_flight

    def slowest_typical(self) -> float:
        """Return the typical latency of the slowest method, in ticks."""
        return max(self.latency.typical(method) for method in range(len(self.latency.by_method)))

    def on_peer_verdict(self, worker: Worker, at: int) -> None:
        """Another dispatcher found the worker healthy at tick `at`: readmit it if it was ejected before that.
        Saves trials by every dispatcher; wrong if it fails for this dispatcher alone.
        """
        ejected_at = worker.next_trial_at - worker.ejection_backoff
        if worker.ejected and at > ejected_at:
            self.readmit(worker)

    def readmit(self, worker: Worker) -> None:
        """End the ejection of the worker."""
        self.update_ejected_count()
        worker.ejected = False
        worker.ejection_backoff = INITIAL_EJECTION_BACKOFF
        worker.bad_outcomes = DecayingSum(SHORT_TIME_CONSTANT)
        self.ejected_count -= 1
        self.host.log(f"{worker.name} healthy again")

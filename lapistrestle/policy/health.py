"""Health of workers: outlier ejection by outcomes, silence, and the way back.

The design page says nothing of it; docs/design.md, "Added", has the reasons.
"""

from typing import Final

from lapistrestle.policy.clock import Clock
from lapistrestle.policy.endpoints import INITIAL_EJECTION_BACKOFF, Endpoints
from lapistrestle.policy.entities import Worker
from lapistrestle.policy.estimates import LONG_TIME_CONSTANT, SHORT_TIME_CONSTANT, DecayingSum
from lapistrestle.policy.latency_estimates import LatencyEstimates
from lapistrestle.policy.ports import Host
from lapistrestle.ticks import SECOND

# A worker is ejected when bad outcomes are more than this part of its recent ones, and `FLEET_FACTOR`
# times the part in all. Guards against ejecting for faults that all workers share.
MIN_BAD_SHARE: Final = 0.35
FLEET_FACTOR: Final = 2
MIN_BAD_OUTCOMES: Final = 1.5  # recent bad outcomes at the least: guards against a verdict on one
MAX_EJECTION_BACKOFF: Final = 8 * SECOND  # between trials of an ejected worker; the pause doubles up to this
SILENCE_FACTOR: Final = 4  # usual latencies without a word after which a worker is passed over
# Ticks after which a silent worker with nothing of ours under way is tried again, as is an ejected one that
# others should have tried. Tried at once it cost 0.03 of a quick figure, after 2 s 0.04, after 10 s 0.015.
SILENCE_RETRY_DELAY: Final = LONG_TIME_CONSTANT


class Health:
    """Verdicts on workers, by own outcomes there against those everywhere."""

    def __init__(self, host: Host, clock: Clock, endpoints: Endpoints, latency: LatencyEstimates) -> None:
        self.host = host
        self.clock = clock
        self.endpoints = endpoints
        self.latency = latency
        self.good_outcomes = DecayingSum(SHORT_TIME_CONSTANT, clock.now)  # at all workers
        self.bad_outcomes = DecayingSum(SHORT_TIME_CONSTANT, clock.now)
        self.ejected_count = 0  # among those that serve

    def endpoints_changed(self) -> None:
        """Count the ejected anew; of a part of the fleet only where there were any, as a change is to
        cost what it names.
        """
        if not self.endpoints.partial or self.ejected_count:
            self.ejected_count = sum(worker.ejected for worker in self.endpoints.serving)

    def trusted(self) -> bool:
        """Whether verdicts count: where most workers look bad, the rest must not be crowded."""
        return 2 * self.ejected_count <= len(self.endpoints.serving)

    def record(self, worker: Worker, harm: bool, sent: int) -> None:
        """Count an outcome of what was sent at that tick. Errors, silence, lost connections and slowness are
        one symptom: own outcomes there go badly.
        """
        now = self.clock.now
        for outcomes in (worker, self):
            (outcomes.bad_outcomes if harm else outcomes.good_outcomes).add(now, 1)
        if not worker.ejected:
            self.judge(worker)
        elif sent >= worker.next_trial_at and harm:
            worker.ejection_backoff = min(2 * worker.ejection_backoff, MAX_EJECTION_BACKOFF)
            worker.next_trial_at = now + worker.ejection_backoff
        elif sent >= worker.next_trial_at:
            self.readmit(worker)

    def judge(self, worker: Worker) -> None:
        """Eject the worker if its recent outcomes are bad, also against those of all."""
        now = self.clock.now
        bad = worker.bad_outcomes.read(now)
        good = worker.good_outcomes.read(now)
        all_bad = self.bad_outcomes.read(now)
        all_good = self.good_outcomes.read(now)
        share = max(MIN_BAD_SHARE, FLEET_FACTOR * all_bad / max(all_bad + all_good, 1))
        worker.ejected = bad > MIN_BAD_OUTCOMES and bad > share * (bad + good)
        worker.next_trial_at = now + worker.ejection_backoff
        if worker.ejected:
            self.ejected_count += 1
            self.host.log(f"{worker.name} ejected: {bad:.1f} bad, {good:.1f} good, fleet {all_bad:.0f}")

    def healthy(self, worker: Worker) -> bool:
        """Whether the worker is neither ejected nor silent; such a one gets one attempt at a time once its
        pause is over.
        """
        now = self.clock.now
        silence = 0 if worker.silent_since is None else now - worker.silent_since
        if silence and silence > SILENCE_FACTOR * self.slowest_typical():
            # with nothing under way it could not break its silence
            return silence > SILENCE_RETRY_DELAY and not worker.in_flight
        if not worker.ejected:
            return True
        wait = 0 if worker.tried_here else SILENCE_RETRY_DELAY
        return now >= worker.next_trial_at + wait and not worker.in_flight

    def slowest_typical(self) -> float:
        """Return the usual latency of the slowest method, in ticks."""
        return max(self.latency.typical(method) for method in range(len(self.latency.by_method)))

    def on_peer_verdict(self, worker: Worker, at: int) -> None:
        """Others found it healthy, at that tick. Guards against crowds of trials; harms where it fails for us
        alone.
        """
        ejected_at = worker.next_trial_at - worker.ejection_backoff
        if worker.ejected and at > ejected_at:
            self.readmit(worker)

    def readmit(self, worker: Worker) -> None:
        """Use the worker again as any other."""
        worker.ejected = False
        worker.ejection_backoff = INITIAL_EJECTION_BACKOFF
        worker.bad_outcomes = DecayingSum(SHORT_TIME_CONSTANT)
        self.ejected_count -= 1
        self.host.log(f"{worker.name} healthy again")

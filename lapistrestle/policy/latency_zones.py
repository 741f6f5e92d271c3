"""Latency zones: how near a function on a worker, and the worker as a whole, are to the latency bound.

Kept of the paper (section III-B 1): the last 30 latencies of a function on a worker against its isolated
latency, in quarters up to the bound; Unsafe lasts 2 s and comes back as Warning. Changed: docs/design.md,
"Changed".
"""

from typing import Final

from lapistrestle.policy.clock import Clock
from lapistrestle.policy.endpoints import Endpoints
from lapistrestle.policy.entities import Function, FunctionReplica, Worker
from lapistrestle.policy.latency_estimates import LatencyEstimates
from lapistrestle.policy.throughput import Throughput
from lapistrestle.policy.types import Zone
from lapistrestle.ticks import SECOND

WINDOW_SIZE: Final = 30  # latencies in a window; design page
UNSAFE_BACKOFF: Final = 2 * SECOND  # ticks that Unsafe lasts; design page
# A young window is averaged with so many isolated latencies. Guards against a verdict on one heavy request.
PRIOR_SAMPLES: Final = 2
ZONE_COUNT: Final = 4  # zones between the isolated latency and the bound; paper
MIN_SIZE: Final = 1e-9  # guards against a division by nothing that serves


class LatencyZones:
    """Zones by own latencies, by late attempts and by what is under way."""

    def __init__(
        self, clock: Clock, endpoints: Endpoints, latency: LatencyEstimates, throughput: Throughput
    ) -> None:
        self.clock = clock
        self.endpoints = endpoints
        self.latency = latency
        self.throughput = throughput

    def add_latency(self, replica: FunctionReplica, latency: int) -> None:
        """Add a latency, relative to the work hint, and judge by the window that ends with it."""
        replica.window = [*replica.window[1 - WINDOW_SIZE :], latency]
        self.judge(replica)

    def judge(self, replica: FunctionReplica) -> None:
        """Set the zone of the function on the worker by its window; Unsafe stays until its backoff is
        over.
        """
        if replica.zone is Zone.UNSAFE:
            return
        function = replica.function
        prior = PRIOR_SAMPLES * self.latency.isolated(function)
        average = (sum(replica.window) + prior) / (len(replica.window) + PRIOR_SAMPLES)
        replica.zone = self.zone_of(function, average)
        replica.backoff_until = self.clock.now + int(UNSAFE_BACKOFF * self.throughput.memory_factor)

    def zone_of(self, function: Function, average: float) -> Zone:
        """Return the quarter between the isolated latency and the bound that an average latency lies in."""
        isolated = self.latency.isolated(function)
        span = self.latency.bound(function) - isolated
        return Zone(max(1, min(ZONE_COUNT, 1 + int(ZONE_COUNT * (average - isolated) / span))))

    def zone(self, replica: FunctionReplica) -> Zone:
        """Return the worse zone of the function on the worker and of the worker as a whole; Unsafe while that
        turns requests away.
        """
        now = self.clock.now
        if replica.zone is Zone.UNSAFE and now >= replica.backoff_until:
            replica.zone = Zone.WARNING
            replica.window.clear()
        if now < replica.worker.rejecting_until:
            return Zone.UNSAFE
        return max(replica.zone, self.worker_zone(replica))

    def worker_zone(self, replica: FunctionReplica) -> Zone:
        """Return the zone by all functions' latencies there and by what is under way. Guards against
        windows of one function, which fill too slowly; harms where one function is slow.
        """
        worker = replica.worker
        isolated = self.latency.isolated(replica.function)
        total, total_isolated = worker.latency_sums(self.clock.now, WINDOW_SIZE)
        average = isolated * (total + PRIOR_SAMPLES * isolated) / (total_isolated + PRIOR_SAMPLES * isolated)
        return self.zone_of(replica.function, max(average, self.queueing_time(worker)))

    def queueing_time(self, worker: Worker) -> float:
        """Return for how many ticks one more request would wait there: ours under way, over the pace at which
        they come back, or one by one.
        """
        served = self.throughput.rate(worker.ok_answers)
        share = self.throughput.ok_rate() * worker.size / max(self.endpoints.size, MIN_SIZE)
        rate = max(served, share)
        under_way = len(worker.warm_attempts)
        if not under_way:
            return 0.0
        return under_way / max(rate, under_way / worker.warm_expected_latency)

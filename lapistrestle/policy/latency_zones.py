"""Latency zones: distance of a replica, and of its worker as a whole, to the latency bound.

As in the FnSched paper (section III-B 1), the average of the last 30 latencies of a replica is placed in one
of four equal ranges between the isolated latency and the bound; Unsafe lasts 2 s and is followed by Warning.
Differences from the paper: docs/design.md, "Changed".
"""

from typing import Final

from lapistrestle.policy.clock import Clock
from lapistrestle.policy.endpoints import Endpoints
from lapistrestle.policy.entities import Function, FunctionReplica, Worker
from lapistrestle.policy.latency_estimates import LatencyEstimates
from lapistrestle.policy.throughput import Throughput
from lapistrestle.policy.types import Zone
from lapistrestle.ticks import SECOND

WINDOW_SIZE: Final = 30  # latencies in a window
UNSAFE_BACKOFF: Final = 2 * SECOND  # ticks that Unsafe lasts
# Isolated latencies that are averaged with a window, so that one heavy request does not determine the zone.
PRIOR_SAMPLES: Final = 2
ZONE_COUNT: Final = 4  # zones between the isolated latency and the bound
MIN_SIZE: Final = 1e-9  # avoids a division by 0 if no worker serves


class LatencyZones:
    """Zones from own latencies, late attempts and the number in flight."""

    def __init__(
        self, clock: Clock, endpoints: Endpoints, latency: LatencyEstimates, throughput: Throughput
    ) -> None:
        self.clock = clock
        self.endpoints = endpoints
        self.latency = latency
        self.throughput = throughput

    def add_latency(self, replica: FunctionReplica, latency: int) -> None:
        """Add a latency, relative to the work hint, and update the zone."""
        replica.window = [*replica.window[1 - WINDOW_SIZE :], latency]
        self.update_zone(replica)

    def update_zone(self, replica: FunctionReplica) -> None:
        """Set the zone of the replica from its window; Unsafe stays until its backoff has passed."""
        if replica.zone is Zone.UNSAFE:
            return
        function = replica.function
        prior = PRIOR_SAMPLES * self.latency.isolated(function)
        average = (sum(replica.window) + prior) / (len(replica.window) + PRIOR_SAMPLES)
        replica.zone = self.zone_of(function, average)
        replica.backoff_until = self.clock.now + int(UNSAFE_BACKOFF * self.throughput.time_constant_factor)

    def zone_of(self, function: Function, average: float) -> Zone:
        """Return the zone of an average latency."""
        isolated = self.latency.isolated(function)
        span = self.latency.bound(function) - isolated
        return Zone(max(1, min(ZONE_COUNT, 1 + int(ZONE_COUNT * (average - isolated) / span))))

    def zone(self, replica: FunctionReplica) -> Zone:
        """Return the worse of the zones of the replica and of its worker; Unsafe while the worker rejects
        requests.
        """
        now = self.clock.now
        if replica.zone is Zone.UNSAFE and now >= replica.backoff_until:
            replica.zone = Zone.WARNING
            replica.window.clear()
        if now < replica.worker.rejecting_until:
            return Zone.UNSAFE
        return max(replica.zone, self.worker_zone(replica))

    def worker_zone(self, replica: FunctionReplica) -> Zone:
        """Return the zone of the whole worker, from the latencies of all functions and the number in flight.
        The window of a single function fills too slowly to show overload; on the other hand, one slow
        function affects the others.
        """
        worker = replica.worker
        isolated = self.latency.isolated(replica.function)
        latency_sum, isolated_sum = worker.latency_sums(self.clock.now, WINDOW_SIZE)
        average = (
            isolated * (latency_sum + PRIOR_SAMPLES * isolated) / (isolated_sum + PRIOR_SAMPLES * isolated)
        )
        return self.zone_of(replica.function, max(average, self.queueing_time(worker)))

    def queueing_time(self, worker: Worker) -> float:
        """Return the expected wait of one more request in ticks: own attempts in flight over the rate of
        answers, or over the rate if they ran one after the other, if that is higher.
        """
        served = self.throughput.rate(worker.ok_answers)
        share = self.throughput.ok_rate() * worker.size / max(self.endpoints.size, MIN_SIZE)
        rate = max(served, share)
        in_flight = len(worker.warm_attempts)
        if not in_flight:
            return 0.0
        return in_flight / max(rate, in_flight / worker.warm_expected_latency)

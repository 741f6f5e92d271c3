"""Slow start: a worker that has just booted gets no more than it can take, from all dispatchers together.

The budget and why it holds are derived in docs/design.md ("Cold workers", "Why the cold budget holds").
It is the operators' rule 4.
"""

from typing import Final

from lapistrestle.policy.clock import Clock
from lapistrestle.policy.endpoints import Endpoints
from lapistrestle.policy.entities import Request, Worker
from lapistrestle.policy.estimates import LONG_TIME_CONSTANT, DecayingSum
from lapistrestle.policy.fleet_guidance import RegionCapacity
from lapistrestle.policy.latency_estimates import LatencyEstimates
from lapistrestle.policy.settings import Settings
from lapistrestle.policy.throughput import Throughput
from lapistrestle.ticks import SECOND

# Part of the budget that is used. Guards against sizes and shares of the traffic that are only roughly known,
# and against a region that grows by two fifths within a second (docs/design.md).
BUDGET_FRACTION: Final = 0.7
# Turns that move on by this part of a round come back evenly spread: the golden section.
GOLDEN_RATIO_STEP: Final = 0.618
WARM_SIZE_MAX_AGE: Final = (
    SECOND // 10
)  # ticks for which a sum of warm sizes is used again; guards the cost of it
MIN_SIZE: Final = 1e-9  # guards against a division by nothing that serves


class SlowStart:
    """How warm workers are, and what each in slow start may be sent."""

    def __init__(
        self,
        settings: Settings,
        clock: Clock,
        endpoints: Endpoints,
        region: RegionCapacity | None,
        latency: LatencyEstimates,
        throughput: Throughput,
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.endpoints = endpoints
        self.region = region
        self.latency = latency
        self.throughput = throughput
        self.ok_work = DecayingSum(
            LONG_TIME_CONSTANT, clock.now
        )  # ok answers by work, over the warm size of their time
        self.cached_warm_size = 0.0
        self.warm_size_updated_at = -1  # when `own_warm_size` was last renewed; below 0: it must be

    def endpoints_changed(self) -> None:
        """Sum the sizes anew when next asked."""
        self.warm_size_updated_at = -1

    def share(self, worker: Worker, before: int = 0) -> float:
        """Return the part of its capacity that a worker has at the least, or had that many ticks `before`."""
        if worker.booted is None or not self.settings.slow_start_duration:
            return 1.0
        least = self.settings.slow_start_share
        age = max(0, self.clock.now - before - worker.booted)
        return min(1.0, least + (1 - least) * age / self.settings.slow_start_duration)

    def warm_size(self) -> float:
        """Return the size of all that serve, each weighed by its share; `SIZE_AGE` old at most."""
        if self.region is not None:
            return float(self.region.warm_size)
        now = self.clock.now
        if self.warm_size_updated_at < 0 or now - self.warm_size_updated_at > WARM_SIZE_MAX_AGE:
            self.warm_size_updated_at = now
            self.cached_warm_size = sum(w.size * self.share(w) for w in self.endpoints.serving)
        return float(self.cached_warm_size)

    def add_ok(self, method: int) -> None:
        """Count an ok answer, over the warm size that serves as it comes."""
        work = self.latency.typical(method)
        self.ok_work.add(self.clock.now, work / max(self.warm_size(), MIN_SIZE))

    def weight(self, request: Request) -> float:
        """Return the ticks of work that the request puts on a worker in slow start. Where its function's own
        latencies say more than its method's usual, those count: guards against heavy functions; harms where
        one is merely slow.
        """
        function = request.function
        windows = []
        if function.isolated_latency is None:
            windows = [replica.window for replica in function.replicas.values() if replica.window]
        young = min((sum(window) / len(window) for window in windows), default=0.0)
        isolated = max(self.latency.isolated(function), young)
        return max(self.latency.typical(request.method), isolated * request.scale)

    def add_sent(self, worker: Worker, request: Request) -> None:
        """Count what was sent to a worker, while that is in slow start."""
        if self.share(worker) < 1:
            worker.sent_in_slow_start.append((self.clock.now, self.weight(request)))

    def has_capacity(self, worker: Worker, request: Request) -> bool:
        """Whether the request may go to the worker.

        What all dispatchers get answered for each unit of warm size is within capacity, and each keeps to
        its part of that as the window began. Parts below one request go by turns; one mean request in all
        is sent at the least. A dispatcher that restarted forgot what it sent, so it has no budget for a
        window.
        """
        if self.share(worker) >= 1:
            return True
        now = self.clock.now
        window = self.settings.overload_window
        remembers = max(worker.booted or 0, now - window) >= self.clock.started
        rate = self.throughput.rate(self.ok_work) * worker.size * remembers
        most = self.settings.overload_factor * self.share(worker, window) * window * rate
        weight = self.weight(request)
        typical = self.latency.typical(request.method)
        dispatchers = self.settings.dispatcher_count
        own_place = (self.settings.instance_index + 0.5) / dispatchers
        turn = (own_place + GOLDEN_RATIO_STEP * (now // max(1, window) + worker.ring_position)) % 1
        sent = worker.weight_sent_since(now - window)
        return sent + weight * turn <= max(BUDGET_FRACTION * most, typical / dispatchers)

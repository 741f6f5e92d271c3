"""Slow start: a worker that has just started is not sent more than it can take, by all dispatchers together.

The work answered per unit of warm size estimates what a unit of size can take; a worker in slow start gets a
budget from that and from the fraction of its capacity that it has. Derivation: docs/design.md ("Cold
workers", "Why the cold budget holds").
"""

from typing import Final

from lapistrestle.policy.clock import Clock
from lapistrestle.policy.endpoints import Endpoints
from lapistrestle.policy.entities import Request, Worker
from lapistrestle.policy.estimates import LONG_TIME_CONSTANT, DecayingSum
from lapistrestle.policy.fleet_guidance import RegionCapacity
from lapistrestle.policy.latency_estimates import LatencyEstimates
from lapistrestle.policy.ports import Host
from lapistrestle.policy.settings import Settings
from lapistrestle.policy.throughput import Throughput
from lapistrestle.ticks import SECOND

# Fraction of the budget that is used. The margin covers inaccurate sizes and traffic shares, and a region
# that grows by two fifths within a second, as 0.7 is about 1 / 1.4 (docs/design.md).
BUDGET_FRACTION: Final = 0.7
# Advancing by the golden ratio conjugate in each window spreads the turns of a dispatcher evenly.
GOLDEN_RATIO_STEP: Final = 0.618
WARM_SIZE_MAX_AGE: Final = SECOND // 10  # ticks for which a sum of warm sizes is reused, to limit its cost
MIN_SIZE: Final = 1e-9  # avoids a division by 0 if no worker serves


class SlowStart:
    """Capacity of workers in slow start, and what each may be sent."""

    def __init__(
        self,
        host: Host,
        settings: Settings,
        clock: Clock,
        endpoints: Endpoints,
        region: RegionCapacity | None,
        latency: LatencyEstimates,
        throughput: Throughput,
    ) -> None:
        self.host = host
        self.settings = settings
        self.clock = clock
        self.endpoints = endpoints
        self.region = region
        self.latency = latency
        self.throughput = throughput
        # ticks of work of ok answers, each divided by the warm size when it was received
        self.ok_work = DecayingSum(LONG_TIME_CONSTANT, clock.now)
        self.cached_warm_size = 0.0
        self.warm_size_updated_at = -1  # tick; below 0: `cached_warm_size` is out of date

    def endpoints_changed(self) -> None:
        """Invalidate the sum of warm sizes."""
        self.warm_size_updated_at = -1

    def share(self, worker: Worker) -> float:
        """Return the fraction of its capacity that a worker has at least."""
        return self.share_since(self.latest_start(worker))

    def share_since(self, started_at: int | None, before: int = 0) -> float:
        """Return the fraction of its capacity that a worker which started at a tick has now, or had `before`
        ticks ago; None: it started long ago.
        """
        if started_at is None or not self.settings.slow_start_duration:
            return 1.0
        min_share = self.settings.slow_start_share
        age = max(0, self.clock.now - before - started_at)
        return min(1.0, min_share + (1 - min_share) * age / self.settings.slow_start_duration)

    def latest_start(self, worker: Worker) -> int | None:
        """Return the latest tick at which the worker may have started; None: long ago.

        While the endpoint list may lack changes, it may lack the restart of any worker. A process that the
        host is still connected to has not restarted since; without a connection the worker may have started
        just now.
        """
        gap = self.host.endpoint_gap()
        if gap is None:
            return worker.booted_at
        connected_since = self.host.connected_since(worker)
        unlisted = self.clock.now if connected_since is None else connected_since
        # connected before the gap: at most a start that the list tells late, and that is not notified yet
        is_as_listed = unlisted <= gap.complete_until and self.clock.now < gap.notified_at
        if is_as_listed or self.bears_full_load(unlisted):
            return worker.booted_at
        return unlisted if worker.booted_at is None else max(worker.booted_at, unlisted)

    def bears_full_load(self, started_at: int) -> bool:
        """Whether a worker that started at a tick bears what it bears when warm."""
        share = self.share_since(started_at, self.settings.overload_window)
        return self.settings.overload_factor * share >= 1

    def warm_size(self) -> float:
        """Return the total size of serving workers, weighted by `share`; up to `WARM_SIZE_MAX_AGE` old.

        The size of a worker is its relative capacity; `share` is the fraction of it that it has in slow
        start.
        """
        if self.region is not None:
            return float(self.region.warm_size)
        now = self.clock.now
        if self.warm_size_updated_at < 0 or now - self.warm_size_updated_at > WARM_SIZE_MAX_AGE:
            self.warm_size_updated_at = now
            self.cached_warm_size = self.sum_warm_sizes()
        return float(self.cached_warm_size)

    def sum_warm_sizes(self) -> float:
        """Sum the sizes of serving workers, weighted by `share`, which is 1 for most of them. Restarts that
        are not listed are left out: too large a sum only makes budgets smaller.
        """
        duration = self.settings.slow_start_duration
        surely_warm = self.clock.now - 2 * duration  # after `duration` alone it may be rounded to less than 1
        return sum(
            [
                worker.size
                if not duration or worker.booted_at is None or worker.booted_at <= surely_warm
                else worker.size * self.share_since(worker.booted_at)
                for worker in self.endpoints.serving
            ]
        )

    def add_ok(self, method: int) -> None:
        """Record the work of an ok answer, divided by the current warm size."""
        work = self.latency.typical(method)
        self.ok_work.add(self.clock.now, work / max(self.warm_size(), MIN_SIZE))

    def weight(self, request: Request) -> float:
        """Return the ticks of work that the request puts on a worker in slow start. If the latencies of its
        function exceed the typical latency of its method, they count, as the function may be heavy. This
        overestimates the work of a function that is slow without using the worker.
        """
        function = request.function
        # while the isolated latency is not known: the least busy replica, whose latencies are closest to it
        windows = []
        if function.isolated_latency is None:
            windows = [replica.window for replica in function.replicas.values() if replica.window]
        window_average = min((sum(window) / len(window) for window in windows), default=0.0)
        isolated = max(self.latency.isolated(function), window_average)
        return max(self.latency.typical(request.method), isolated * request.scale)

    def add_sent(self, worker: Worker, request: Request) -> None:
        """Record a request sent to a worker, if that is in slow start."""
        if self.share(worker) < 1:
            worker.sent_in_slow_start.append((self.clock.now, self.weight(request)))

    def has_capacity(self, worker: Worker, request: Request) -> bool:
        """Whether the request may go to the worker.

        The work that all dispatchers get answered per unit of warm size is within the capacity of a worker.
        Each dispatcher limits what it sends in a window to its share of that, as of the start of the window.
        If the share is less than one request, dispatchers take turns; all together send at least one typical
        request. A dispatcher that restarted does not know what it sent before, so it has no budget for one
        window.
        """
        started_at = self.latest_start(worker)
        if self.share_since(started_at) >= 1:
            return True
        now = self.clock.now
        window = self.settings.overload_window
        # no budget if this dispatcher started after the worker and within the window: it may have sent before
        knows_sent = max(worker.booted_at or 0, now - window) >= self.clock.started
        rate = self.throughput.rate(self.ok_work) * worker.size * knows_sent
        budget = self.settings.overload_factor * self.share_since(started_at, window) * window * rate
        weight = self.weight(request)
        typical = self.latency.typical(request.method)
        # The turn is the fraction of the weight that must fit. It is a different one, from 0 to 1, at each
        # dispatcher, and changes with the window and the worker, so that each dispatcher is the first to send
        # now and then.
        dispatchers = self.settings.dispatcher_count
        phase = (self.settings.instance_index + 0.5) / dispatchers
        turn = (phase + GOLDEN_RATIO_STEP * (now // max(1, window) + worker.ring_position)) % 1
        sent = worker.weight_sent_since(now - window)
        return sent + weight * turn <= max(BUDGET_FRACTION * budget, typical / dispatchers)

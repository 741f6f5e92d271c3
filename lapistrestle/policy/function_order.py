"""The order in which a function's requests try the workers: the same at all dispatchers, for each
function its own.

Kept of the paper (FnSched's indexing) and of the design page: one shared ring, walked from a place that
belongs to the function. Changed: see docs/design.md, "Changed" and "many front ends".
"""

from collections.abc import Iterable
from hashlib import blake2b
from math import log
from typing import Final
from zlib import crc32

from lapistrestle.policy.clock import Clock
from lapistrestle.policy.endpoints import Endpoints
from lapistrestle.policy.entities import Function, Request, Worker
from lapistrestle.policy.estimates import LONG_TIME_CONSTANT, DecayingSum
from lapistrestle.policy.fleet_guidance import RegionCapacity
from lapistrestle.policy.latency_estimates import LatencyEstimates
from lapistrestle.policy.settings import Settings
from lapistrestle.policy.types import EndpointState

# Part of a worker's even share of all demand that one function is to fill before the order goes on. Guards
# against homes crowded by dispatchers that do not see each other (docs/design.md, "many front ends").
TARGET_FILL: Final = 0.35
SCORE_BYTES: Final = 4  # of the hash that a mark is drawn from: even enough for thousands of workers
MIN_SIZE: Final = 1e-9  # guards against a division by a listed size of 0


class FunctionOrders:
    """Orders of functions, and the demand by which dispatchers share them out."""

    def __init__(
        self,
        settings: Settings,
        clock: Clock,
        endpoints: Endpoints,
        capacity: RegionCapacity | Endpoints,
        latency: LatencyEstimates,
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.endpoints = endpoints
        self.capacity = capacity
        self.latency = latency
        self.demand = DecayingSum(LONG_TIME_CONSTANT, clock.now)  # of all own requests, weighed by work

    def add_demand(self, request: Request, memory_factor: float) -> None:
        """Count the request's work, remembered `memory_factor` times as long as usual."""
        time_constant = int(LONG_TIME_CONSTANT * memory_factor)
        request.function.demand.time_constant = time_constant
        self.demand.time_constant = time_constant
        for demand in (request.function.demand, self.demand):
            demand.add(self.clock.now, self.latency.typical(request.method) * request.scale)

    def function_order(self, function: Function) -> list[Worker]:
        """Return the shared order, from the worker that the function's hash marks; a new worker takes
        over its own functions alone. Where a directory tells a prefix, that is the order.
        """
        if function.prefix is not None:
            return function.prefix
        if function.order_version != self.endpoints.version:
            self.renew(function)
        return function.order

    def renew(self, function: Function) -> None:
        """Draw the order from the ring. Where dispatchers outnumber workers it goes on at the next mark,
        not at the next in the ring: guards against neighbours that a crowded home fills unseen; harms
        where a longer run along the ring would share copies.
        """
        ring = self.endpoints.ring
        for worker in ring:
            if worker not in function.scores:
                function.scores[worker] = self.score(function, worker)
        marked = sorted(ring, key=function.scores.__getitem__)
        if self.settings.dispatcher_count > len(marked):
            function.order = marked
        else:
            first = ring.index(marked[0]) if marked else 0
            function.order = ring[first:] + ring[:first]
        function.order_version = self.endpoints.version

    def score(self, function: Function, worker: Worker) -> float:
        """Return a draw that is the same everywhere, lower for larger workers; the lowest is the home."""
        digest = blake2b(f"{function.name} {worker.name}".encode(), digest_size=SCORE_BYTES).digest()
        draw = -log((int.from_bytes(digest) + 1) / (2**32 + 1))
        return draw if self.settings.size_is_live else draw / max(worker.size, MIN_SIZE)

    def order_from_own_offset(self, function: Function) -> list[Worker]:
        """Return the shared order from where this dispatcher's part of the demand begins, `FILL` of an even
        share a worker. Guards against homes crowded by others; harms where dispatchers are asked unlike.
        """
        order = self.function_order(function)
        dispatchers = self.settings.dispatcher_count
        place = (self.settings.instance_index + crc32(function.name.encode())) % dispatchers
        part = place / dispatchers
        now = self.clock.now
        certain = max(0.0, function.demand.read(now) - self.latency.typical(function.method))
        skip = part * certain / max(self.demand.read(now), 1) * self.capacity.size / TARGET_FILL
        if function.prefix is not None:
            # no longer prefix for this alone: own share is no measure of the region's
            serving = sum(w.size for w in order if w.listing is EndpointState.SERVING)
            skip = min(skip, part * serving)
        for index, worker in enumerate(order):
            if worker.listing is EndpointState.SERVING:
                skip -= worker.size
            if skip < 0:
                return order[index:] + order[:index]
        return order

    def forget(self, functions: Iterable[Function], workers: Iterable[Worker]) -> None:
        """Drop the marks of workers that are gone."""
        if self.endpoints.partial:
            return  # no order is drawn here
        for function in functions:
            for worker in workers:
                function.scores.pop(worker, None)

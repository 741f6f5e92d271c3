"""The order in which the requests of a function try the workers: the same at all dispatchers, but specific to
the function.

As in the FnSched paper, there is one shared ring, and each function starts at its own position. The first
worker of an order is the home of the function. Differences from the paper: docs/design.md, "Changed" and
"many front ends".
"""

from array import array
from bisect import bisect_left
from hashlib import blake2b
from math import log
from typing import Final
from zlib import crc32

from lapistrestle.policy.clock import Clock
from lapistrestle.policy.endpoints import Endpoints, ring_order
from lapistrestle.policy.entities import Function, Request, Worker
from lapistrestle.policy.estimates import LONG_TIME_CONSTANT, DecayingSum
from lapistrestle.policy.fleet_guidance import RegionCapacity
from lapistrestle.policy.latency_estimates import LatencyEstimates
from lapistrestle.policy.settings import Settings
from lapistrestle.policy.types import EndpointState

# Fraction of a worker's even share of all demand that one function may fill before the order moves on.
# Prevents dispatchers that do not see each other from overloading a home (docs/design.md, "many front ends").
TARGET_FILL: Final = 0.35
SCORE_BYTES: Final = 4  # of the hash that a score is computed from: even enough for thousands of workers
MIN_SIZE: Final = 1e-9  # avoids a division by a listed size of 0


class FunctionOrders:
    """Orders of functions, and the demand that determines where a dispatcher enters them."""

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
        self.demand = DecayingSum(LONG_TIME_CONSTANT, clock.now)  # of all own requests, weighted by work

    def add_demand(self, request: Request, time_constant_factor: float) -> None:
        """Add the request's work to the demand; `time_constant_factor` multiplies the time constant."""
        time_constant = int(LONG_TIME_CONSTANT * time_constant_factor)
        request.function.demand.time_constant = time_constant
        self.demand.time_constant = time_constant
        for demand in (request.function.demand, self.demand):
            demand.add(self.clock.now, self.latency.typical(request.method) * request.scale)

    def function_order(self, function: Function) -> list[Worker]:
        """Return the shared order, starting at the worker with the lowest score; a new worker takes over only
        the functions for which it has the lowest. If a directory returned a prefix, that is the order.
        """
        if function.prefix is not None:
            return function.prefix
        if function.order_version != self.endpoints.version:
            self.rebuild(function)
        if function.home is None:
            return function.sorted_order
        ring, index = self.endpoints.ring, function.home_index
        return ring[index:] + ring[:index]

    def rebuild(self, function: Function) -> None:
        """Bring the order up to date with the ring. If there are more dispatchers than workers, it is sorted
        by score instead of following the ring: many dispatchers that overflow from one home would otherwise
        all load the same neighbour without seeing each other. The ring shares copies better where a function
        needs many workers, and needs no more memory for a function than its home.
        """
        ring = self.endpoints.ring
        if self.settings.dispatcher_count > len(ring):
            self.sort_by_score(function)
        else:
            self.find_home(function)
        function.order_version = self.endpoints.version

    def sort_by_score(self, function: Function) -> None:
        """Sort the ring by score. Only workers that entered it since the last time are scored."""
        ring, version = self.endpoints.ring, function.order_version
        known = dict(zip(function.sorted_order, function.sorted_scores, strict=True))
        scores = [
            known[worker]
            if worker in known and worker.ring_version <= version
            else self.score(function, worker)
            for worker in ring
        ]
        indices = sorted(range(len(ring)), key=scores.__getitem__)
        function.home = None
        function.sorted_order = [ring[index] for index in indices]
        function.sorted_scores = array("d", [scores[index] for index in indices])

    def find_home(self, function: Function) -> None:
        """Find the worker with the lowest score. While the home stays in the ring, only workers that entered
        it since the last time are scored.
        """
        ring, version, home = self.endpoints.ring, function.order_version, function.home
        if home is not None and self.endpoints.is_listed(home) and home.ring_version <= version:
            candidates = [(function.home_score, ring_order(home), home)]
            unscored = [worker for worker in ring if worker.ring_version > version]
        else:
            candidates, unscored = [], ring
        candidates += [(self.score(function, worker), ring_order(worker), worker) for worker in unscored]
        function.drop_order()
        if candidates:
            function.home_score, position, function.home = min(candidates)
            function.home_index = bisect_left(ring, position, key=ring_order)

    def score(self, function: Function, worker: Worker) -> float:
        """Return the weighted rendezvous hash of function and worker; larger workers tend to score lower."""
        digest = blake2b(f"{function.name} {worker.name}".encode(), digest_size=SCORE_BYTES).digest()
        exponential = -log((int.from_bytes(digest) + 1) / (2**32 + 1))
        return exponential if self.settings.size_is_live else exponential / max(worker.size, MIN_SIZE)

    def order_from_own_offset(self, function: Function) -> list[Worker]:
        """Return the shared order, rotated to where this dispatcher's part of the demand starts if each
        worker takes `TARGET_FILL` of an even share. Prevents homes overloaded by other dispatchers; less
        accurate if the dispatchers receive different traffic.
        """
        order = self.function_order(function)
        dispatchers = self.settings.dispatcher_count
        position = (self.settings.instance_index + crc32(function.name.encode())) % dispatchers
        offset = position / dispatchers
        now = self.clock.now
        likely_demand = max(0.0, function.demand.read(now) - self.latency.typical(function.method))
        size_to_skip = (
            offset * likely_demand / max(self.demand.read(now), 1) * self.capacity.size / TARGET_FILL
        )
        if function.prefix is not None:
            # does not extend the prefix: own demand does not measure that of the region
            serving = sum(w.size for w in order if w.endpoint_state is EndpointState.SERVING)
            size_to_skip = min(size_to_skip, offset * serving)
        for index, worker in enumerate(order):
            if worker.endpoint_state is EndpointState.SERVING:
                size_to_skip -= worker.size
            if size_to_skip < 0:
                return order[index:] + order[:index]
        return order

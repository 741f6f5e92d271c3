"""Limit of concurrent loads of this dispatcher.

All workers load from one store that slows down and fails under overload, so the limit adapts by additive
increase and multiplicative decrease on slow or failed loads (docs/design.md, "Loads under way are limited").
"""

from typing import Final

from lapistrestle.policy.clock import Clock
from lapistrestle.policy.endpoints import Endpoints
from lapistrestle.policy.entities import Function
from lapistrestle.policy.fleet_guidance import FleetGuidance, RegionCapacity
from lapistrestle.policy.latency_estimates import LatencyEstimates
from lapistrestle.policy.settings import Settings

DECREASE_FACTOR: Final = 0.9  # factor on the limit after a slow or failed load
SLOW_LOAD_FRACTION: Final = 1 / 2  # of the method's deadline; a load that takes longer is slow
# Factor on the limit for a request that has no copy to run on: its load has priority over additional copies.
NO_COPY_FACTOR: Final = 4


class LoadLimit:
    """Own loads in progress, and their limit."""

    def __init__(
        self,
        settings: Settings,
        clock: Clock,
        fleet: FleetGuidance,
        endpoints: Endpoints,
        capacity: RegionCapacity | Endpoints,
        latency: LatencyEstimates,
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.fleet = fleet
        self.endpoints = endpoints
        self.capacity = capacity
        self.latency = latency
        self.in_progress = 0
        self.limit = 0.0  # loads; 0: not set yet

    def endpoints_changed(self) -> None:
        """Once there is an endpoint list, start with this dispatcher's share of one load per worker."""
        if not self.limit:
            self.limit = max(1.0, self.capacity.count / self.settings.dispatcher_count)

    def allows(self, copy_exists: bool) -> bool:
        """Whether one more load may start; `copy_exists`: the request could run on a loaded copy."""
        limit = (1 if copy_exists else NO_COPY_FACTOR) * self.limit
        return self.in_progress < limit and self.fleet_allows(copy_exists)

    def fleet_allows(self, copy_exists: bool = False) -> bool:
        """Whether the quota shared by all dispatchers allows one more load. While the fleet sheds load it
        allows no additional copies: they would evict copies in use, and admission control has removed the
        pressure that would otherwise prevent that. Slower if a single copy serves a function.
        """
        if not self.fleet.loads_allowed(self.clock.now):
            return False
        return not (copy_exists and self.fleet.shedding)

    def record(self, function: Function, ok: bool, duration: int) -> None:
        """Adapt the limit after a load of `duration` ticks. Too strict if the store is not the cause."""
        if not ok or duration > self.settings.methods[function.method].deadline * SLOW_LOAD_FRACTION:
            self.limit = max(1.0, DECREASE_FACTOR * self.limit)
        elif duration > self.latency.isolated(function):
            self.limit = min(self.endpoints.count, self.limit + 1 / self.limit)

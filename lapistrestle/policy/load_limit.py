"""How many loads this dispatcher has under way at once.

All workers load from one store that slows down and tips, so slow or failing loads mean fewer at once: an
additive increase and a multiplicative decrease (docs/design.md, "Loads under way are limited").
"""

from typing import Final

from lapistrestle.policy.clock import Clock
from lapistrestle.policy.endpoints import Endpoints
from lapistrestle.policy.entities import Function
from lapistrestle.policy.fleet_guidance import FleetGuidance, RegionCapacity
from lapistrestle.policy.latency_estimates import LatencyEstimates
from lapistrestle.policy.settings import Settings

DECREASE_FACTOR: Final = 0.9  # factor on the limit at a slow or failed load
SLOW_LOAD_FRACTION: Final = 1 / 2  # of the method's deadline: a load that takes longer is slow
# A load for a request that finds no copy may go over the limit by this factor: it comes before spare copies.
NO_COPY_FACTOR: Final = 4


class LoadLimit:
    """Own loads under way, and the most that there should be."""

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
        self.limit = 0.0  # 0: not set yet

    def endpoints_changed(self) -> None:
        """Begin with an even part of one load for each worker, once there is a list."""
        if not self.limit:
            self.limit = max(1.0, self.capacity.count / self.settings.dispatcher_count)

    def allows(self, copy_exists: bool) -> bool:
        """Whether one more load may begin, for a request that finds a warm copy or finds none."""
        most = (1 if copy_exists else NO_COPY_FACTOR) * self.limit
        return self.in_progress < most and self.fleet_allows(copy_exists)

    def fleet_allows(self, copy_exists: bool = False) -> bool:
        """Whether one more load is within what all dispatchers share. While the fleet sheds load, none
        beside a copy is: guards against loads that push out what is used, as admission takes away the
        pressure that would hold them; harms where one copy serves.
        """
        if not self.fleet.loads_allowed(self.clock.now):
            return False
        return not (copy_exists and self.fleet.shedding)

    def record(self, function: Function, ok: bool, duration: int) -> None:
        """Adapt the limit to a load that took so many ticks; harms where the store is not the cause."""
        if not ok or duration > self.settings.methods[function.method].deadline * SLOW_LOAD_FRACTION:
            self.limit = max(1.0, DECREASE_FACTOR * self.limit)
        elif duration > self.latency.isolated(function):
            self.limit = min(self.endpoints.count, self.limit + 1 / self.limit)

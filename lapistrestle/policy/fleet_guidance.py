"""What other dispatchers of the fleet lend to this one's decisions; the defaults serve a dispatcher alone."""

from collections.abc import Callable
from dataclasses import dataclass
from math import inf
from typing import Protocol


class RegionCapacity(Protocol):
    """Sums over the workers of the whole region, for a dispatcher that knows only a part of them."""

    @property
    def size(self) -> float:
        """Size of the workers that serve."""

    @property
    def warm_size(self) -> float:
        """The same, each worker weighed by how far its slow start has come."""

    @property
    def count(self) -> int:
        """How many workers there are."""


def always(_now: int) -> bool:
    """A dispatcher alone has all loads to itself."""
    return True


@dataclass(eq=False)
class FleetGuidance:
    """Changed by the host as the fleet's figures come; read by the module at each decision.

    `region` is set once, before the module is made: with it the module makes no order of its own and takes
    the prefixes that a directory gives.
    """

    loads_allowed: Callable[[int], bool] = always  # whether one more load, at that tick, is within the quota
    shedding: bool = False  # the fleet rejects requests at its doors
    retries_per_second: float = inf  # this dispatcher's part of the fleet's retry budget
    region: RegionCapacity | None = None

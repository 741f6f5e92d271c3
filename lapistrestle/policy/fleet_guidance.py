"""Limits and sums over the fleet of dispatchers; the defaults are those of a single dispatcher."""

from collections.abc import Callable
from dataclasses import dataclass
from math import inf
from typing import Protocol


class RegionCapacity(Protocol):
    """Sums over all workers of the region, for a dispatcher that knows only some of them."""

    @property
    def size(self) -> float:
        """Total size of the serving workers."""

    @property
    def warm_size(self) -> float:
        """The same, each worker weighted by the fraction of its capacity that it has in slow start."""

    @property
    def count(self) -> int:
        """Number of workers."""


def always(_now: int) -> bool:
    """Allow every load: a single dispatcher shares no quota."""
    return True


@dataclass(eq=False)
class FleetGuidance:
    """Updated by the host from the messages of the fleet; read by the module at each decision.

    `region` is set once, before the module is created. With it the module builds no orders of its own, but
    uses the prefixes that a directory returns.
    """

    loads_allowed: Callable[[int], bool] = always  # whether the quota allows one more load at a tick
    shedding: bool = False  # the fleet rejects requests by admission level
    retries_per_second: float = inf  # this dispatcher's share of the fleet's retry budget
    region: RegionCapacity | None = None

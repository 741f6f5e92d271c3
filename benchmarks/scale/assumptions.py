"""Input of the scale tests: the target's figures and the assumptions, typed and validated."""

import math
from collections.abc import Iterator
from pathlib import Path
from typing import Annotated

import json5
import msgspec
from msgspec import Meta, Struct

ASSUMPTIONS_FILE = Path(__file__).with_name("assumptions.json5")

DAY = 86_400.0  # seconds
MINUTE = 60.0  # seconds
QUICK_IDLE_SECONDS = 10.0
CHANGES_PER_INSTANCE = 3  # it starts, drains and is gone

Count = Annotated[int, Meta(ge=1)]
Positive = Annotated[float, Meta(gt=0)]
Share = Annotated[float, Meta(ge=0, le=1)]


class Table(Struct, frozen=True, forbid_unknown_fields=True):
    """Base of all groups of the input."""


class Target(Table, frozen=True, forbid_unknown_fields=True):
    """The size that the design has to carry."""

    dispatchers: Count
    instances: Count
    functions: Count
    calls_per_second: Positive
    cold_start_seconds: Positive
    cold_start_part: Share  # of the cold starts that must meet it
    regions: Count
    zones: Count
    changes_per_day: Positive
    change_within_seconds: Positive
    control_machines: Count
    control_cores: Positive  # of a dispatcher, spent for control
    control_bytes: Positive  # of a dispatcher's memory
    control_bytes_per_second: Positive
    failures_per_day: Positive
    restarts_per_day: Positive

    @property
    def dispatchers_per_region(self) -> int:
        return self.dispatchers // self.regions

    @property
    def instances_per_region(self) -> int:
        return self.instances // self.regions

    @property
    def dispatchers_per_zone(self) -> int:
        return self.dispatchers // self.zones

    @property
    def calls_per_dispatcher(self) -> float:
        """Calls per second at one dispatcher."""
        return self.calls_per_second / self.dispatchers


class Spread(Table, frozen=True, forbid_unknown_fields=True):
    """Distribution of calls over functions: the rate at rank r is proportional to (r + offset) ** -exponent.

    Without an offset this is Zipf's law; with one it is the Zipf-Mandelbrot law, whose top ranks are closer.
    """

    name: str
    exponent: Annotated[float, Meta(ge=0, le=3)]
    offset: Annotated[float, Meta(ge=0)] = 0.0

    def rates(self, functions: int, calls_per_second: float) -> list[float]:
        """Calls per second of each function, in descending order."""
        weights = [(rank + self.offset) ** -self.exponent for rank in range(1, functions + 1)]
        scale = calls_per_second / sum(weights)
        return [weight * scale for weight in weights]


class Machine(Table, frozen=True, forbid_unknown_fields=True):
    """One machine of the fleet."""

    cores: Count
    memory_bytes: Positive
    instances: Count  # of functions on it
    rack: Count  # machines of a rack, behind one switch


class Restarts(Table, frozen=True, forbid_unknown_fields=True):
    """How a day's restarts and changes are distributed."""

    busiest_hour_part: Share  # of the day's restarts, in the busiest hour
    burst_changes_part: Share  # of the day's changes of configuration, in the worst minute


class Instance(Table, frozen=True, forbid_unknown_fields=True):
    """The life of an instance."""

    life_seconds: Positive
    idle_seconds: Positive  # without a call, before it is stopped
    name_bytes: Count


class Cold(Table, frozen=True, forbid_unknown_fields=True):
    """The share of cold calls, and the durations of a cold start's phases."""

    part_of_calls: Share
    load_seconds: Positive
    dial_seconds: Positive
    first_answer_seconds: Positive


class Network(Table, frozen=True, forbid_unknown_fields=True):
    """One-way latency of a message."""

    in_region_seconds: Positive
    between_regions_seconds: Positive


class Directory(Table, frozen=True, forbid_unknown_fields=True):
    """Layout of a region's directory."""

    shards: Count
    holders_per_region: Count  # processes, each with a copy of every shard
    watch_idle_seconds: Positive  # a function unused for this long is no longer watched


class Assumptions(Table, frozen=True, forbid_unknown_fields=True):
    """The complete input file."""

    target: Target
    spread: Spread
    sensitivity: Annotated[tuple[Spread, ...], Meta(min_length=2)]
    instance: Instance
    cold: Cold
    machine: Machine
    restarts: Restarts
    network: Network
    directory: Directory
    dispatchers_per_function: (
        Count  # dispatchers of a region that receive the calls of a rarely called function
    )
    prefix: Count  # instances of a function that a dispatcher requests first

    def for_quick_run(self) -> "Assumptions":
        """Returns a copy in which watches expire soon, which shortens the simulated time of quick runs."""
        directory = msgspec.structs.replace(self.directory, watch_idle_seconds=QUICK_IDLE_SECONDS)
        return msgspec.structs.replace(self, directory=directory)

    def functions_in_view(
        self, idle_seconds: float, spread: Spread | None = None, reach: int | None = None
    ) -> float:
        """Average number of functions that one dispatcher has called within `idle_seconds`."""
        return sum(
            part * (1 - math.exp(-rate * idle_seconds)) for part, rate in self.calls_at_one(spread, reach)
        )

    def first_calls_per_second(
        self, idle_seconds: float, spread: Spread | None = None, reach: int | None = None
    ) -> float:
        """Rate of calls at one dispatcher to functions that it has not called within `idle_seconds`."""
        return sum(
            part * rate * math.exp(-rate * idle_seconds) for part, rate in self.calls_at_one(spread, reach)
        )

    def calls_at_one(self, spread: Spread | None, reach: int | None) -> Iterator[tuple[float, float]]:
        """For each function: the share of a region's dispatchers that receive its calls, and the calls per
        second at each of those. They are `reach` dispatchers, or more for a function with more than `reach`
        calls per second; all dispatchers if `reach` is None.
        """
        calls_per_region = self.target.calls_per_second / self.target.regions
        dispatchers = self.target.dispatchers_per_region
        for rate in (spread or self.spread).rates(self.target.functions, calls_per_region):
            reached = dispatchers if reach is None else min(dispatchers, max(reach, math.ceil(rate)))
            yield reached / dispatchers, rate / reached

    def seldom_called(self, spread: Spread | None = None) -> float:
        """The share of functions that are called less than once a minute, over all regions."""
        rates = (spread or self.spread).rates(self.target.functions, self.target.calls_per_second)
        return sum(rate < 1 / MINUTE for rate in rates) / len(rates)

    def instance_changes_per_second(self, instances: int) -> float:
        """Rate of changes of a list with this many instances. Each instance starts, drains and ends once in
        its life; a restart of a machine adds one such cycle for each of its instances.
        """
        ordinary = instances / self.instance.life_seconds
        machines = self.target.restarts_per_day / DAY
        restarted = machines * self.machine.instances * instances / self.target.instances
        return CHANGES_PER_INSTANCE * (ordinary + restarted)


def load(path: Path = ASSUMPTIONS_FILE) -> Assumptions:
    """Reads and validates the file; raises `msgspec.ValidationError` naming the field."""
    return msgspec.convert(json5.loads(path.read_text()), Assumptions)

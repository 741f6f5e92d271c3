"""The input table of the scale tests: target figures and assumptions, typed and checked."""

import math
from collections.abc import Iterator
from pathlib import Path
from typing import Annotated

import json5
import msgspec
from msgspec import Meta, Struct

FILE = Path(__file__).with_name("assumptions.json5")

DAY = 86_400.0  # seconds
MINUTE = 60.0  # seconds
QUICK_IDLE = 10.0  # seconds
CHANGES_OF_A_LIFE = 3  # of an instance: it begins, drains, is gone

Count = Annotated[int, Meta(ge=1)]
Positive = Annotated[float, Meta(gt=0)]
Share = Annotated[float, Meta(ge=0, le=1)]


class Table(Struct, frozen=True, forbid_unknown_fields=True):
    """What all groups share."""


class Target(Table, frozen=True, forbid_unknown_fields=True):
    """The size that the design has to carry."""

    dispatchers: Count
    instances: Count
    functions: Count
    calls_per_second: Positive
    cold_start_seconds: Positive
    cold_start_part: Share  # of the cold starts that keep to it
    regions: Count
    zones: Count
    changes_per_day: Positive
    change_within_seconds: Positive
    control_machines: Count
    control_cores: Positive  # of a dispatcher's cores, spent for control
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
        """A second."""
        return self.calls_per_second / self.dispatchers


class Spread(Table, frozen=True, forbid_unknown_fields=True):
    """How calls spread over functions: rank r is called in proportion to (r + offset) ** -exponent.

    Without an offset this is Zipf's law; with one it is Mandelbrot's, whose few most called are more alike.
    """

    name: str
    exponent: Annotated[float, Meta(ge=0, le=3)]
    offset: Annotated[float, Meta(ge=0)] = 0.0

    def rates(self, functions: int, calls_per_second: float) -> list[float]:
        """Calls a second of each function, the most called first."""
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
    """How the day's restarts are spread."""

    busiest_hour_part: Share  # of the day's restarts, in the busiest hour
    burst_changes_part: Share  # of the day's changes of configuration, in the worst minute


class Instance(Table, frozen=True, forbid_unknown_fields=True):
    """The life of an instance."""

    life_seconds: Positive
    idle_seconds: Positive  # without a call, before it is taken down
    name_bytes: Count


class Cold(Table, frozen=True, forbid_unknown_fields=True):
    """Cold calls and what a cold start takes."""

    part_of_calls: Share
    load_seconds: Positive
    dial_seconds: Positive
    first_answer_seconds: Positive


class Network(Table, frozen=True, forbid_unknown_fields=True):
    """How long a message takes one way."""

    in_region_seconds: Positive
    between_regions_seconds: Positive


class Directory(Table, frozen=True, forbid_unknown_fields=True):
    """How the directory of a region is laid out."""

    shards: Count
    holders_per_region: Count  # processes, each with a copy of every shard
    watch_idle_seconds: Positive  # a function unused for so long is watched no more


class Assumptions(Table, frozen=True, forbid_unknown_fields=True):
    """The whole file."""

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
        Count  # how many dispatchers of a region one seldom called function's calls reach
    )
    prefix: Count  # instances of one function that a dispatcher asks for at first

    def hastened(self) -> "Assumptions":
        """The same with watches that lapse soon, so that a dispatcher's life is short: for quick runs."""
        directory = msgspec.structs.replace(self.directory, watch_idle_seconds=QUICK_IDLE)
        return msgspec.structs.replace(self, directory=directory)

    def functions_in_view(
        self, idle_seconds: float, spread: Spread | None = None, reach: int | None = None
    ) -> float:
        """Functions that one dispatcher has called within `idle_seconds`, on the average."""
        return sum(
            part * (1 - math.exp(-rate * idle_seconds)) for part, rate in self.calls_at_one(spread, reach)
        )

    def first_calls_per_second(
        self, idle_seconds: float, spread: Spread | None = None, reach: int | None = None
    ) -> float:
        """Calls at one dispatcher to a function that it has not called within `idle_seconds`."""
        return sum(
            part * rate * math.exp(-rate * idle_seconds) for part, rate in self.calls_at_one(spread, reach)
        )

    def calls_at_one(self, spread: Spread | None, reach: int | None) -> Iterator[tuple[float, float]]:
        """For each function the part of a region's dispatchers that its calls reach, and its calls a second
        at one of those. They reach `reach` dispatchers, more where it is called more than once a second for
        each of them; all dispatchers where `reach` is not given.
        """
        in_region = self.target.calls_per_second / self.target.regions
        all_ = self.target.dispatchers_per_region
        for rate in (spread or self.spread).rates(self.target.functions, in_region):
            reached = all_ if reach is None else min(all_, max(reach, math.ceil(rate)))
            yield reached / all_, rate / reached

    def seldom_called(self, spread: Spread | None = None) -> float:
        """The part of the functions that are called less than once a minute, in all regions together."""
        rates = (spread or self.spread).rates(self.target.functions, self.target.calls_per_second)
        return sum(rate < 1 / MINUTE for rate in rates) / len(rates)

    def instance_changes_per_second(self, instances: int) -> float:
        """How often a list of so many instances changes: each begins, drains and goes once in its life, and
        all of a machine that is restarted do so once more.
        """
        ordinary = instances / self.instance.life_seconds
        machines = self.target.restarts_per_day / DAY
        restarted = machines * self.machine.instances * instances / self.target.instances
        return CHANGES_OF_A_LIFE * (ordinary + restarted)


def load(path: Path = FILE) -> Assumptions:
    """Read and check the file; raises `msgspec.ValidationError` naming the field."""
    return msgspec.convert(json5.loads(path.read_text()), Assumptions)

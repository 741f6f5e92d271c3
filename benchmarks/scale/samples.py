"""The protocol of a role, and the types of its measurements.

A role is one control task of a process of the fleet, for example a dispatcher that knows every instance. It
declares the dimensions that grow (`Sweep`) and measures itself at one size (`Sample`). A `Scene` is one
scenario at a stated size, with figures and their budgets, for what is not a curve: a restart of a zone, the
full target.
"""

from collections.abc import Callable
from enum import StrEnum
from itertools import pairwise
from typing import Protocol

from msgspec import Struct

from benchmarks.scale.assumptions import Assumptions


class Dimension(StrEnum):
    """The dimension that grows."""

    INSTANCES = "instances"
    FUNCTIONS = "functions"  # in use at one process
    CALLS = "calls"  # per second, at one process
    DISPATCHERS = "dispatchers"
    CHANGES = "changes"  # per second
    REGIONS = "regions"


class Sample(Struct, frozen=True, omit_defaults=True):
    """One measurement at one size. Rates are per simulated second; traffic is of one process of the role."""

    state_bytes: float  # that the process holds for the role, by tracemalloc, see `measuring.build_measured`
    messages_in: float = 0.0  # a second
    messages_out: float = 0.0  # a second
    bytes_in: float = 0.0  # a second, as encoded
    bytes_out: float = 0.0  # a second, as encoded
    processor: float = 0.0  # in cores, median of the repeats
    processor_low: float = 0.0
    processor_high: float = 0.0
    steps: int = 0  # bytecode instructions of the measured work, see `measuring.count_steps`; deterministic
    messages: int = 0  # in and out, over the simulated time
    simulated_seconds: float = 1.0
    figures: dict[str, float] = {}  # further metrics of the role, by name with unit, fitted in the same way


class Sweep(Struct, frozen=True):
    """The sizes of one dimension: at least four, each at least twice the last, then one beyond the fit."""

    dimension: Dimension
    sizes: tuple[int, ...]
    beyond: int  # predicted from the fit, then measured
    target: float  # the size that the design has to carry
    quick_sizes: tuple[int, ...] = ()  # for `--quick`; empty: as in full
    quick_beyond: int = 0

    def __post_init__(self) -> None:
        for sizes, beyond in self.plans():
            if len(sizes) < 4 or any(b < 2 * a for a, b in pairwise(sizes)):
                raise ValueError(
                    f"{self.dimension}: at least four sizes, each at least twice the last, not {sizes}"
                )
            if beyond < 2 * sizes[-1]:
                raise ValueError(f"{self.dimension}: {beyond} is not at least twice the last of {sizes}")

    def plans(self) -> list[tuple[tuple[int, ...], int]]:
        """The fitted sizes and the predicted one, for a full run and, if given, for a quick one."""
        quick = [(self.quick_sizes, self.quick_beyond)] if self.quick_sizes else []
        return [(self.sizes, self.beyond), *quick]


class Budget(Struct, frozen=True):
    """The maximum of a metric for one process, and the dimensions for which it applies."""

    metric: str  # a field of `Sample`, or a name in its `figures`
    most: float
    why: str
    dimensions: tuple[Dimension, ...] = ()  # where it applies; empty: all

    def counts_in(self, dimension: Dimension) -> bool:
        return not self.dimensions or dimension in self.dimensions


class Figure(Struct, frozen=True, omit_defaults=True):
    """One measured figure of a scenario, with its budget if it has one."""

    name: str
    value: float
    unit: str
    budget: float | None = None
    low: float | None = None  # over the repeats
    high: float | None = None


class Scene(Struct, frozen=True):
    """One scenario at a stated size. `play(seed, assumptions, quick)` returns its figures."""

    name: str
    text: str
    play: Callable[[int, Assumptions, bool], list[Figure]]
    repeats: int = 1  # seeds; a figure's value is the median over them


class Role(Protocol):
    """What a module of `roles/` registers."""

    @property
    def name(self) -> str: ...
    @property
    def text(self) -> str: ...
    @property
    def sweeps(self) -> tuple[Sweep, ...]: ...
    @property
    def budgets(self) -> tuple[Budget, ...]: ...
    @property
    def scenes(self) -> tuple[Scene, ...]: ...

    def measure(self, dimension: Dimension, size: int, seed: int, assumptions: Assumptions) -> Sample: ...


TRAFFIC = ("messages_in", "messages_out", "bytes_in", "bytes_out")
METRICS = ("state_bytes", *TRAFFIC, "processor", "steps", "messages")
UNITS = {
    "state_bytes": "bytes",
    "messages_in": "messages/s",
    "messages_out": "messages/s",
    "bytes_in": "bytes/s",
    "bytes_out": "bytes/s",
    "processor": "cores",
    "steps": "instructions",
    "messages": "messages",
}


def metric_of(sample: Sample, metric: str) -> float:
    """A field of the sample, or one of its further figures."""
    return float(getattr(sample, metric)) if metric in METRICS else sample.figures[metric]


def metrics_of(sample: Sample) -> list[str]:
    """The metrics that a sample carries: all fields, then its further figures."""
    return [*METRICS, *sample.figures]

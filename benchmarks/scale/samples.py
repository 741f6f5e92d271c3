"""What a role measures, and the protocol of a role.

A role is one job that a process of the fleet does for control, for example a dispatcher that knows every
instance. It names what grows (`Sweep`) and measures itself at one size (`Sample`). A `Scene` is one play at a
stated size, with figures beside their budgets, for what is no curve: a restart of a zone, the full target.
"""

from collections.abc import Callable
from enum import StrEnum
from itertools import pairwise
from typing import Protocol

from msgspec import Struct

from benchmarks.scale.assumptions import Assumptions


class Dimension(StrEnum):
    """What grows."""

    INSTANCES = "instances"
    FUNCTIONS = "functions"  # in view of one process
    CALLS = "calls"  # a second, of one process
    DISPATCHERS = "dispatchers"
    CHANGES = "changes"  # a second
    REGIONS = "regions"


class Sample(Struct, frozen=True, omit_defaults=True):
    """One measurement at one size. Rates are per simulated second; traffic is of one process of the role."""

    state_bytes: float  # what the process holds for the role, by tracemalloc, see `measuring.build_measured`
    messages_in: float = 0.0  # a second
    messages_out: float = 0.0  # a second
    bytes_in: float = 0.0  # a second, as encoded
    bytes_out: float = 0.0  # a second, as encoded
    processor: float = 0.0  # seconds of processor time a second, median of the repeats
    processor_low: float = 0.0
    processor_high: float = 0.0
    steps: int = 0  # bytecode instructions of the measured work, see `measuring.count_steps`; no clock in it
    messages: int = 0  # counted, in and out, over the simulated time
    simulated_seconds: float = 1.0
    figures: dict[str, float] = {}  # further curves of the role, by name with unit, fitted alike


class Sweep(Struct, frozen=True):
    """The sizes of one dimension: at least four, factors of two or more apart, then one beyond the fit."""

    dimension: Dimension
    sizes: tuple[int, ...]
    beyond: int  # predicted from the fit, then measured
    target: float  # the size that the design has to carry
    quick_sizes: tuple[int, ...] = ()  # for `--quick`; empty: as in full
    quick_beyond: int = 0

    def __post_init__(self) -> None:
        for sizes, beyond in self.plans():
            if len(sizes) < 4 or any(b < 2 * a for a, b in pairwise(sizes)):
                raise ValueError(f"{self.dimension}: four sizes, factors of two or more apart, not {sizes}")
            if beyond < 2 * sizes[-1]:
                raise ValueError(f"{self.dimension}: {beyond} is not beyond the fit to {sizes}")

    def plans(self) -> list[tuple[tuple[int, ...], int]]:
        """Sizes and the predicted one: in full, and where given the quick ones."""
        quick = [(self.quick_sizes, self.quick_beyond)] if self.quick_sizes else []
        return [(self.sizes, self.beyond), *quick]


class Budget(Struct, frozen=True):
    """The most that one process may spend of a metric, and the size at which that counts."""

    metric: str  # a field of `Sample`, or a name in its `figures`
    most: float
    why: str
    dimensions: tuple[Dimension, ...] = ()  # where it counts; empty: in each

    def counts_in(self, dimension: Dimension) -> bool:
        return not self.dimensions or dimension in self.dimensions


class Figure(Struct, frozen=True, omit_defaults=True):
    """One measured figure of a scene, beside its budget where it has one."""

    name: str
    value: float
    unit: str
    budget: float | None = None
    low: float | None = None  # over the repeats
    high: float | None = None


class Scene(Struct, frozen=True):
    """One play at a stated size. `play(seed, assumptions, quick)` returns its figures."""

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

"""Experiments: planning the runs that a file asks for, identifying runs, and statistics of results. No I/O.

A variant changes named settings of one day. Every variant is run with the same seeds, so it gets the same
client requests at the same times, and variants are compared seed by seed.
"""

import copy
from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from hashlib import blake2b
from itertools import product
from typing import Annotated, Any

import msgspec
import numpy as np
from msgspec import Meta, field
from scipy import stats

from lapistrestle.deployment.load import DeploymentError
from lapistrestle.deployment.schema import SettingsGroup

CONFIDENCE = 0.95
FIGURES = ("service", "worst", "p50", "p99", "ok", "tries", "fetches", "calls")


class Experiment(SettingsGroup):
    """Content of an experiment's file.

    `vary`: paths into the day, such as `edges` or `deployment.orders.share`, each with the values to try; all
    combinations are run, each with seeds `first_seed` and up, `seeds` of them.
    """

    name: str
    day: Any  # inline, or the path of a script beside the file
    vary: dict[str, Annotated[list[Any], Meta(min_length=1)]] = field(default_factory=dict)
    seeds: Annotated[int, Meta(ge=1, le=10_000)] = 5
    first_seed: int = 1


Variant = tuple[tuple[str, Any], ...]  # changed settings: path and value of each


@dataclass(frozen=True)
class PlannedRun:
    """One run: a variant, a seed, and the day's script that results."""

    variant: Variant
    seed: int
    day: dict[str, Any]

    @property
    def key(self) -> str:
        """Identity of the run: a hash over every setting of its day, and nothing else."""
        return blake2b(msgspec.json.encode(self.day, order="deterministic"), digest_size=12).hexdigest()


def plan_runs(experiment: Experiment, day: Mapping[str, Any]) -> list[PlannedRun]:
    """All runs, seed by seed, so that an experiment that is stopped early has results to compare.

    Raises DeploymentError if a path does not exist in the day.
    """
    variants = [
        tuple(zip(experiment.vary, values, strict=True)) for values in product(*experiment.vary.values())
    ]
    runs = []
    for seed in range(experiment.first_seed, experiment.first_seed + experiment.seeds):
        for variant in variants:
            changed = copy.deepcopy(dict(day)) | {"seed": seed}
            for path, value in variant:
                set_path(changed, path, value)
            runs.append(PlannedRun(variant, seed, changed))
    return runs


def set_path(day: dict[str, Any], path: str, value: Any) -> None:
    """Set the value at a path of names and list indexes. The last name may be missing: a default setting.

    Raises DeploymentError if the path does not exist.
    """
    *parents, last = path.split(".")
    node: Any = day
    for name in parents:
        if isinstance(node, list):
            node = node[int(name)] if name.isdigit() and int(name) < len(node) else None
        elif isinstance(node, dict):
            node = node.setdefault(name, {})
    if not isinstance(node, dict):
        raise DeploymentError(f"vary.{path}: no such path in the day")
    node[last] = value


def variant_label(variant: Variant) -> str:
    """The changed settings as text; "the day" if none is."""
    return ", ".join(f"{path}={value}" for path, value in variant) or "the day"


class Result(msgspec.Struct):
    """Result of a run, one line of the results file.

    `figures` as in FIGURES; `seconds`: duration of the run; `build`: digest of the program's sources;
    `failed`: the end of the traceback of a run that raised, which has no figures.
    """

    key: str
    variant: list[tuple[str, Any]]
    seed: int
    figures: dict[str, float] = {}
    seconds: float = 0.0
    build: str = ""
    failed: str = ""


def figures(
    latencies: Sequence[float], request_count: int, service: float, worst: float, attempts: int, fetches: int
) -> Any:
    """The figures of a run, by the names in FIGURES.

    p50 and p99 are in the unit of `latencies`; `ok` and `tries` are per client request.
    """
    times = np.array(latencies) if latencies else np.array([0.0])
    return {
        "service": service,
        "worst": worst,
        "p50": float(np.quantile(times, 0.5)),
        "p99": float(np.quantile(times, 0.99)),
        "ok": len(latencies) / max(1, request_count),
        "tries": attempts / max(1, request_count),
        "fetches": float(fetches),
        "calls": float(request_count),
    }


@dataclass(frozen=True)
class ConfidenceInterval:
    """A mean over seeds with half the width of its confidence interval; infinite with one seed."""

    mean: float
    half_width: float
    seeds: int

    @property
    def includes_zero(self) -> bool:
        """Whether 0 lies within the interval."""
        return abs(self.mean) <= self.half_width


def confidence_interval(values: Sequence[float]) -> ConfidenceInterval:
    """Mean and its confidence interval at CONFIDENCE, by Student's t distribution."""
    count = len(values)
    mean = float(np.mean(values))
    if count < 2:
        return ConfidenceInterval(mean, float("inf"), count)
    spread = float(stats.sem(values))
    return ConfidenceInterval(mean, float(stats.t.ppf((1 + CONFIDENCE) / 2, count - 1)) * spread, count)


def mean(runs: Mapping[int, Result], figure: str) -> ConfidenceInterval:
    """Mean of one figure of a variant, over its seeds."""
    return confidence_interval([result.figures[figure] for result in runs.values()])


def by_variant(results: Iterable[Result]) -> dict[Variant, dict[int, Result]]:
    """The latest successful result of each variant and seed, in the order of the file."""
    grouped: dict[Variant, dict[int, Result]] = defaultdict(dict)
    for result in results:
        if not result.failed:
            grouped[tuple((path, value) for path, value in map(tuple, result.variant))][result.seed] = result
    return dict(grouped)


def differences(results: Iterable[Result], base: Variant, figure: str) -> dict[Variant, ConfidenceInterval]:
    """Mean difference of a figure between each other variant and the base, over the seeds that both have.

    Raises DeploymentError if the base has no results.
    """
    found = by_variant(results)
    if base not in found:
        known = "; ".join(variant_label(variant) for variant in found)
        raise DeploymentError(f"no results of {variant_label(base)}; known: {known or 'none'}")
    intervals = {}
    for variant, runs in found.items():
        both = sorted(set(runs) & set(found[base]))
        if variant != base and both:
            pairs = [(runs[seed].figures, found[base][seed].figures) for seed in both]
            intervals[variant] = confidence_interval(
                [own[figure] - base_figures[figure] for own, base_figures in pairs]
            )
    return intervals


def missing_runs(plan: Sequence[PlannedRun], results: Iterable[Result], build: str) -> list[PlannedRun]:
    """Runs that have no successful result of this build yet."""
    done = {result.key for result in results if not result.failed and result.build == build}
    return [run for run in plan if run.key not in done]

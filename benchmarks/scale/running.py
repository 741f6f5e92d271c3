"""Measures roles in parallel, each in its own process with limits on memory and time."""

import multiprocessing
import os
import resource
import statistics
import time
import traceback
from collections import deque
from collections.abc import Callable, Iterator
from datetime import UTC, datetime
from functools import partial
from multiprocessing.connection import Connection, wait
from typing import Any, TypeVar

from msgspec import Struct

from benchmarks.scale import assumptions, fitting, results, roles
from benchmarks.scale.results import Growth, Point, Prediction, Result, SceneResult, Series
from benchmarks.scale.samples import UNITS, Figure, Role, Sample, Scene, Sweep, metric_of, metrics_of

MEMORY_LIMIT = 3_000_000_000  # bytes of address space of one role's process
JOBS = 4  # roles at once, each in one thread
FULL_LIMIT = 1_800.0  # seconds for all roles together
QUICK_LIMIT = 240.0
REPEATS = 3  # seeds for each size
QUICK_REPEATS = 1
PREDICTED_REPEATS = 1  # at the predicted size, which takes the longest
Measured = TypeVar("Measured")
STOP_TIMEOUT = 5.0  # seconds for a process to end


class Failure(Struct, frozen=True):
    """A role without a result."""

    role: str
    reason: str


class Plan(Struct, frozen=True):
    """The roles and options of one run."""

    roles: tuple[str, ...]
    quick: bool
    command: str
    jobs: int = JOBS

    @property
    def seeds(self) -> range:
        return range(1, 1 + (QUICK_REPEATS if self.quick else REPEATS))

    @property
    def limit(self) -> float:
        return QUICK_LIMIT if self.quick else FULL_LIMIT


class RunningRole(Struct, frozen=True):
    """A role that is being measured."""

    role: str
    process: Any
    started_at: float


def run(plan: Plan, log: Callable[[str], None]) -> Iterator[Result | Failure]:
    """Yields a result or failure for each role as it ends; roles not done within the time limit fail."""
    ends = time.monotonic() + plan.limit
    waiting, running = deque(plan.roles), dict[Connection, RunningRole]()
    try:
        while (waiting or running) and time.monotonic() < ends:
            while waiting and len(running) < plan.jobs:
                name = waiting.popleft()
                log(f"{name} begins")
                start_role(name, plan, running)
            for receiver in wait(list(running), max(0.0, ends - time.monotonic())):
                assert isinstance(receiver, Connection)
                ended = running.pop(receiver)
                outcome = receive_outcome(receiver, ended)
                status = "failed" if isinstance(outcome, Failure) else "done"
                log(f"{ended.role} {status} in {time.monotonic() - ended.started_at:.0f} s")
                yield outcome
    finally:
        for active in running.values():
            active.process.kill()
            stop(active.process)
    for name in (*(active.role for active in running.values()), *waiting):
        yield Failure(name, f"not done within {plan.limit:.0f} s")


def start_role(name: str, plan: Plan, running: dict[Connection, RunningRole]) -> None:
    context = multiprocessing.get_context("spawn")
    receiver, sender = context.Pipe(duplex=False)
    process = context.Process(target=child, args=(sender, name, plan))
    process.start()
    sender.close()
    running[receiver] = RunningRole(name, process, time.monotonic())


def receive_outcome(receiver: Connection, ended: RunningRole) -> Result | Failure:
    try:
        outcome: Result | Failure = receiver.recv()
    except EOFError:
        outcome = Failure(ended.role, "its process ended without a result")
    stop(ended.process)
    return outcome


def stop(process: multiprocessing.process.BaseProcess) -> None:
    process.join(STOP_TIMEOUT)
    if process.is_alive():
        process.kill()
        process.join()


def child(to_parent: Connection, name: str, plan: Plan) -> None:
    resource.setrlimit(resource.RLIMIT_AS, (MEMORY_LIMIT, MEMORY_LIMIT))
    outcome: Result | Failure
    try:
        outcome = measure_role(roles.all_roles()[name], plan)
    except MemoryError:
        outcome = Failure(name, f"exceeded the limit of {MEMORY_LIMIT:,} bytes")
    except Exception:
        outcome = Failure(name, traceback.format_exc(limit=-6))
    to_parent.send(outcome)
    to_parent.close()


def run_timed(label: str, measure: Callable[[], Measured], log: Callable[[str], None]) -> Measured:
    started_at, spent = time.monotonic(), time.process_time()
    measured = measure()
    log(
        f"  {label}: {time.monotonic() - started_at:.1f} s, "
        f"{time.process_time() - spent:.1f} s of processor time"
    )
    return measured


def print_line(text: str) -> None:
    print(text, flush=True)


def measure_role(role: Role, plan: Plan, log: Callable[[str], None] = print_line) -> Result:
    """Runs every sweep and every scenario of a role, in this process."""
    date, load, started_at = datetime.now(UTC).isoformat("T", "seconds"), os.getloadavg()[0], time.monotonic()
    commit, given = results.commit(), assumptions.load()
    given = given.for_quick_run() if plan.quick else given
    series = tuple(
        run_timed(f"by {sweep.dimension}", partial(measure_sweep, role, sweep, plan, given), log)
        for sweep in role.sweeps
    )
    scenes = tuple(
        run_timed(scene.name, partial(play_scene, scene, plan, given), log) for scene in role.scenes
    )
    took = round(time.monotonic() - started_at, 1)
    origin = results.origin(commit, plan.command, date, round(load, 1), took, plan.quick)
    return Result(role.name, role.text, origin, role.budgets, series, scenes)


def measure_sweep(role: Role, sweep: Sweep, plan: Plan, given: assumptions.Assumptions) -> Series:
    """Measures the sizes, fits them, predicts the size beyond from the fit alone, then measures it."""
    sizes, beyond = sweep.plans()[-1 if plan.quick else 0]

    def point(size: int, seeds: range = plan.seeds) -> Point:
        samples = [role.measure(sweep.dimension, size, seed, given) for seed in seeds]
        return Point(size, tuple(samples))

    points = tuple(point(size) for size in sizes)
    growths = tuple(growth_of(metric, points) for metric in metrics_of(points[0].samples[0]))
    last = point(beyond, plan.seeds[:PREDICTED_REPEATS])
    predictions = tuple(
        Prediction(growth.metric, beyond, growth.fit.at(beyond), median_of(last.samples, growth.metric))
        for growth in growths
    )
    return Series(sweep.dimension, sweep.target, (*points, last), growths, predictions)


def growth_of(metric: str, points: tuple[Point, ...]) -> Growth:
    repeats = [
        [metric_of(s, metric) for s in column] for column in zip(*(p.samples for p in points), strict=True)
    ]
    unit = UNITS.get(metric, "")
    return Growth(metric, unit, fitting.fit([point.size for point in points], repeats))


def median_of(samples: tuple[Sample, ...], metric: str) -> float:
    return statistics.median(metric_of(sample, metric) for sample in samples)


def play_scene(scene: Scene, plan: Plan, given: assumptions.Assumptions) -> SceneResult:
    seeds = range(1, 1 + (1 if plan.quick else scene.repeats))
    plays = [scene.play(seed, given, plan.quick) for seed in seeds]
    return SceneResult(scene.name, scene.text, tuple(combine(column) for column in zip(*plays, strict=True)))


def combine(figures: tuple[Figure, ...]) -> Figure:
    """The median over the repeats of one figure, with its range."""
    if len(figures) == 1:
        return figures[0]
    first, values = figures[0], [figure.value for figure in figures]
    return Figure(first.name, statistics.median(values), first.unit, first.budget, min(values), max(values))

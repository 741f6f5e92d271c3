"""Result files: measurements of one run of a role, with the commit, the machine's cores and the command."""

import os
import platform
import subprocess
from pathlib import Path

import msgspec
from msgspec import Struct

from benchmarks.scale.fitting import Fit
from benchmarks.scale.samples import Budget, Dimension, Figure, Sample

ROOT = Path(__file__).resolve().parents[2]
RESULTS = Path(__file__).with_name("results")


class Origin(Struct, frozen=True):
    """Where a result comes from."""

    commit: str  # short, with "+changes" if the program or the scale tests had uncommitted changes
    cores: int
    python: str
    command: str
    date: str  # UTC
    load_before: float  # the machine's load average at the start: shows other work during the run
    seconds: float
    quick: bool


class Point(Struct, frozen=True):
    """All repeats at one size."""

    size: int
    samples: tuple[Sample, ...]


class Prediction(Struct, frozen=True):
    """One metric at a size beyond the fitted ones: predicted from the fit, then measured."""

    metric: str
    size: int
    predicted: float
    measured: float


class Growth(Struct, frozen=True):
    """The fit of one metric over the sizes."""

    metric: str
    unit: str
    fit: Fit


class Series(Struct, frozen=True):
    """One dimension of a role."""

    dimension: Dimension
    target: float
    points: tuple[Point, ...]
    growths: tuple[Growth, ...]
    predictions: tuple[Prediction, ...]


class SceneResult(Struct, frozen=True):
    """The figures of one scenario."""

    name: str
    text: str
    figures: tuple[Figure, ...]


class Result(Struct, frozen=True):
    """One run of one role."""

    role: str
    text: str
    origin: Origin
    budgets: tuple[Budget, ...]
    series: tuple[Series, ...]
    scenes: tuple[SceneResult, ...]


def origin(commit: str, command: str, date: str, load_before: float, seconds: float, quick: bool) -> Origin:
    cores = os.cpu_count() or 1
    return Origin(commit, cores, platform.python_version(), command, date, load_before, seconds, quick)


def commit() -> str:
    """The commit of the working copy, marked if tracked files other than results and pages have changes."""
    head = git("rev-parse", "--short", "HEAD")
    changed = git(
        "status", "--porcelain", "--untracked-files=no", "--", "lapistrestle", "benchmarks/scale/*.py"
    )
    return head + ("+changes" if changed else "") if head else "unknown"


def git(*args: str) -> str:
    try:
        done = subprocess.run(
            ["git", *args], cwd=ROOT, capture_output=True, text=True, timeout=20, check=False
        )
    except (OSError, subprocess.TimeoutExpired):
        return ""
    return done.stdout.strip() if done.returncode == 0 else ""


def save(result: Result, folder: Path) -> Path:
    folder.mkdir(parents=True, exist_ok=True)
    path = folder / f"{result.role}.json"
    path.write_bytes(msgspec.json.format(msgspec.json.encode(result), indent=1) + b"\n")
    return path


def load_all(folder: Path = RESULTS) -> dict[str, Result]:
    """Loads all result files of a folder, by role; raises `msgspec.ValidationError` for an incomplete one."""
    read = [msgspec.json.decode(path.read_bytes(), type=Result) for path in sorted(folder.glob("*.json"))]
    return {result.role: result for result in read}

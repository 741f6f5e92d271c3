"""The commands `lapistrestle experiment`: run, compare and plot experiments in the simulation model."""

import multiprocessing
import os
import time
import traceback
from hashlib import blake2b
from pathlib import Path
from typing import Any

import click
import msgspec
from rich.console import Console
from rich.progress import track
from rich.table import Table

from lapistrestle.command.programs import as_json
from lapistrestle.deployment.load import DeploymentError, convert_value, read_json5
from lapistrestle.model import experiment as model
from lapistrestle.model.world import ModelWorld
from lapistrestle.standins.script import parse_day

RESULT_DECODER = msgspec.json.Decoder(model.Result)


@click.group()
def experiment() -> None:
    """Compare settings and fleets in the simulation model: many runs with results in one file."""


def read_experiment(path: Path) -> tuple[model.Experiment, list[model.PlannedRun]]:
    """Read an experiment and plan its runs. Raises DeploymentError if the file or a variant is invalid."""
    value, text = read_json5(path)
    parsed = convert_value(value, model.Experiment, text, str(path))
    day, day_path = parsed.day, path
    if isinstance(day, str):
        day_path = path.parent / day
        day, _ = read_json5(day_path)
    if not isinstance(day, dict):
        raise DeploymentError(f"{path}: day: expected an object {{ … }} or the path of a script")
    if isinstance(day.get("deployment"), str):
        day["deployment"], _ = read_json5(day_path.parent / day["deployment"])
    plan = model.plan_runs(parsed, day)
    for run in plan:
        if run.seed == parsed.first_seed:
            ModelWorld(
                *parse_day(
                    run.day,
                    "",
                    day_path.with_name(f"{day_path.name} with {model.variant_label(run.variant)}"),
                )
            )
    return parsed, plan


def results_of(path: Path) -> list[model.Result]:
    """Return the results in a file, without an incomplete last line of an interrupted run.

    Raises DeploymentError if a line is invalid.
    """
    if not path.exists():
        return []
    results = []
    for number, line in enumerate(path.read_bytes().splitlines(keepends=True), 1):
        if not line.endswith(b"\n"):
            break
        try:
            results.append(RESULT_DECODER.decode(line))
        except msgspec.MsgspecError as error:
            raise DeploymentError(f"{path}:{number}: no line of results: {error}") from None
    return results


def execute(task: tuple[model.PlannedRun, str]) -> model.Result:
    """Execute one run, in a process of the pool. An exception becomes the `failed` text of the result."""
    run, build = task
    result = model.Result(run.key, list(run.variant), run.seed, build=build)
    started_at = time.perf_counter()
    try:
        world = ModelWorld(*parse_day(run.day))
        outcome = world.play()
        result.figures = model.figures(
            outcome.latencies, outcome.client_requests, outcome.service, outcome.worst(),
            world.clients.counts["tries"], world.store.fetched,
        )  # fmt: skip
    except Exception:
        result.failed = traceback.format_exc()[-1_000:]
    result.seconds = round(time.perf_counter() - started_at, 3)
    return result


def build_id() -> str:
    """Return a digest of the package's sources, which identifies the build that results belong to."""
    digest = blake2b(digest_size=6)
    for file in sorted(Path(__file__).parents[1].rglob("*.py")):
        digest.update(file.read_bytes())
    return digest.hexdigest()


@experiment.command()
@click.argument("file", type=click.Path(path_type=Path))
@click.option(
    "--results",
    type=click.Path(path_type=Path),
    help="Results file; by default FILE with the suffix .results.jsonl.",
)
@click.option("--processes", default=0, help="Number of processes; 0: one per core.")
def run(file: Path, results: Path | None, processes: int) -> None:
    """Execute all runs of FILE that have no result yet; an interrupted experiment is continued by it."""
    _, plan = read_experiment(file)
    result_file = results or file.with_suffix(".results.jsonl")
    known, build = results_of(result_file), build_id()
    todo = [(run, build) for run in model.missing_runs(plan, known, build)]
    click.echo(f"{len(plan)} runs, {len(plan) - len(todo)} done before; results in {result_file}")
    started_at, failed, calls = time.perf_counter(), 0, 0.0
    if result_file.exists():
        content = result_file.read_bytes()
        os.truncate(result_file, content.rfind(b"\n") + 1)  # drops an incomplete last line, even an only one
    with result_file.open("ab") as sink, multiprocessing.Pool(processes or None) as pool:
        for result in track(pool.imap(execute, todo), "runs", len(todo), console=Console(stderr=True)):
            sink.write(msgspec.json.encode(result) + b"\n")
            sink.flush()
            failed += bool(result.failed)
            calls += result.figures.get("calls", 0.0)
            if result.failed:
                click.echo(
                    f"failed, no result: {model.variant_label(tuple(result.variant))}, seed {result.seed}",
                    err=True,
                )
    duration = time.perf_counter() - started_at
    click.echo(f"{calls:.0f} calls simulated in {duration:.1f} s, {calls / max(duration, 1e-9):.0f} a second")
    raise SystemExit(1 if failed else 0)


def select_variant(options: tuple[str, ...], found: dict[model.Variant, Any]) -> model.Variant:
    """Return the variant named by PATH=VALUE options, by default the first. Raises DeploymentError."""
    for variant in found:
        if all(f"{path}={value}" in options for path, value in variant) or not options:
            return variant
    raise DeploymentError(
        f"no results of {', '.join(options)}; known: {'; '.join(map(model.variant_label, found)) or 'none'}"
    )


@experiment.command()
@click.argument("results", type=click.Path(path_type=Path))
@click.option(
    "--base", multiple=True, help="PATH=VALUE of the variant to compare with; by default the first."
)
@click.option("--figure", default="service", type=click.Choice(model.FIGURES), show_default=True)
@as_json
def compare(results: Path, base: tuple[str, ...], figure: str, json_: bool) -> None:
    """Show the mean of each variant and its difference to the base over equal seeds, with 95% intervals."""
    all_results = results_of(results)
    found = model.by_variant(all_results)
    base_variant = select_variant(base, found)
    differences = model.differences(all_results, base_variant, figure)
    rows: list[dict[str, Any]] = []
    for variant, runs in found.items():
        mean, difference = model.mean(runs, figure), differences.get(variant)
        rows.append({"variant": dict(variant), "seeds": mean.seeds, "mean": mean.mean,
                     "half": mean.half_width, "difference": difference and difference.mean,
                     "difference_half": difference and difference.half_width,
                     "noise": difference and difference.includes_zero})  # fmt: skip
    if json_:
        return click.echo(msgspec.json.encode(rows))
    table = Table(title=f"{figure}, against {model.variant_label(base_variant)}")
    for head in ("variant", "seeds", "mean", "difference", ""):
        table.add_column(head, justify="left" if head in ("variant", "") else "right")
    for row, variant in zip(rows, found, strict=True):
        difference = differences.get(variant)
        table.add_row(
            model.variant_label(variant), str(row["seeds"]), f"{row['mean']:.4g} ± {row['half']:.2g}",
            f"{difference.mean:+.4g} ± {difference.half_width:.2g}" if difference else "",
            "noise" if difference and difference.includes_zero else "",
        )  # fmt: skip
    Console(width=120).print(table)


@experiment.command()
@click.argument("results", type=click.Path(path_type=Path))
@click.argument("picture", type=click.Path(path_type=Path))
@click.option("--along", help="The varied path on the x axis; needed if several are varied.")
@click.option("--figure", "chosen", multiple=True, default=("service", "worst"), show_default=True)
def plot(results: Path, picture: Path, along: str | None, chosen: tuple[str, ...]) -> None:
    """Plot figures over a varied setting to PICTURE (.png or .svg), with 95% intervals."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    found = model.by_variant(results_of(results))
    paths = {path for variant in found for path, _ in variant}
    axis = along or (next(iter(paths)) if len(paths) == 1 else "")
    if axis not in paths:
        raise DeploymentError(
            f"--along: {axis or 'not given'}; varied here: {', '.join(sorted(paths)) or 'nothing'}"
        )
    figure, axes = pyplot.subplots(len(chosen), 1, figsize=(7, 2.6 * len(chosen)), sharex=True, squeeze=False)
    for row, name in enumerate(chosen):
        lines: dict[str, list[tuple[Any, model.ConfidenceInterval]]] = {}  # by the other varied settings
        for variant, runs in found.items():
            label = model.variant_label(tuple(pair for pair in variant if pair[0] != axis))
            lines.setdefault(label, []).append((dict(variant)[axis], model.mean(runs, name)))
        for label, points in lines.items():
            xs = [x for x, _ in points]
            axes[row][0].errorbar(
                xs, [s.mean for _, s in points], [s.half_width if s.seeds > 1 else 0 for _, s in points],
                marker="o", capsize=3, label=label,
            )  # fmt: skip
        axes[row][0].set_ylabel(name)
        axes[row][0].grid(alpha=0.3)
        if len(lines) > 1:
            axes[row][0].legend()
    axes[-1][0].set_xlabel(axis)
    figure.tight_layout()
    figure.savefig(picture, dpi=110)
    click.echo(f"{picture}: {len(found)} variants")

"""`lapistrestle experiment`: run, compare and plot experiments in the model."""

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

LINE = msgspec.json.Decoder(model.Result)


@click.group()
def experiment() -> None:
    """Try settings and fleets in the model: many runs, one file of results."""


def read(path: Path) -> tuple[model.Experiment, list[model.PlannedRun]]:
    """The runs of a file, each of its days checked. Raises DeploymentError before anything runs."""
    value, text = read_json5(path)
    made = convert_value(value, model.Experiment, text, str(path))
    day, where = made.day, path
    if isinstance(day, str):
        where = path.parent / day
        day, _ = read_json5(where)
    if not isinstance(day, dict):
        raise DeploymentError(f"{path}: day: is no group {{ … }}")
    if isinstance(day.get("deployment"), str):
        day["deployment"], _ = read_json5(where.parent / day["deployment"])
    plan = model.plan_runs(made, day)
    for run in plan:
        if run.seed == made.first_seed:
            ModelWorld(
                *parse_day(
                    run.day, "", where.with_name(f"{where.name} with {model.variant_label(run.variant)}")
                )
            )
    return made, plan


def results_of(path: Path) -> list[model.Result]:
    """Every whole line; a torn last one is the run that was stopped."""
    if not path.exists():
        return []
    made = []
    for number, line in enumerate(path.read_bytes().splitlines(keepends=True), 1):
        if not line.endswith(b"\n"):
            break
        try:
            made.append(LINE.decode(line))
        except msgspec.MsgspecError as trouble:
            raise DeploymentError(f"{path}:{number}: no line of results: {trouble}") from None
    return made


def play(task: tuple[model.PlannedRun, str]) -> model.Result:
    """One run in a process of its own."""
    run, build = task
    made = model.Result(run.key, list(run.variant), run.seed, build=build)
    began = time.perf_counter()
    try:
        world = ModelWorld(*parse_day(run.day))
        outcome = world.play()
        made.figures = model.figures(
            outcome.latencies, outcome.client_requests, outcome.service, outcome.worst(),
            world.clients.counts["tries"], world.store.fetched,
        )  # fmt: skip
    except Exception:
        made.failed = traceback.format_exc()[-1_000:]
    made.seconds = round(time.perf_counter() - began, 3)
    return made


def build() -> str:
    """What the results are results of: the package's own sources."""
    digest = blake2b(digest_size=6)
    for file in sorted(Path(__file__).parents[1].rglob("*.py")):
        digest.update(file.read_bytes())
    return digest.hexdigest()


@experiment.command()
@click.argument("file", type=click.Path(path_type=Path))
@click.option("--results", type=click.Path(path_type=Path), help="Instead of FILE with .results.jsonl.")
@click.option("--processes", default=0, help="0: as many as there are cores.")
def run(file: Path, results: Path | None, processes: int) -> None:
    """Play all runs of FILE that have no result yet; one that is stopped goes on where it was."""
    _, plan = read(file)
    kept = results or file.with_suffix(".results.jsonl")
    known, name = results_of(kept), build()
    todo = [(run, name) for run in model.missing_runs(plan, known, name)]
    click.echo(f"{len(plan)} runs, {len(plan) - len(todo)} done before; results in {kept}")
    began, failed, calls = time.perf_counter(), 0, 0.0
    if kept.exists():
        whole = kept.read_bytes()
        os.truncate(kept, whole.rfind(b"\n") + 1)  # drops a line that was torn, also where it is the only one
    with kept.open("ab") as sink, multiprocessing.Pool(processes or None) as pool:
        for made in track(pool.imap(play, todo), "runs", len(todo), console=Console(stderr=True)):
            sink.write(msgspec.json.encode(made) + b"\n")
            sink.flush()
            failed += bool(made.failed)
            calls += made.figures.get("calls", 0.0)
            if made.failed:
                click.echo(
                    f"failed, no result: {model.variant_label(tuple(made.variant))}, seed {made.seed}",
                    err=True,
                )
    took = time.perf_counter() - began
    click.echo(f"{calls:.0f} calls simulated in {took:.1f} s, {calls / max(took, 1e-9):.0f} a second")
    raise SystemExit(1 if failed else 0)


def asked(said: tuple[str, ...], found: dict[model.Variant, Any]) -> model.Variant:
    """The variant that PATH=VALUE options name; the first where none are given. Raises DeploymentError."""
    for variant in found:
        if all(f"{path}={value}" in said for path, value in variant) or not said:
            return variant
    raise DeploymentError(
        f"no results of {', '.join(said)}; known: {'; '.join(map(model.variant_label, found)) or 'none'}"
    )


@experiment.command()
@click.argument("results", type=click.Path(path_type=Path))
@click.option("--base", multiple=True, help="PATH=VALUE of the variant to compare with; the first one else.")
@click.option("--figure", default="service", type=click.Choice(model.FIGURES), show_default=True)
@as_json
def compare(results: Path, base: tuple[str, ...], figure: str, json_: bool) -> None:
    """Means of each variant, and differences to the base, seed by seed, with 95% intervals."""
    told = results_of(results)
    found = model.by_variant(told)
    first = asked(base, found)
    apart = model.differences(told, first, figure)
    rows: list[dict[str, Any]] = []
    for variant, runs in found.items():
        mean, gap = model.mean(runs, figure), apart.get(variant)
        rows.append({"variant": dict(variant), "seeds": mean.seeds, "mean": mean.mean,
                     "half": mean.half_width,
                     "difference": gap and gap.mean, "difference_half": gap and gap.half_width,
                     "noise": gap and gap.includes_zero})  # fmt: skip
    if json_:
        return click.echo(msgspec.json.encode(rows))
    table = Table(title=f"{figure}, against {model.variant_label(first)}")
    for head in ("variant", "seeds", "mean", "difference", ""):
        table.add_column(head, justify="left" if head in ("variant", "") else "right")
    for row, variant in zip(rows, found, strict=True):
        gap = apart.get(variant)
        table.add_row(
            model.variant_label(variant), str(row["seeds"]), f"{row['mean']:.4g} ± {row['half']:.2g}",
            f"{gap.mean:+.4g} ± {gap.half_width:.2g}" if gap else "",
            "noise" if gap and gap.includes_zero else "",
        )  # fmt: skip
    Console(width=120).print(table)


@experiment.command()
@click.argument("results", type=click.Path(path_type=Path))
@click.argument("picture", type=click.Path(path_type=Path))
@click.option("--along", help="The varied path on the axis; the only one else.")
@click.option("--figure", "chosen", multiple=True, default=("service", "worst"), show_default=True)
def plot(results: Path, picture: Path, along: str | None, chosen: tuple[str, ...]) -> None:
    """Draw figures by a varied setting to PICTURE (.png or .svg), with 95% intervals."""
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
        lines: dict[str, list[tuple[Any, model.ConfidenceInterval]]] = {}
        for variant, runs in found.items():
            rest = model.variant_label(tuple(pair for pair in variant if pair[0] != axis))
            lines.setdefault(rest, []).append((dict(variant)[axis], model.mean(runs, name)))
        for rest, points in lines.items():
            xs = [x for x, _ in points]
            axes[row][0].errorbar(
                xs, [s.mean for _, s in points], [s.half_width if s.seeds > 1 else 0 for _, s in points],
                marker="o", capsize=3, label=rest,
            )  # fmt: skip
        axes[row][0].set_ylabel(name)
        axes[row][0].grid(alpha=0.3)
        if len(lines) > 1:
            axes[row][0].legend()
    axes[-1][0].set_xlabel(axis)
    figure.tight_layout()
    figure.savefig(picture, dpi=110)
    click.echo(f"{picture}: {len(found)} variants")

"""Ways to shed on the same days of the fluid model, beside the one that sees all.

    python benchmarks/overload.py [--plot docs/plots/overload.png] [--processes 4]

A day: calm for 15 s, so many times the capacity for a minute, then half of it. Figures are worth in time over
what the one who sees all serves.
"""

import multiprocessing
from pathlib import Path

import click

from lapistrestle.model import overload as model

WAYS = {
    "level": model.SharedLevel, "own figures": model.LocalLevel, "open door": model.NoLimit,
    "fixed limit each": model.FixedLimit, "retry budget each": model.RetryBudget,
}  # fmt: skip
LOADS = (0.5, 0.9, 1.2, 2.0, 3.0, 5.0, 10.0)
SIZES = (3, 12, 60, 200, 500)


def played(task: tuple[str, int, float]) -> tuple[str, int, float, list[float], list[float]]:
    """Way, dispatchers, load; parts in four windows; worth in time by second."""
    way, count, load = task
    day = model.Scenario(dispatchers=count, seconds=95, age=1.0 if count < 100 else 3.0,
                    load=lambda t: 0.7 if t < 15 else load if t < 75 else 0.5)  # fmt: skip
    story = model.simulate(day, WAYS[way])
    parts = [story.service_ratio(*window) for window in ((5, 15), (15, 25), (25, 75), (80, 90))]
    return way, count, load, parts, [story.service_ratio(t, t + 1) for t in range(90)]


@click.command()
@click.option("--plot", type=click.Path(path_type=Path))
@click.option("--processes", default=4, show_default=True)
def main(plot: Path | None, processes: int) -> None:
    """Play and print."""
    tasks = [("level", count, 3.0) for count in SIZES]
    tasks += [(way, 12, load) for way in WAYS for load in LOADS]
    with multiprocessing.Pool(processes) as pool:
        found = pool.map(played, dict.fromkeys(tasks), chunksize=1)
    click.echo("way, dispatchers, load: calm, first 10 s, after them, 5 to 15 s after the end")
    for way, count, load, parts, _ in found:
        click.echo(f"{way:18} {count:4} {load:5.1f}: " + "  ".join(f"{part:.3f}" for part in parts))
    if plot is not None:
        draw(found, plot)


def draw(found: list[tuple[str, int, float, list[float], list[float]]], path: Path) -> None:
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, (left, right) = pyplot.subplots(1, 2, figsize=(11, 4))
    for way in WAYS:
        rows = sorted((load, parts[2], seconds) for w, count, load, parts, seconds in found
                      if w == way and count == 12)  # fmt: skip
        left.plot([load for load, _, _ in rows], [part for _, part, _ in rows], marker="o", label=way)
        right.plot(next(seconds for load, _, seconds in rows if load == 3.0), label=way)
    left.set(xscale="log", xlabel="asked over capacity", ylabel="of what can be served, from 10 s on")
    right.set(xlabel="seconds; 3 times the capacity from 15 to 75", ylim=(0, 1.5))
    right.axvspan(15, 75, alpha=0.1)
    left.legend()
    figure.tight_layout()
    figure.savefig(path, dpi=90)


if __name__ == "__main__":
    main()

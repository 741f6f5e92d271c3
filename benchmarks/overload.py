"""Load shedding policies in the same scenarios of the fluid model, relative to an ideal policy.

    python benchmarks/overload.py [--plot docs/plots/overload.png] [--processes 4]

A scenario: 15 s below the capacity, a load of several times the capacity for a minute, then half of the
capacity. Figures are the gain served in time, relative to an ideal policy with global knowledge.
"""

import multiprocessing
from pathlib import Path

import click

from lapistrestle.model import overload as model

POLICIES = {
    "level": model.SharedLevel, "own figures": model.LocalLevel, "open door": model.NoLimit,
    "fixed limit each": model.FixedLimit, "retry budget each": model.RetryBudget,
}  # fmt: skip
LOADS = (0.5, 0.9, 1.2, 2.0, 3.0, 5.0, 10.0)
SIZES = (3, 12, 60, 200, 500)


def simulate(task: tuple[str, int, float]) -> tuple[str, int, float, list[float], list[float]]:
    """Return policy, dispatchers and load, and the service ratios in four windows and in each second."""
    policy, count, load = task
    scenario = model.Scenario(dispatchers=count, seconds=95, age=1.0 if count < 100 else 3.0,
                              load=lambda t: 0.7 if t < 15 else load if t < 75 else 0.5)  # fmt: skip
    result = model.simulate(scenario, POLICIES[policy])
    ratios = [result.service_ratio(*window) for window in ((5, 15), (15, 25), (25, 75), (80, 90))]
    return policy, count, load, ratios, [result.service_ratio(t, t + 1) for t in range(90)]


@click.command()
@click.option("--plot", type=click.Path(path_type=Path))
@click.option("--processes", default=4, show_default=True)
def main(plot: Path | None, processes: int) -> None:
    """Run the simulations and print the ratios."""
    tasks = [("level", count, 3.0) for count in SIZES]
    tasks += [(policy, 12, load) for policy in POLICIES for load in LOADS]
    with multiprocessing.Pool(processes) as pool:
        results = pool.map(simulate, dict.fromkeys(tasks), chunksize=1)
    click.echo("policy, dispatchers, load: before, first 10 s, after them, 5 to 15 s after the end")
    for policy, count, load, ratios, _ in results:
        click.echo(f"{policy:18} {count:4} {load:5.1f}: " + "  ".join(f"{ratio:.3f}" for ratio in ratios))
    if plot is not None:
        draw(results, plot)


def draw(results: list[tuple[str, int, float, list[float], list[float]]], path: Path) -> None:
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, (left, right) = pyplot.subplots(1, 2, figsize=(11, 4))
    for policy in POLICIES:
        rows = sorted((load, ratios[2], seconds) for other, count, load, ratios, seconds in results
                      if other == policy and count == 12)  # fmt: skip
        left.plot([load for load, _, _ in rows], [ratio for _, ratio, _ in rows], marker="o", label=policy)
        right.plot(next(seconds for load, _, seconds in rows if load == 3.0), label=policy)
    left.set(xscale="log", xlabel="demand over capacity", ylabel="fraction of the ideal, from 10 s on")
    right.set(xlabel="seconds; 3 times the capacity from 15 to 75", ylim=(0, 1.5))
    right.axvspan(15, 75, alpha=0.1)
    left.legend()
    figure.tight_layout()
    figure.savefig(path, dpi=90)


if __name__ == "__main__":
    main()

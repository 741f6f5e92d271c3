"""Simulated rollouts: this project's decisions compared with two baselines on the same random traffic.

    python benchmarks/rollout.py [--days 200] [--plot rollout.png]

*evidence* is the state machine of this project; *timer* takes a step every five minutes and rolls back at 30%
failures of the candidate in a minute; *threshold* does the same at 3%. In one minute of nine a fault of the
fleet raises the failure rates of both versions alike.
"""

from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

import click
import numpy as np
from rich.console import Console
from rich.table import Table

from lapistrestle.rollout.evidence import OutcomeCounts
from lapistrestle.rollout.state_machine import ANNOUNCEMENT_LEAD, Rollout, RolloutInput, RolloutState

STEPS = (0.01, 0.05, 0.25, 1.0)
MINUTE = 600_000  # ticks of 0.1 ms
MAX_MINUTES = 240


@dataclass
class RolloutResult:
    """How a simulated rollout ended."""

    settled: bool
    minutes: int
    bad: int  # failures of the candidate beyond those that the settled version would have had


def draw_minute(
    random: np.random.Generator, weight: float, rate: float, worse: float, calls: int
) -> OutcomeCounts:
    """Draw the counts of one minute; `rate` is the settled version's failure rate, `worse` the excess."""
    fault = 0.25 if random.random() < 1 / 9 else 0.0
    new = int(random.binomial(calls, weight))
    old_bad = int(random.binomial(calls - new, min(1.0, rate + fault)))
    return OutcomeCounts(calls - new, old_bad, new, int(random.binomial(new, min(1.0, rate + worse + fault))))


def by_evidence(random: np.random.Generator, worse: float, calls: int, rate: float = 0.01) -> RolloutResult:
    """Simulate a rollout by the project's state machine."""
    rollout = Rollout("f", "v1", "v2", STEPS, retention=0)
    rollout.handle(RolloutInput.START, 0)
    rollout.handle(RolloutInput.REPLICAS_READY, 0)
    harm = 0.0
    for minute in range(MAX_MINUTES):
        weight = min(rollout.weight, 0.5)  # at the last step, half of the traffic is the control group
        counts = draw_minute(random, weight, rate, worse, calls)
        harm += counts.candidate * worse
        rollout.evidence.add_report("e", "s", minute, counts)
        for at in (
            minute * MINUTE,
            minute * MINUTE + ANNOUNCEMENT_LEAD,
        ):  # a step is announced one second in advance
            rollout.evaluate(at, replicas_ready=True)
        if rollout.state not in (RolloutState.GROWING, RolloutState.HELD):
            return RolloutResult(rollout.state is RolloutState.SETTLED, minute + 1, round(harm))
    return RolloutResult(False, MAX_MINUTES, round(harm))


def by_schedule(
    random: np.random.Generator, worse: float, calls: int, max_failures: float, rate: float = 0.01
) -> RolloutResult:
    """Simulate a rollout with a step every five minutes and a rollback above a failure rate."""
    harm, step = 0.0, 0
    for minute in range(MAX_MINUTES):
        counts = draw_minute(random, min(STEPS[step], 0.5), rate, worse, calls)
        harm += counts.candidate * worse
        if counts.candidate and counts.candidate_bad / counts.candidate > max_failures:
            return RolloutResult(False, minute + 1, round(harm))
        if minute % 5 == 4:
            step += 1
            if step == len(STEPS):
                return RolloutResult(True, minute + 1, round(harm))
    return RolloutResult(False, MAX_MINUTES, round(harm))


Policy = Callable[[np.random.Generator, float, int], RolloutResult]
POLICIES: dict[str, Policy] = {
    "evidence": by_evidence,
    "timer": lambda random, worse, calls: by_schedule(random, worse, calls, 0.3),
    "threshold": lambda random, worse, calls: by_schedule(random, worse, calls, 0.03),
}


@click.command()
@click.option("--days", default=200, show_default=True)
@click.option("--calls", default=3_000, show_default=True, help="A minute, of this function.")
@click.option("--plot", type=click.Path(path_type=Path))
def main(days: int, calls: int, plot: Path | None) -> None:
    """Simulate the rollouts and print a table."""
    table = Table(title=f"{days} rollouts each, {calls} calls a minute, settled version bad in 1%")
    for head in ("way", "candidate worse by", "rolled back of 100", "settled of 100", "minutes to the end",
                 "bad answers let through, median", "90%"):  # fmt: skip
        table.add_column(head, justify="left" if head == "way" else "right")
    medians: dict[str, list[float]] = {policy: [] for policy in POLICIES}
    worses = (0.0, 0.01, 0.03, 0.1)
    for policy, simulate in POLICIES.items():
        for worse in worses:
            seeds = [(seed, round(worse * 1000)) for seed in range(days)]
            results = [simulate(np.random.default_rng(seed), worse, calls) for seed in seeds]
            settled = sum(result.settled for result in results)
            back = sum(not result.settled and result.minutes < MAX_MINUTES for result in results)
            bad, minutes = ([getattr(result, field) for result in results] for field in ("bad", "minutes"))
            medians[policy].append(float(np.median(bad)))
            table.add_row(
                policy, f"{worse:.0%}", f"{100 * back / days:.1f}", f"{100 * settled / days:.1f}",
                f"{np.median(minutes):.0f}", f"{np.median(bad):.0f}", f"{np.quantile(bad, 0.9):.0f}",
            )  # fmt: skip
    Console(width=120).print(table)
    if plot is not None:
        draw(plot, worses, medians)


def draw(path: Path, worses: tuple[float, ...], medians: dict[str, list[float]]) -> None:
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(7, 4))
    for policy, bad in medians.items():
        axes.plot([100 * w for w in worses], bad, marker="o", label=policy)
    axes.set_xlabel("candidate worse by, % of RPCs")
    axes.set_ylabel("bad answers let through, median")
    axes.set_yscale("symlog")
    axes.legend()
    figure.tight_layout()
    figure.savefig(path, dpi=120)


if __name__ == "__main__":
    main()

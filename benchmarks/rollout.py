"""Rollout decisions alone, on drawn traffic: the project's way beside two baselines on the same minutes.

    python benchmarks/rollout.py [--days 200] [--plot rollout.png]

*evidence* is the project's life of a rollout; *timer* grows every five minutes whatever happens and turns
back at 30% bad answers in a minute; *threshold* grows every five minutes and turns back when the
candidate's bad share of a minute is over 3%. The fleet has trouble of its own in one minute of nine: it
meets both versions alike.
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
MINUTE = 600_000  # tenths of a millisecond
LONGEST = 240  # minutes


@dataclass
class End:
    settled: bool
    minutes: int
    bad: int  # answers of the candidate that went badly, beyond what the settled version would have had


def drawn(random: np.random.Generator, share: float, rate: float, worse: float, calls: int) -> OutcomeCounts:
    """One minute."""
    shaken = 0.25 if random.random() < 1 / 9 else 0.0
    new = int(random.binomial(calls, share))
    old_bad = int(random.binomial(calls - new, min(1.0, rate + shaken)))
    return OutcomeCounts(
        calls - new, old_bad, new, int(random.binomial(new, min(1.0, rate + worse + shaken)))
    )


def evidence(random: np.random.Generator, worse: float, calls: int, rate: float = 0.01) -> End:
    made = Rollout("f", "v1", "v2", STEPS, retention=0)
    made.handle(RolloutInput.START, 0)
    made.handle(RolloutInput.REPLICAS_READY, 0)
    harm = 0.0
    for minute in range(LONGEST):
        share = min(made.weight, 0.5)  # at the last step half stays behind, as what it is judged by
        tally = drawn(random, share, rate, worse, calls)
        harm += tally.candidate * worse
        made.evidence.add_report("e", "s", minute, tally)
        for at in (
            minute * MINUTE,
            minute * MINUTE + ANNOUNCEMENT_LEAD,
        ):  # a step is told a second before it comes
            made.evaluate(at, replicas_ready=True)
        if made.state not in (RolloutState.GROWING, RolloutState.HELD):
            return End(made.state is RolloutState.SETTLED, minute + 1, round(harm))
    return End(False, LONGEST, round(harm))


def fixed(random: np.random.Generator, worse: float, calls: int, most: float, rate: float = 0.01) -> End:
    harm, step = 0.0, 0
    for minute in range(LONGEST):
        tally = drawn(random, min(STEPS[step], 0.5), rate, worse, calls)
        harm += tally.candidate * worse
        if tally.candidate and tally.candidate_bad / tally.candidate > most:
            return End(False, minute + 1, round(harm))
        if minute % 5 == 4:
            step += 1
            if step == len(STEPS):
                return End(True, minute + 1, round(harm))
    return End(False, LONGEST, round(harm))


Way = Callable[[np.random.Generator, float, int], End]
WAYS: dict[str, Way] = {
    "evidence": evidence,
    "timer": lambda random, worse, calls: fixed(random, worse, calls, 0.3),
    "threshold": lambda random, worse, calls: fixed(random, worse, calls, 0.03),
}


@click.command()
@click.option("--days", default=200, show_default=True)
@click.option("--calls", default=3_000, show_default=True, help="A minute, of this function.")
@click.option("--plot", type=click.Path(path_type=Path))
def main(days: int, calls: int, plot: Path | None) -> None:
    """Measure."""
    table = Table(title=f"{days} rollouts each, {calls} calls a minute, settled version bad in 1%")
    for head in ("way", "candidate worse by", "turned back of 100", "settled of 100", "minutes to the end",
                 "bad answers let through, median", "90%"):  # fmt: skip
        table.add_column(head, justify="left" if head == "way" else "right")
    shown: dict[str, list[float]] = {way: [] for way in WAYS}
    worses = (0.0, 0.01, 0.03, 0.1)
    for way, play in WAYS.items():
        for worse in worses:
            seeds = [(seed, round(worse * 1000)) for seed in range(days)]
            ends = [play(np.random.default_rng(seed), worse, calls) for seed in seeds]
            settled = sum(e.settled for e in ends)
            back = sum(not e.settled and e.minutes < LONGEST for e in ends)
            bad, minutes = ([getattr(e, what) for e in ends] for what in ("bad", "minutes"))
            shown[way].append(float(np.median(bad)))
            table.add_row(
                way, f"{worse:.0%}", f"{100 * back / days:.1f}", f"{100 * settled / days:.1f}",
                f"{np.median(minutes):.0f}", f"{np.median(bad):.0f}", f"{np.quantile(bad, 0.9):.0f}",
            )  # fmt: skip
    Console(width=120).print(table)
    if plot is not None:
        draw(plot, worses, shown)


def draw(path: Path, worses: tuple[float, ...], shown: dict[str, list[float]]) -> None:
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(7, 4))
    for way, bad in shown.items():
        axes.plot([100 * w for w in worses], bad, marker="o", label=way)
    axes.set_xlabel("candidate worse by, % of RPCs")
    axes.set_ylabel("bad answers let through, median")
    axes.set_yscale("symlog")
    axes.legend()
    figure.tight_layout()
    figure.savefig(path, dpi=120)


if __name__ == "__main__":
    main()

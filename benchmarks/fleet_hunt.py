"""Random days of a fleet in virtual time, each with a few troubles at once, judged by the rules from the tape.

    python benchmarks/fleet_hunt.py [--days 1000] [--first 1] [--cores 8]

Prints each day that broke a rule with its script, and what all of them came to. Not part of CI.
"""

import json
import random
import sys
import time
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import Any

import click
import json5

sys.path.insert(0, str(Path(__file__).parent.parent / "tests"))
from days import EXAMPLES, Played, day

KINDS: dict[str, dict[str, Any]] = {
    "edges_apart": {"share": (0.2, 0.8)},
    "edges_deaf": {"share": (0.1, 0.5)},
    "edges_lossy": {"share": (0.05, 0.4), "by": ("ms", 10, 500)},
    "balancer_stall": {"share": (0.1, 0.5)},
    "edge_kill": {"share": (0.1, 0.8)},
    "burst": {"factor": (2.0, 20.0)},
    "retry_abuse": {"share": (0.1, 0.6)},
    "zone_loss": {"zone": "first"},
    "preempt": {"share": (0.2, 0.9)},
    "deploy": {"share": (0.2, 0.8)},
    "slow": {"share": (0.1, 0.6), "factor": (2.0, 8.0)},
    "fast_errors": {"share": (0.1, 0.6)},
    "silent": {"share": (0.1, 0.5)},
    "store_slow": {"factor": (2.0, 10.0)},
}


def drawn(seed: int) -> dict[str, Any]:
    """The day of that seed."""
    draw = random.Random(seed)
    like = draw.choice(["slots", "thumbs", "archive"])
    made = json5.loads((EXAMPLES / f"{like}.json5").read_text())
    made["allowed"]["peers"] = False
    made["fleet"] = {"name": "hunted", "port": 1}
    troubles = []
    for kind in draw.sample(sorted(KINDS), draw.choice([1, 2, 2, 3])):
        trouble: dict[str, Any] = {"kind": kind, "at": f"{draw.randint(10, 80) * 100} ms",
                                   "lasts": f"{draw.randint(10, 60) * 100} ms"}  # fmt: skip
        for name, bounds in KINDS[kind].items():
            if bounds == "first":
                trouble[name] = made["zones"][0]
            elif bounds[0] == "ms":
                trouble[name] = f"{draw.randint(bounds[1], bounds[2])} ms"
            else:
                trouble[name] = round(draw.uniform(*bounds), 2)
        troubles.append(trouble)
    edges, rate = draw.choice([2, 3, 5, 8, 12]), draw.choice([20, 60, 120, 200])
    script = day(like, troubles, seed, length="14 s", edges=edges, traffic={"rate": rate, "functions": 15})
    return script | {"deployment": made}


def one(seed: int) -> tuple[int, list[str], list[str], int]:
    script = drawn(seed)
    played = Played(script)
    raised = [str(figures) for what, figures in played.logs if "raised" in what]
    return seed, [f"{b.rule}: {b.says}" for b in played.breaches()], raised, len(played.story.calls)


@click.command()
@click.option("--days", default=1_000, show_default=True)
@click.option("--first", default=1, show_default=True, help="Seed of the first day.")
@click.option("--cores", default=8, show_default=True)
def main(days: int, first: int, cores: int) -> None:
    began, broken, failed, calls = time.monotonic(), 0, 0, 0
    with ProcessPoolExecutor(cores) as pool:
        for seed, breaches, raised, count in pool.map(one, range(first, first + days)):
            calls += count
            broken += bool(breaches)
            failed += bool(raised)
            if breaches or raised:
                click.echo(f"day {seed}: {breaches[:3]} {raised[:1]}\n  {json.dumps(drawn(seed)['troubles'])}")
    took = time.monotonic() - began
    click.echo(f"{days} days from seed {first}: {broken} broke a rule, {failed} raised, {calls} calls, {took:.0f} s")


if __name__ == "__main__":
    main()

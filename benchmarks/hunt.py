"""Runs random days with overlapping faults in virtual time and reports each that violates a rule.

    python benchmarks/hunt.py [--days 300] [--first 0] [--rollouts] [--fleet] [--directory] [--processes 8]

With --rollouts each day also has a rollout that an operator rolls back, and the planner may be killed or
stalled at any moment. With --fleet two to twelve edges form a fleet, and their gossip is subject to faults.
With --directory edges learn of workers from directory holders, which fail as well, in prefixes of random
length. A day is determined by its number alone: replay a failed one with --first N --days 1.
"""

import io
import multiprocessing
import random
import traceback
import typing
from pathlib import Path
from typing import Any

import click
import msgspec

from lapistrestle.checks.rules import check_rules
from lapistrestle.checks.service import measure_service
from lapistrestle.checks.trace import Trace
from lapistrestle.deployment.load import read_json5
from lapistrestle.standins.play import play_virtual
from lapistrestle.standins.script import FaultKind, parse_day

EXAMPLES = Path(__file__).parent.parent / "examples"
KINDS = [kind for kind in typing.get_args(FaultKind) if not kind.startswith("planner")]
CONNECTION_FAULTS = ("silent", "delayed", "split", "garbled", "broken")


def add_fleet(script: dict[str, Any], rng: random.Random) -> None:
    """Makes the day's edges one fleet, with a fault between them and bursts of up to 20 times the traffic."""
    deployment, _ = read_json5(EXAMPLES / script["deployment"])
    deployment["allowed"]["peers"] = False
    script["deployment"] = deployment | {"fleet": {"name": "hunted", "port": 1}}
    script["edges"] = rng.choice((2, 3, 5, 8, 12))
    script["traffic"]["rate"] = rng.choice((20, 60, 120, 200))
    for fault in script["troubles"]:
        if fault["kind"] == "burst":
            fault["factor"] = rng.choice((2.0, 6.0, 20.0))
    kind = rng.choice(("edges_apart", "edges_deaf", "edges_lossy", "edge_kill", "balancer_stall"))
    at, lasts = (f"{rng.uniform(0.5, latest):.2f} s" for latest in (9, 6))
    share = rng.choice((0.2, 0.5, 0.7))
    script["troubles"].append({"kind": kind, "at": at, "lasts": lasts, "share": share})


def add_directory(script: dict[str, Any], rng: random.Random) -> None:
    """Adds directory holders to the day, with one or two faults of theirs."""
    deployment = script["deployment"]
    if isinstance(deployment, str):
        deployment, _ = read_json5(EXAMPLES / deployment)
    zones = deployment["zones"]
    copies = rng.choice((1, 2, 3))
    shards = [
        [{"port": 1 + copies * n + c, "zone": zones[c % len(zones)]} for c in range(copies)]
        for n in range(rng.choice((1, 2)))
    ]
    directory = {"shards": shards, "first_count": rng.choice((1, 2, 8)), "idle": "4 s"}
    script["deployment"] = deployment | {"directory": directory}
    for _ in range(rng.choice((1, 2))):
        kind = rng.choice(("holder_stall", "holder_kill", "directory_cut"))
        at, lasts = f"{rng.uniform(0.2, 10):.2f} s", f"{rng.choice((0.4, 1, 3, 6))} s"
        share = rng.choice((0.3, 0.6, 1.0))
        script["troubles"].append({"kind": kind, "at": at, "lasts": lasts, "share": share})


def random_script(
    number: int, rollouts: bool, fleet: bool = False, directory: bool = False
) -> dict[str, Any]:
    """Draws the script of one day from its number."""
    rng = random.Random(number)
    faults = []
    for kind in rng.sample(KINDS, rng.choice((1, 2, 2, 3, 4))):
        fault: dict[str, Any] = {"kind": kind, "at": f"{rng.uniform(1, 10):.2f} s"}
        fault |= {"lasts": f"{rng.choice((0.4, 1, 3, 6))} s", "share": rng.choice((0.2, 0.4, 0.8))}
        if kind in CONNECTION_FAULTS:
            fault["on"] = rng.choice(("runners", "roster", "clients"))
            fault["by"] = rng.choice(("50 ms", "300 ms", "2 s"))
        faults.append(fault)
    script: dict[str, Any] = {
        "name": f"hunt-{number}",
        "deployment": f"{rng.choice(('slots', 'archive', 'thumbs'))}.json5",
        "length": "14 s",
        "seed": number,
        "fleet": {
            "quick": {"count": 5, "cores": 4, "speed": 1.4, "memory": 8000},
            "plain": {"count": 4, "cores": 2, "speed": 0.9, "memory": 6000},
        },
        "store": {"fetches": 8, "limit": 40},
        "roster_lag": "1 s",
        "traffic": {"rate": rng.choice((40, 60, 90)), "functions": 20},
        "troubles": faults,
    }
    if fleet:
        add_fleet(script, rng)
    if rollouts:
        rollback_at = rng.uniform(6, 11)
        version_fault = rng.choice(({}, {"errors": 0.1}, {"slower": 5}))
        version: dict[str, Any] = {
            "at": "2 s",
            "back": f"{rollback_at:.3f} s",
            "steps": [50, 100],
            "wrong": version_fault,
        }
        script["rollouts"] = [version]
        if rng.random() < 0.5:  # an operator advances it, possibly past settling, and rolls it back later
            version |= {"steps": [20, 60, 100], "advance": ["5 s", "7 s", "9 s", "11 s"]}
            version |= {"back": f"{rollback_at + 5:.3f} s", "remembered": rng.choice(("6 s", "1 min"))}
            rollback_at, script["length"] = rollback_at + 5, "20 s"
        script["traffic"] |= {"functions": 3, "popularity": 1.2}
        if (
            "slots" not in script["deployment"] and rng.random() < 0.4
        ):  # calls with idempotency keys, retried by clients
            name = "store" if "archive" in script["deployment"] else "publish"
            script["traffic"] |= {"methods": {name: {}}, "patience": [0.1, 0.5], "retries": 4}
        kind = rng.choice(("planner_kill", "planner_stall", ""))
        if kind:
            at = max(0.1, rollback_at + rng.choice((0.0, 0.0002, 0.0006, 0.3, -0.4, -2.0)))
            faults.append({"kind": kind, "at": f"{at:.4f} s", "lasts": f"{rng.uniform(0.3, 3):.2f} s"})
    if directory:
        add_directory(script, rng)
    return script


def run_day(task: tuple[int, bool, bool, bool]) -> tuple[int, list[str], float]:
    """Runs one day; returns its number, the violations and errors, and the service ratio."""
    number, rollouts, fleet, directory = task
    logs: list[str] = []

    def log(what: str, **figures: Any) -> None:
        if what in ("module raised", "deadline guarded"):
            logs.append(f"{what}: {figures}"[:300])

    try:
        day, deployment = parse_day(
            random_script(number, rollouts, fleet, directory), path=EXAMPLES / "day.json5"
        )
        sink = io.BytesIO()
        world = play_virtual(day, deployment, sink, log)
        decode = msgspec.json.Decoder(dict[str, Any]).decode
        trace = Trace(decode(line) for line in sink.getvalue().splitlines())
        violations = [
            f"{b.rule}, at {b.at:.0f} ms: {b.message}" for rule in check_rules(trace) for b in rule.violations
        ]
        if world.clients.open:
            violations.append(f"{world.clients.open} clients still wait")
        return number, violations + logs, measure_service(trace).total
    except Exception:
        return number, [traceback.format_exc()[-600:]], 0.0


@click.command()
@click.option("--days", default=300, show_default=True)
@click.option("--first", default=0, show_default=True)
@click.option("--rollouts", is_flag=True)
@click.option("--fleet", is_flag=True)
@click.option("--directory", is_flag=True)
@click.option("--processes", default=8, show_default=True)
def main(days: int, first: int, rollouts: bool, fleet: bool, directory: bool, processes: int) -> None:
    """Runs the days and reports the violations."""
    tasks = [(number, rollouts, fleet, directory) for number in range(first, first + days)]
    failed_days, service = 0, 0.0
    with multiprocessing.Pool(processes) as pool:
        for number, violations, total in pool.imap_unordered(run_day, tasks):
            service += total
            if violations:
                failed_days += 1
                click.echo(f"day {number}: {len(violations)} broken, first: {violations[0]}")
    click.echo(f"{days} days, {failed_days} with a broken rule, mean service {service / days:.3f}")
    raise SystemExit(1 if failed_days else 0)


if __name__ == "__main__":
    main()

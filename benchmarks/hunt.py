"""Plays random days of overlapping troubles in virtual time and reports each that breaks a rule.

    python benchmarks/hunt.py [--days 300] [--first 0] [--rollouts] [--fleet] [--directory] [--processes 8]

With --rollouts each day also has a rollout that an operator takes back, and the planner may be killed or
stand still at any moment. With --fleet two to twelve edges are one, and what they say is broken too. With
--directory edges are told of workers by holders, which fail too, in short prefixes or longer ones. A day is
drawn from its number alone, so one that is found is played again by --first N --days 1.
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
SOCKETS = ("silent", "delayed", "split", "garbled", "broken")


def fleet_of(script: dict[str, Any], chance: random.Random) -> None:
    """Make the day's edges one fleet, with a trouble between them, and far too much traffic at times."""
    deployment, _ = read_json5(EXAMPLES / script["deployment"])
    deployment["allowed"]["peers"] = False
    script["deployment"] = deployment | {"fleet": {"name": "hunted", "port": 1}}
    script["edges"] = chance.choice((2, 3, 5, 8, 12))
    script["traffic"]["rate"] = chance.choice((20, 60, 120, 200))
    for trouble in script["troubles"]:
        if trouble["kind"] == "burst":
            trouble["factor"] = chance.choice((2.0, 6.0, 20.0))
    kind = chance.choice(("edges_apart", "edges_deaf", "edges_lossy", "edge_kill", "balancer_stall"))
    at, lasts = (f"{chance.uniform(0.5, most):.2f} s" for most in (9, 6))
    share = chance.choice((0.2, 0.5, 0.7))
    script["troubles"].append({"kind": kind, "at": at, "lasts": lasts, "share": share})


def directory_of(script: dict[str, Any], chance: random.Random) -> None:
    """Have holders tell the day's edges of workers, with one or two troubles of theirs."""
    deployment = script["deployment"]
    if isinstance(deployment, str):
        deployment, _ = read_json5(EXAMPLES / deployment)
    zones = deployment["zones"]
    copies = chance.choice((1, 2, 3))
    shards = [
        [{"port": 1 + copies * n + c, "zone": zones[c % len(zones)]} for c in range(copies)]
        for n in range(chance.choice((1, 2)))
    ]
    directory = {"shards": shards, "first_count": chance.choice((1, 2, 8)), "idle": "4 s"}
    script["deployment"] = deployment | {"directory": directory}
    for _ in range(chance.choice((1, 2))):
        kind = chance.choice(("holder_stall", "holder_kill", "directory_cut"))
        at, lasts = f"{chance.uniform(0.2, 10):.2f} s", f"{chance.choice((0.4, 1, 3, 6))} s"
        share = chance.choice((0.3, 0.6, 1.0))
        script["troubles"].append({"kind": kind, "at": at, "lasts": lasts, "share": share})


def drawn(number: int, rollouts: bool, fleet: bool = False, directory: bool = False) -> dict[str, Any]:
    """The script of one day."""
    chance = random.Random(number)
    troubles = []
    for kind in chance.sample(KINDS, chance.choice((1, 2, 2, 3, 4))):
        trouble: dict[str, Any] = {"kind": kind, "at": f"{chance.uniform(1, 10):.2f} s"}
        trouble |= {"lasts": f"{chance.choice((0.4, 1, 3, 6))} s", "share": chance.choice((0.2, 0.4, 0.8))}
        if kind in SOCKETS:
            trouble["on"] = chance.choice(("runners", "roster", "clients"))
            trouble["by"] = chance.choice(("50 ms", "300 ms", "2 s"))
        troubles.append(trouble)
    script: dict[str, Any] = {
        "name": f"hunt-{number}",
        "deployment": f"{chance.choice(('slots', 'archive', 'thumbs'))}.json5",
        "length": "14 s",
        "seed": number,
        "fleet": {
            "quick": {"count": 5, "cores": 4, "speed": 1.4, "memory": 8000},
            "plain": {"count": 4, "cores": 2, "speed": 0.9, "memory": 6000},
        },
        "store": {"fetches": 8, "limit": 40},
        "roster_lag": "1 s",
        "traffic": {"rate": chance.choice((40, 60, 90)), "functions": 20},
        "troubles": troubles,
    }
    if fleet:
        fleet_of(script, chance)
    if rollouts:
        back = chance.uniform(6, 11)
        wrong = chance.choice(({}, {"errors": 0.1}, {"slower": 5}))
        version: dict[str, Any] = {"at": "2 s", "back": f"{back:.3f} s", "steps": [50, 100], "wrong": wrong}
        script["rollouts"] = [version]
        if chance.random() < 0.5:  # an operator pushes it on, past settling at times, and takes it back then
            version |= {"steps": [20, 60, 100], "advance": ["5 s", "7 s", "9 s", "11 s"]}
            version |= {"back": f"{back + 5:.3f} s", "remembered": chance.choice(("6 s", "1 min"))}
            back, script["length"] = back + 5, "20 s"
        script["traffic"] |= {"functions": 3, "popularity": 1.2}
        if "slots" not in script["deployment"] and chance.random() < 0.4:  # all with a token, coming back
            name = "store" if "archive" in script["deployment"] else "publish"
            script["traffic"] |= {"methods": {name: {}}, "patience": [0.1, 0.5], "retries": 4}
        kind = chance.choice(("planner_kill", "planner_stall", ""))
        if kind:
            at = max(0.1, back + chance.choice((0.0, 0.0002, 0.0006, 0.3, -0.4, -2.0)))
            troubles.append({"kind": kind, "at": f"{at:.4f} s", "lasts": f"{chance.uniform(0.3, 3):.2f} s"})
    if directory:
        directory_of(script, chance)
    return script


def played(task: tuple[int, bool, bool, bool]) -> tuple[int, list[str], float]:
    """Number, what was broken, service."""
    number, rollouts, fleet, directory = task
    logs: list[str] = []

    def log(what: str, **figures: Any) -> None:
        if what in ("module raised", "deadline guarded"):
            logs.append(f"{what}: {figures}"[:300])

    try:
        day, deployment = parse_day(drawn(number, rollouts, fleet, directory), path=EXAMPLES / "day.json5")
        sink = io.BytesIO()
        world = play_virtual(day, deployment, sink, log)
        decode = msgspec.json.Decoder(dict[str, Any]).decode
        story = Trace(decode(line) for line in sink.getvalue().splitlines())
        broken = [
            f"{b.rule}, at {b.at:.0f} ms: {b.message}" for rule in check_rules(story) for b in rule.violations
        ]
        if world.clients.open:
            broken.append(f"{world.clients.open} clients still wait")
        return number, broken + logs, measure_service(story).total
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
    """Hunt."""
    tasks = [(number, rollouts, fleet, directory) for number in range(first, first + days)]
    found, service = 0, 0.0
    with multiprocessing.Pool(processes) as pool:
        for number, broken, total in pool.imap_unordered(played, tasks):
            service += total
            if broken:
                found += 1
                click.echo(f"day {number}: {len(broken)} broken, first: {broken[0]}")
    click.echo(f"{days} days, {found} with a broken rule, mean service {service / days:.3f}")
    raise SystemExit(1 if found else 0)


if __name__ == "__main__":
    main()

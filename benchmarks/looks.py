"""Plays single small days of the operators' bench over many seeds and tells each in one row of a table.

    python benchmarks/looks.py LBREAL SITE roll+mass:1-10 split+mass:1-10 soak:1-3 [--nodes 30] [--together 3]

A day is named as `--rough` takes it, with its seeds. The rows say what was seen, also of a day that failed,
ended early or ran late; a single small day is a look and not a verdict. The same words play the same days
again, so that what was seen before a change stands beside what was seen after it.
"""

import json
import os
import subprocess
import sys
import tempfile
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from queue import SimpleQueue
from typing import Any

import click

READY = 10.0  # seconds within which nine in ten restarted ones are ready
THIRD = 0.3  # of what the late-seeing policy serves, in each third of a day

HEADS = (
    "day", "seed", "nodes", "rules", "served (floor)", "class nearest its floor", "tenant", "thirds (floor)",
    "ready in 10 s", "left, waited; sent on", "G",
)  # fmt: skip


def days_of(words: tuple[str, ...]) -> Iterator[tuple[str, int]]:
    """Raises ValueError."""
    for word in words:
        kind, _, seeds = word.partition(":")
        first, _, last = seeds.partition("-")
        for seed in range(int(first), int(last or first) + 1):
            yield kind, seed


def nearest(parts: list[list[Any]]) -> str:
    """The part that is nearest to its floor, as the report names it: name, served, floor."""
    known = [part for part in parts if part[2]]
    if not known:
        return "-"
    name, served, floor = min(known, key=lambda part: part[1] / part[2])
    return f"{name} {served:.2f} ({floor:.2f}{'' if served >= floor else ', BELOW'})"


def thirds(report: dict[str, Any]) -> str:
    windows, row = report["windows"], report["row"]
    if len(windows) < 3 or not row.get("served_late"):
        return "-"
    floor, shares = THIRD * row["served_late"], []
    for part in range(3):
        own = windows[part * len(windows) // 3 : (part + 1) * len(windows) // 3]
        offered = sum(window["worth_offered"] for window in own)
        shares.append(sum(window["worth_served"] for window in own) / max(offered, 1e-9))
    below = "" if min(shares) >= floor else ", BELOW"
    return " ".join(f"{share:.2f}" for share in shares) + f" ({floor:.2f}{below})"


def broken(report: dict[str, Any]) -> str:
    row = report["row"]
    told = [f"{rule} {count}" for rule, count in row["rules"].items() if count]
    told += [f"fault: {report['fault']}"] if report["fault"] else []
    told += ["not sound"] if not report["real"].get("sound", True) else []
    told += ["ran late"] if not row.get("fair", True) else []
    return ", ".join(told) or "kept"


def row_of(kind: str, seed: int, nodes: int, report: dict[str, Any]) -> str:
    row, seen = report["row"], report["real"]["seen"]
    least = row.get("served_least") or 0.0
    took = seen["restart_s"]
    ready = f"{sum(s <= READY for s in took)} of {len(took)}" if took else "-"
    cells = (
        kind, seed, row.get("balancers", nodes), broken(report),
        f"{report['whole']:.2f} ({least:.2f}{'' if report['whole'] >= least else ', BELOW'})",
        nearest(row.get("by_class") or []), nearest(row.get("by_tenant") or []), thirds(report), ready,
        f"{seen['gone_waiting']} {seen['taken_on']}", f"{report['g']:.3f}",
    )  # fmt: skip
    return "| " + " | ".join(str(cell) for cell in cells) + " |"


def own_cores(together: int) -> SimpleQueue[str]:
    """Cores for each of the days that share the machine, so that none waits for another's."""
    cores, free = os.cpu_count() or 1, SimpleQueue[str]()
    each = max(1, cores // together)
    for first in range(together):
        free.put(",".join(str((first * each + i) % cores) for i in range(each)))
    return free


def play(
    bench: str, site: str, kind: str, seed: int, nodes: int, free: SimpleQueue[str], more: tuple[str, ...]
) -> str:
    cores = free.get()
    try:
        return told(bench, site, kind, seed, nodes, ("--cpus", cores, *more))
    finally:
        free.put(cores)


def told(bench: str, site: str, kind: str, seed: int, nodes: int, more: tuple[str, ...]) -> str:
    with tempfile.TemporaryDirectory() as folder:
        out = Path(folder) / "report.json"
        words = [bench, site, "--rough", kind, "--seed", str(seed), "--json", str(out), "--no-build", *more]
        words += ["--nodes", str(nodes)] if "mass" in kind else []
        done = subprocess.run(words, capture_output=True, text=True, check=False)
        if not out.exists():
            why = (done.stderr.strip() or done.stdout.strip()).splitlines()[-1:]
            return f"| {kind} | {seed} | {nodes} | NO REPORT, exit {done.returncode}: {' '.join(why)[:160]} |"
        try:
            return row_of(kind, seed, nodes, json.loads(out.read_text()))
        except (KeyError, TypeError, ValueError) as trouble:
            return f"| {kind} | {seed} | {nodes} | REPORT NOT UNDERSTOOD: {trouble!r} |"


@click.command()
@click.argument("bench")
@click.argument("site")
@click.argument("days", nargs=-1, required=True)
@click.option("--nodes", default=30)
@click.option("--together", default=3, help="Days that share the machine.")
@click.option("--more", multiple=True, help="A further word for the bench, as it is.")
def main(
    bench: str, site: str, days: tuple[str, ...], nodes: int, together: int, more: tuple[str, ...]
) -> None:
    """Play the days and print the table; fails where a row tells of a broken rule or a missing report."""
    try:
        wanted = list(days_of(days))
    except ValueError:
        raise click.UsageError(f"{' '.join(days)}: a day is KIND:SEED or KIND:FIRST-LAST") from None
    print("| " + " | ".join(HEADS) + " |\n" + "| --- " * len(HEADS) + "|")
    bad, free = 0, own_cores(together)
    with ThreadPoolExecutor(together) as pool:
        for line in pool.map(lambda day: play(bench, site, day[0], day[1], nodes, free, more), wanted):
            bad += "| kept |" not in line or "BELOW" in line
            print(line, flush=True)
    print(f"\n{len(wanted)} days, {bad} with a broken rule, a floor missed or no report")
    sys.exit(bad > 0)


if __name__ == "__main__":
    main()

"""Runs short days of an external acceptance test (BENCH) over many seeds; prints a table with a row per day.

    python benchmarks/looks.py LBREAL SITE roll+mass:1-10 split+mass:1-10 soak:1-3 [--nodes 30] [--together 3]

A day is named as the test's `--rough` option takes it, with its seeds. A row reports the observations, also
for a day that failed, ended early or ran late; a single short day is no verdict. The same arguments run the
same days again, to compare before and after a change.
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

READY_SECONDS = 10.0  # nine in ten restarted dispatchers are ready within this time
THIRD_SHARE = 0.3  # floor in each third of a day, as a share of what a policy with late information serves

COLUMNS = (
    "day", "seed", "nodes", "rules", "served (floor)", "class nearest its floor", "tenant", "thirds (floor)",
    "ready in 10 s", "left, waited; sent on", "G",
)  # fmt: skip


def parse_days(args: tuple[str, ...]) -> Iterator[tuple[str, int]]:
    """Yields kind and seed for each KIND:SEED or KIND:FIRST-LAST; raises ValueError for other arguments."""
    for arg in args:
        kind, _, seeds = arg.partition(":")
        first, _, last = seeds.partition("-")
        for seed in range(int(first), int(last or first) + 1):
            yield kind, seed


def closest_to_floor(parts: list[list[Any]]) -> str:
    """Describes the part closest to its floor; each part in the report is (name, served, floor)."""
    known = [part for part in parts if part[2]]
    if not known:
        return "-"
    name, served, floor = min(known, key=lambda part: part[1] / part[2])
    return f"{name} {served:.2f} ({floor:.2f}{'' if served >= floor else ', BELOW'})"


def thirds(report: dict[str, Any]) -> str:
    """Shows the served share of the offered worth in each third of the day, and its floor."""
    windows, row = report["windows"], report["row"]
    if len(windows) < 3 or not row.get("served_late"):
        return "-"
    floor, shares = THIRD_SHARE * row["served_late"], []
    for part in range(3):
        own = windows[part * len(windows) // 3 : (part + 1) * len(windows) // 3]
        offered = sum(window["worth_offered"] for window in own)
        shares.append(sum(window["worth_served"] for window in own) / max(offered, 1e-9))
    below = "" if min(shares) >= floor else ", BELOW"
    return " ".join(f"{share:.2f}" for share in shares) + f" ({floor:.2f}{below})"


def violations_of(report: dict[str, Any]) -> str:
    """Lists violated rules and other defects of the run; "kept" if there are none."""
    row = report["row"]
    found = [f"{rule} {count}" for rule, count in row["rules"].items() if count]
    found += [f"fault: {report['fault']}"] if report["fault"] else []
    found += ["not sound"] if not report["real"].get("sound", True) else []
    found += ["ran late"] if not row.get("fair", True) else []
    return ", ".join(found) or "kept"


def format_row(kind: str, seed: int, nodes: int, report: dict[str, Any]) -> str:
    row, seen = report["row"], report["real"]["seen"]
    floor = row.get("served_least") or 0.0
    restart_seconds = seen["restart_s"]
    ready = (
        f"{sum(s <= READY_SECONDS for s in restart_seconds)} of {len(restart_seconds)}"
        if restart_seconds
        else "-"
    )
    cells = (
        kind, seed, row.get("balancers", nodes), violations_of(report),
        f"{report['whole']:.2f} ({floor:.2f}{'' if report['whole'] >= floor else ', BELOW'})",
        closest_to_floor(row.get("by_class") or []), closest_to_floor(row.get("by_tenant") or []),
        thirds(report), ready,
        f"{seen['gone_waiting']} {seen['taken_on']}", f"{report['g']:.3f}",
    )  # fmt: skip
    return "| " + " | ".join(str(cell) for cell in cells) + " |"


def core_groups(together: int) -> SimpleQueue[str]:
    """Divides the cores among the days that run in parallel, so that they don't share any."""
    cores, free_groups = os.cpu_count() or 1, SimpleQueue[str]()
    each = max(1, cores // together)
    for first in range(together):
        free_groups.put(",".join(str((first * each + i) % cores) for i in range(each)))
    return free_groups


def run_on_own_cores(
    bench: str,
    site: str,
    kind: str,
    seed: int,
    nodes: int,
    free_groups: SimpleQueue[str],
    more: tuple[str, ...],
) -> str:
    cores = free_groups.get()
    try:
        return run_day(bench, site, kind, seed, nodes, ("--cpus", cores, *more))
    finally:
        free_groups.put(cores)


def run_day(bench: str, site: str, kind: str, seed: int, nodes: int, more: tuple[str, ...]) -> str:
    with tempfile.TemporaryDirectory() as folder:
        out = Path(folder) / "report.json"
        args = [bench, site, "--rough", kind, "--seed", str(seed), "--json", str(out), "--no-build", *more]
        args += ["--nodes", str(nodes)] if "mass" in kind else []
        done = subprocess.run(args, capture_output=True, text=True, check=False)
        if not out.exists():
            output = (done.stderr.strip() or done.stdout.strip()).splitlines()[-1:]
            return (
                f"| {kind} | {seed} | {nodes} | NO REPORT, exit {done.returncode}: {' '.join(output)[:160]} |"
            )
        try:
            return format_row(kind, seed, nodes, json.loads(out.read_text()))
        except (KeyError, TypeError, ValueError) as error:
            return f"| {kind} | {seed} | {nodes} | REPORT NOT UNDERSTOOD: {error!r} |"


@click.command()
@click.argument("bench")
@click.argument("site")
@click.argument("days", nargs=-1, required=True)
@click.option("--nodes", default=30)
@click.option("--together", default=3, help="Days to run in parallel.")
@click.option("--more", multiple=True, help="Another argument to pass to BENCH unchanged.")
def main(
    bench: str, site: str, days: tuple[str, ...], nodes: int, together: int, more: tuple[str, ...]
) -> None:
    """Runs the days and prints the table; fails if a rule was violated, a floor missed or a report absent."""
    try:
        selected = list(parse_days(days))
    except ValueError:
        raise click.UsageError(f"{' '.join(days)}: a day is KIND:SEED or KIND:FIRST-LAST") from None
    print("| " + " | ".join(COLUMNS) + " |\n" + "| --- " * len(COLUMNS) + "|")
    failed, free_groups = 0, core_groups(together)
    with ThreadPoolExecutor(together) as pool:
        for line in pool.map(
            lambda day: run_on_own_cores(bench, site, day[0], day[1], nodes, free_groups, more), selected
        ):
            failed += "| kept |" not in line or "BELOW" in line
            print(line, flush=True)
    print(f"\n{len(selected)} days, {failed} with a broken rule, a floor missed or no report")
    sys.exit(failed > 0)


if __name__ == "__main__":
    main()

"""Random schedules of watchers, holders and a roster in virtual time, outside CI.

    python benchmarks/directory_schedules.py --seeds 1000

Violations are printed with their seed; replay one with --first N --seeds 1.
"""

import time
from collections import Counter
from multiprocessing import Pool

import click

from lapistrestle.standins.directory_world import run_simulation

MAX_SHOWN_VIOLATIONS = 3  # violations printed per seed


def run_seed(seed: int) -> tuple[int, list[str], dict[str, int], list[int], int]:
    world = run_simulation(seed)
    views = [view for watcher in world.watchers for view in watcher.views]
    lookups = [length for view in views for length in view.lookups]
    return seed, world.breaches.found, world.counts, lookups, sum(view.failed for view in views)


@click.command()
@click.option("--seeds", default=1_000, show_default=True)
@click.option("--first", default=0, show_default=True, help="The first seed.")
@click.option("--cores", default=3, show_default=True)
def main(seeds: int, first: int, cores: int) -> None:
    began, broken, failed = time.monotonic(), 0, 0
    faults, lookups = Counter[str](), list[int]()
    with Pool(cores) as pool:
        days = pool.imap(run_seed, range(first, first + seeds), chunksize=5)
        for seed, violations, counts, found, missed in days:
            faults.update(counts)
            lookups += found
            failed += missed
            if violations:
                broken += 1
                click.echo(f"seed {seed}: {len(violations)} breaches")
                for violation in violations[:MAX_SHOWN_VIOLATIONS]:
                    click.echo(f"  {violation}")
    lookups.sort()
    took = time.monotonic() - began
    click.echo(f"{seeds} schedules in {took:.0f} s: {broken} broken; faults: {dict(sorted(faults.items()))}")
    if lookups:
        median, high = lookups[len(lookups) // 2] / 10, lookups[len(lookups) * 99 // 100] / 10
        click.echo(f"{len(lookups)} look-ups: p50 {median} ms, p99 {high} ms; {failed} failed")


if __name__ == "__main__":
    main()

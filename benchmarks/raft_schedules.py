"""Many random simulations of a Raft group, outside CI; violated invariants are printed with their seeds.

python benchmarks/raft_schedules.py --days 10000
"""

import time
from multiprocessing import Pool

import click

from lapistrestle.agreement.raft import RaftSettings
from lapistrestle.standins.raft_cluster import FaultRates, RaftCluster

MODERATE_FAULTS = FaultRates(loss=0.1, kills=0.8, cuts=0.6, stalls=0.4)
HEAVY_FAULTS = FaultRates(
    loss=0.2, duplicated=0.2, kills=6, cuts=4, stalls=2, late=0.1, slow=600, requests=100, downtime=(1, 300)
)
SHORT_TIMEOUTS = RaftSettings(election_timeout=300, heartbeat_interval=80, max_batch=1)


def simulate(seed: int) -> tuple[int, list[str], int, int, int]:
    """Return the seed, the violations, and the numbers of crashes, commits and reads of one simulation.

    Odd seeds have heavy faults and short timeouts, which cause frequent elections. Each simulation ends
    without faults, after which all members must have the same log.
    """
    heavy = bool(seed % 2)
    cluster = RaftCluster(
        3 + 2 * (seed // 2 % 2),
        seed,
        HEAVY_FAULTS if heavy else MODERATE_FAULTS,
        settings=SHORT_TIMEOUTS if heavy else None,
    )
    cluster.day(10)
    cluster.run_without_faults(8)
    violations = list(cluster.invariants.breaches)
    logs = [cluster.members[name].entries[: cluster.invariants.acknowledged] for name in cluster.names]
    if not violations and any(log != logs[0] for log in logs):
        violations.append("the members' logs differ after a period without faults")
    return seed, violations, cluster.kills, len(cluster.invariants.agreed), cluster.done_reads


@click.command()
@click.option("--days", default=1_000, show_default=True)
@click.option("--first", default=0, show_default=True, help="The first seed.")
@click.option("--cores", default=4, show_default=True)
def main(days: int, first: int, cores: int) -> None:
    """Run the simulations and print a summary."""
    started_at, failed, sums = time.monotonic(), 0, [0, 0, 0]
    with Pool(cores) as pool:
        seeds = range(first, first + days)
        for seed, violations, *figures in pool.imap_unordered(simulate, seeds, chunksize=20):
            sums = [a + b for a, b in zip(sums, figures, strict=True)]
            if violations:
                failed += 1
                click.echo(f"seed {seed}: {violations[0]}")
    crashes, commits, reads = sums
    duration = time.monotonic() - started_at
    figures_text = f"{failed} failed, {crashes} crashes, {commits} commits, {reads} reads"
    click.echo(f"{days} days in {duration:.0f} s: {figures_text}")


if __name__ == "__main__":
    main()

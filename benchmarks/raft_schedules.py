"""Many random days of a Raft group, outside CI: what breaks is named with its seed.

python benchmarks/raft_schedules.py --days 10000
"""

import time
from multiprocessing import Pool

import click

from lapistrestle.agreement.raft import RaftSettings
from lapistrestle.standins.raft_cluster import FaultRates, RaftCluster

ROUGH = FaultRates(loss=0.1, kills=0.8, cuts=0.6, stalls=0.4)
WILD = FaultRates(
    loss=0.2, doubled=0.2, kills=6, cuts=4, stalls=2, late=0.1, slow=600, asks=100, back=(1, 300)
)
HASTY = RaftSettings(election_timeout=300, heartbeat_interval=80, max_batch=1)


def play(seed: int) -> tuple[int, list[str], int, int, int]:
    """Odd seeds play wild days, with leaders chosen all the time; every day ends calm, and all agree then."""
    wild = bool(seed % 2)
    made = RaftCluster(
        3 + 2 * (seed // 2 % 2), seed, WILD if wild else ROUGH, settings=HASTY if wild else None
    )
    made.day(10)
    made.calm(8)
    found = list(made.invariants.breaches)
    logs = [made.members[name].entries[: made.invariants.acknowledged] for name in made.names]
    if not found and any(log != logs[0] for log in logs):
        found.append("not all hold what is agreed, when all is calm")
    return seed, found, made.kills, len(made.invariants.agreed), made.done_reads


@click.command()
@click.option("--days", default=1_000, show_default=True)
@click.option("--first", default=0, show_default=True, help="The first seed.")
@click.option("--cores", default=4, show_default=True)
def main(days: int, first: int, cores: int) -> None:
    began, broken, sums = time.monotonic(), 0, [0, 0, 0]
    with Pool(cores) as pool:
        for seed, found, *figures in pool.imap_unordered(play, range(first, first + days), chunksize=20):
            sums = [a + b for a, b in zip(sums, figures, strict=True)]
            if found:
                broken += 1
                click.echo(f"seed {seed}: {found[0]}")
    kills, agreed, reads = sums
    took = time.monotonic() - began
    click.echo(f"{days} days in {took:.0f} s: {broken} broken, {kills} kills, {agreed} agreed, {reads} reads")


if __name__ == "__main__":
    main()

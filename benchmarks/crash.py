"""Crash test of the journal's storage: kills a writer hundreds of times, with sqlite3 (used by the journal)
and with lmdb for comparison.

    python benchmarks/crash.py [--kills 300]

A writer appends groups of three entries and prints the number of entries once a group is persisted. After
each kill all acknowledged entries must be there, in order, and no group may be partial. Also reports how many
groups are written per second.
"""

import os
import random
import signal
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import click
import lmdb
from rich.console import Console
from rich.table import Table

from lapistrestle.store.journal import Journal

SQLITE_WRITER = """
import sys
from pathlib import Path
from lapistrestle.store.journal import Journal
journal = Journal(Path(sys.argv[1]))
last = sum(1 for _ in journal.entries())
while True:
    last = journal.append([f"{last + i}:{'x' * 1000}".encode() for i in (1, 2, 3)])
    print(last, flush=True)
"""
LMDB_WRITER = """
import sys, lmdb
database = lmdb.open(sys.argv[1], map_size=2**31, subdir=False)
last = database.stat()["entries"]
while True:
    with database.begin(write=True) as writing:
        for i in (1, 2, 3):
            writing.put(f"{last + i:012}".encode(), f"{last + i}:{'x' * 1000}".encode())
    last += 3
    print(last, flush=True)
"""


def read_sqlite(path: Path) -> list[bytes]:
    journal = Journal(path)
    found = [entry for _, entry in journal.entries()]
    journal.close()
    return found


def read_lmdb(path: Path) -> list[bytes]:
    database = lmdb.open(str(path), map_size=2**31, subdir=False)
    with database.begin() as reading:
        found = [bytes(value) for _, value in reading.cursor()]
    database.close()
    return found


@click.command()
@click.option("--kills", default=300, show_default=True)
def main(kills: int) -> None:
    """Kills the writers and prints the results."""
    table = Table(title=f"{kills} kills each")
    for head in ("store", "groups acknowledged", "lost", "partial groups", "groups per second", "MB"):
        table.add_column(head, justify="left" if head == "store" else "right")
    for name, writer, read in (("sqlite3", SQLITE_WRITER, read_sqlite), ("lmdb", LMDB_WRITER, read_lmdb)):
        with tempfile.TemporaryDirectory() as folder:
            path, rng = Path(folder) / "store", random.Random(1)
            acknowledged = lost = partial = 0
            write_seconds = 0.0
            for _ in range(kills):
                child = subprocess.Popen([sys.executable, "-c", writer, str(path)], stdout=subprocess.PIPE)
                assert child.stdout
                first = int(child.stdout.readline())
                started = time.monotonic()
                time.sleep(rng.uniform(0, 0.02))
                os.kill(child.pid, signal.SIGKILL)
                write_seconds += time.monotonic() - started
                lines = [line for line in child.stdout.read().split(b"\n")[:-1] if line]
                child.wait()
                acknowledged = int(lines[-1]) if lines else first
                found = [entry.split(b":")[0] for entry in read(path)]
                is_complete = found == [str(n).encode() for n in range(1, len(found) + 1)]
                lost += max(0, acknowledged - len(found)) + (not is_complete)
                partial += len(found) % 3 != 0
            size = sum(file.stat().st_size for file in Path(folder).iterdir()) / 1e6
            rate = acknowledged / 3 / max(write_seconds, 1e-9)
            table.add_row(name, str(acknowledged // 3), str(lost), str(partial), f"{rate:.0f}", f"{size:.0f}")
    Console(width=100).print(table)


if __name__ == "__main__":
    main()

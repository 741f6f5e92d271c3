"""Kills a writer in the middle of its work, hundreds of times: sqlite3 as the journal uses it, and lmdb
beside it.

    python benchmarks/crash.py [--kills 300]

A writer appends groups of three entries and says each number once it was told that it is on disk. After
each kill all that was said must be there, in order, and no group in part. Also: groups written a second.
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

SQLITE = """
import sys
from pathlib import Path
from lapistrestle.store.journal import Journal
journal = Journal(Path(sys.argv[1]))
last = sum(1 for _ in journal.entries())
while True:
    last = journal.append([f"{last + i}:{'x' * 1000}".encode() for i in (1, 2, 3)])
    print(last, flush=True)
"""
LMDB = """
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


def from_sqlite(path: Path) -> list[bytes]:
    journal = Journal(path)
    found = [entry for _, entry in journal.entries()]
    journal.close()
    return found


def from_lmdb(path: Path) -> list[bytes]:
    database = lmdb.open(str(path), map_size=2**31, subdir=False)
    with database.begin() as reading:
        found = [bytes(value) for _, value in reading.cursor()]
    database.close()
    return found


@click.command()
@click.option("--kills", default=300, show_default=True)
def main(kills: int) -> None:
    """Measure."""
    table = Table(title=f"{kills} kills each")
    for head in ("store", "groups said to be on disk", "lost", "groups in part", "groups a second", "MB"):
        table.add_column(head, justify="left" if head == "store" else "right")
    for name, writer, read in (("sqlite3", SQLITE, from_sqlite), ("lmdb", LMDB, from_lmdb)):
        with tempfile.TemporaryDirectory() as folder:
            path, chance = Path(folder) / "store", random.Random(1)
            said = lost = part = 0
            spent = 0.0
            for _ in range(kills):
                child = subprocess.Popen([sys.executable, "-c", writer, str(path)], stdout=subprocess.PIPE)
                assert child.stdout
                first = int(child.stdout.readline())
                began = time.monotonic()
                time.sleep(chance.uniform(0, 0.02))
                os.kill(child.pid, signal.SIGKILL)
                spent += time.monotonic() - began
                lines = [line for line in child.stdout.read().split(b"\n")[:-1] if line]
                child.wait()
                said = int(lines[-1]) if lines else first
                found = [entry.split(b":")[0] for entry in read(path)]
                whole = found == [str(n).encode() for n in range(1, len(found) + 1)]
                lost += max(0, said - len(found)) + (not whole)
                part += len(found) % 3 != 0
            size = sum(file.stat().st_size for file in Path(folder).iterdir()) / 1e6
            rate = said / 3 / max(spent, 1e-9)
            table.add_row(name, str(said // 3), str(lost), str(part), f"{rate:.0f}", f"{size:.0f}")
    Console(width=100).print(table)


if __name__ == "__main__":
    main()

"""Measures a directory holder as a process with a given number of instances: time to load the complete list,
memory, and latency of lookups.

    python benchmarks/directory_holder.py 10000 76000

Loopback only; the roster is a thread of this process that sends one list. Terminates by itself.
"""

import json
import re
import socket
import statistics
import sys
import tempfile
import threading
import time
from pathlib import Path
from typing import Any

from lapistrestle.standins.child_processes import ChildProcess, free_tcp_ports
from lapistrestle.wire import messages
from lapistrestle.wire.directory import DIRECTORY

TIMEOUT = 300.0  # seconds
LOOKUPS = 500
PREFIX = 8  # instances


def entry(number: int) -> messages.RosterEntry:
    """An instance with names of typical length and a size from 1 to 4."""
    name = f"worker-{number:06d}"
    return messages.RosterEntry(
        name, 20_000 + number % 40_000, f"zone-{number % 12}", number % 50, "quad", 1.0 + number % 4,
        "serving", f"{name}#0", 60_000.0 + number,
    )  # fmt: skip


class Roster:
    """Sends the complete list in answer to each subscription or request."""

    def __init__(self, instances: int) -> None:
        self.list = (
            messages.encode(messages.RosterSnapshot(1, [entry(n) for n in range(instances)], "e1")) + b"\n"
        )
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.port: int = self.listener.getsockname()[1]
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self) -> None:
        while True:
            connection, _ = self.listener.accept()
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, connection: socket.socket) -> None:
        connection.sendall(messages.encode(messages.Hello(messages.ROSTER, messages.VERSION)) + b"\n")
        for line in connection.makefile():
            if json.loads(line)["is"] in ("follow", "ask"):
                connection.sendall(self.list)


class Watcher:
    """A connection to the holder."""

    def __init__(self, port: int) -> None:
        self.socket = socket.create_connection(("127.0.0.1", port), TIMEOUT)
        self.lines = self.socket.makefile()
        self.send("hello", protocol=DIRECTORY, version=messages.VERSION)

    def send(self, kind: str, **fields: object) -> None:
        self.socket.sendall(json.dumps({"is": kind, **fields}).encode() + b"\n")

    def next(self, kind: str) -> dict[str, Any]:
        for line in self.lines:
            message: dict[str, Any] = json.loads(line)
            if message["is"] == kind:
                return message
        raise EOFError("the holder closed")


def memory(pid: int, what: str) -> float:
    """`VmRSS` or `VmHWM` of a process, in MB."""
    (found,) = re.findall(rf"{what}:\s*(\d+) kB", Path(f"/proc/{pid}/status").read_text())
    return int(found) / 1024


def wait_until_known(port: int) -> None:
    """Wait until the holder has applied the complete list. Raises TimeoutError after `PATIENCE`."""
    until = time.monotonic() + TIMEOUT
    while time.monotonic() < until:
        watcher = Watcher(port)
        watcher.send("show")
        if watcher.next("shown")["body"]["knowledge"] == "fresh":
            return
        time.sleep(0.1)
    raise TimeoutError("the list was not taken")


def measure(instances: int, folder: Path) -> str:
    """Measure one size. Returns a row of the table."""
    roster, (port,) = Roster(instances), free_tcp_ports(1)
    settings = {"directory": {"shards": [[{"port": port}]]}, "serve": {"port": port},
                "roster": {"port": roster.port}}  # fmt: skip
    file = folder / "holder.json5"
    file.write_text(json.dumps(settings))
    holder = ChildProcess(folder, "holder", "directory", "serve", str(file))
    holder.start()
    try:
        holder.wait_port()
        started_at = time.monotonic()
        wait_until_known(port)
        loaded_after, child = time.monotonic() - started_at, holder.process
        assert child is not None
        watcher, times = Watcher(port), []
        for number in range(LOOKUPS):
            requested_at = time.perf_counter()
            watcher.send("watch", id=number, shard=0, epoch=1, function=f"fn-{number}", count=PREFIX)
            watcher.next("snapshot")
            times.append((time.perf_counter() - requested_at) * 1_000)
        median, high = statistics.median(times), statistics.quantiles(times, n=100)[-1]
        sizes = f"{len(roster.list) / 1e6:.1f} | {loaded_after:.1f} | {memory(child.pid, 'VmRSS'):.0f}"
        return f"| {instances:,} | {sizes} | {memory(child.pid, 'VmHWM'):.0f} | {median:.2f} | {high:.2f} |"
    finally:
        holder.kill()


def main() -> None:
    print("| instances | list, MB | taken after, s | memory, MB | at most, MB | look-up p50, ms | p99, ms |")
    print("| --- | --- | --- | --- | --- | --- | --- |")
    for count in map(int, sys.argv[1:] or ["1000", "10000", "76000"]):
        with tempfile.TemporaryDirectory() as folder:
            print(measure(count, Path(folder)), flush=True)


if __name__ == "__main__":
    main()

"""Runs real dispatchers on loopback, with roster, workers and clients in one process.

These reply as the hollow ones do, so that the two can be compared. Each worker listens on its own port.
`Group.stop` ends all of them in bounded time.
"""

import asyncio
import contextlib
import signal
import time
from pathlib import Path
from typing import Any

import json5
import msgspec
import psutil

from benchmarks.scale import hollow
from lapistrestle.standins.child_processes import ChildProcess
from lapistrestle.wire import messages as wire
from lapistrestle.wire.json_lines import message_decoder

HOST = "127.0.0.1"
TO_ROSTER = message_decoder(wire.ToRoster)
MAX_LINE_BYTES = 64 * 1024 * 1024
DIAL_TIMEOUT = "5 s"
CONNECT_TIMEOUT = 30.0  # seconds until all connections are open


class Peer:
    """Base of the servers: sends a greeting, then handles each line received."""

    def __init__(self) -> None:
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def listen(self) -> int:
        self.server = await asyncio.start_server(self.handle_connection, HOST, 0, limit=MAX_LINE_BYTES)
        port: int = self.server.sockets[0].getsockname()[1]
        return port

    async def handle_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            self.greet(writer)
            while line := await reader.readline():
                self.line_received(writer, line)
        self.writers.discard(writer)
        writer.close()

    def greet(self, writer: asyncio.StreamWriter) -> None: ...
    def line_received(self, writer: asyncio.StreamWriter, line: bytes) -> None: ...

    def stop(self) -> None:
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.close()


def send_message(writer: asyncio.StreamWriter, message: wire.Message) -> None:
    if not writer.is_closing():
        writer.write(wire.encode(message) + b"\n")


class Worker(Peer):
    """One instance; it replies as `hollow.Workers` does."""

    def __init__(self, name: str, start: str) -> None:
        super().__init__()
        self.name, self.start = name, start
        self.loaded: set[str] = set()

    def greet(self, writer: asyncio.StreamWriter) -> None:
        send_message(
            writer, wire.Hello(wire.RUNNER, wire.VERSION, self.name, start=self.start, up_for=3_600_000.0)
        )

    def line_received(self, writer: asyncio.StreamWriter, line: bytes) -> None:
        message = hollow.FROM_EDGE_TO_WORKER.decode(line)
        loop = asyncio.get_running_loop()
        match message:
            case wire.Run():
                delay = hollow.ANSWER_AFTER + (0 if message.function in self.loaded else hollow.LOAD_AFTER)
                self.loaded.add(message.function)
                loop.call_later(delay / 1e6, send_message, writer, wire.RunFinished(message.call_id, "ok"))
            case wire.PreloadRequest():
                send_message(writer, wire.PreloadResult(message.preload_id, "ok", message.count))


class RealRoster(Peer):
    """Sends the full list on subscription, and changes on request."""

    def __init__(self, entries: list[wire.RosterEntry]) -> None:
        super().__init__()
        self.entries, self.number = entries, 0

    def greet(self, writer: asyncio.StreamWriter) -> None:
        send_message(writer, wire.Hello(wire.ROSTER, wire.VERSION, "roster"))

    def line_received(self, writer: asyncio.StreamWriter, line: bytes) -> None:
        if isinstance(TO_ROSTER.decode(line), wire.RosterSubscribe | wire.RosterRequest):
            send_message(writer, wire.RosterSnapshot(self.number, self.entries, "epoch"))

    def send_update(self, entry: wire.RosterEntry) -> None:
        self.number += 1
        for writer in self.writers:
            send_message(writer, wire.RosterUpdate(self.number, [entry], "epoch"))


class Client:
    """One connection to a dispatcher; counts verdicts."""

    def __init__(self) -> None:
        self.verdicts = dict.fromkeys(("ok", "denied", "aborted"), 0)
        self.count = 0
        self.writer: asyncio.StreamWriter
        self.task: asyncio.Task[None]

    async def connect(self, port: int) -> None:
        reader, self.writer = await asyncio.open_connection(HOST, port, limit=MAX_LINE_BYTES)
        send_message(self.writer, wire.Hello(wire.CLIENT, wire.VERSION, "client"))
        self.task = asyncio.create_task(self.read(reader))

    async def read(self, reader: asyncio.StreamReader) -> None:
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            while line := await reader.readline():
                message = hollow.FROM_EDGE_TO_CLIENT.decode(line)
                if isinstance(message, wire.Answer):
                    self.verdicts[message.verdict] += 1

    def call(self, function: str) -> None:
        self.count += 1
        send_message(self.writer, wire.Call(str(self.count), function, "check", 3_000.0, memory=100.0))


class Group:
    """Real dispatchers that subscribe to one roster of `instances` workers."""

    def __init__(self, folder: Path, label: str, dispatchers: int, instances: int) -> None:
        self.folder, self.label, self.instances = folder, label, instances
        self.workers: list[Worker] = []
        self.roster = RealRoster([])
        self.children = [ChildProcess(folder, f"{label}-{n}", *self.args(n)) for n in range(dispatchers)]
        self.clients = [Client() for _ in self.children]

    def args(self, number: int) -> tuple[str, ...]:
        return ("edge", str(self.folder / f"{self.label}-{number}.json5"))

    async def start(self) -> None:
        for number in range(self.instances):
            entry = hollow.entry(number)
            worker = Worker(entry.name, entry.start)
            port = await worker.listen()
            self.workers.append(worker)
            self.roster.entries.append(msgspec.structs.replace(entry, port=port))
        roster_port = await self.roster.listen()
        for number, child in enumerate(self.children):
            settings = hollow.settings(len(self.children), number, roster_port)
            settings["allowed"]["dial"] = DIAL_TIMEOUT  # one process accepts all connections at once
            (self.folder / f"{self.label}-{number}.json5").write_text(json5.dumps(settings))
            child.start()
        await self.wait_until(lambda: all(child.port() for child in self.children), "ports")
        wanted = len(self.children)
        await self.wait_until(lambda: all(len(w.writers) == wanted for w in self.workers), "connections")
        for child, client in zip(self.children, self.clients, strict=True):
            await client.connect(child.port())

    async def wait_until(self, done: Any, what: str) -> None:
        deadline = time.monotonic() + CONNECT_TIMEOUT
        while not done():
            if time.monotonic() > deadline:
                raise TimeoutError(f"{self.label}: no {what} within {CONNECT_TIMEOUT:.0f} s")
            await asyncio.sleep(0.05)

    def processes(self) -> list[psutil.Process]:
        return [psutil.Process(child.process.pid) for child in self.children if child.process is not None]

    def memory(self) -> list[float]:
        """Resident bytes of each dispatcher."""
        return [float(process.memory_info().rss) for process in self.processes()]

    def cpu_seconds(self) -> list[float]:
        """CPU seconds of each dispatcher since its start."""
        times = [process.cpu_times() for process in self.processes()]
        return [spent.user + spent.system for spent in times]

    async def measure_load(self, seconds: float, calls: float, changes: float, functions: int) -> list[float]:
        """CPU usage in cores of each dispatcher under `calls` and `changes` per second."""
        before, started_at, calls_sent, changes_sent = self.cpu_seconds(), time.monotonic(), 0, 0
        while (now := time.monotonic() - started_at) < seconds:
            while calls_sent < now * calls:
                calls_sent += 1
                for client in self.clients:
                    client.call(f"function-{calls_sent % functions}")
            while changes_sent < now * changes:
                changes_sent += 1
                self.roster.send_update(size_change(self.roster.entries, changes_sent))
            await asyncio.sleep(0.005)
        elapsed = time.monotonic() - started_at
        return [
            (after - earlier) / elapsed for after, earlier in zip(self.cpu_seconds(), before, strict=True)
        ]

    def stop(self) -> None:
        for client in self.clients:
            if hasattr(client, "writer"):
                client.writer.close()
        for child in self.children:
            child.send_signal(signal.SIGTERM)
        for child in self.children:
            child.stop()
        for peer in (*self.workers, self.roster):
            peer.stop()


def size_change(entries: list[wire.RosterEntry], number: int) -> wire.RosterEntry:
    """A change of the size of one of the first eight instances, in turn."""
    entry = entries[number % min(8, len(entries))]
    return msgspec.structs.replace(entry, size=1.0 + 0.01 * (number % 7 + 1))

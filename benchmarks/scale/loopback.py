"""A driver for real dispatchers on loopback: roster, workers and clients in one process.

They answer as the hollow ones do, so that the two can be compared.

Each worker listens on a port of its own. Everything ends with `stop`, in bounded time.
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
LIMIT = 64 * 1024 * 1024  # bytes of a line
PATIENT = "5 s"  # a dial's time-out
SETTLE = 30.0  # seconds that the connections may take


class Peer:
    """What all servers share: greet, then answer each line."""

    def __init__(self) -> None:
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def listen(self) -> int:
        self.server = await asyncio.start_server(self.meet, HOST, 0, limit=LIMIT)
        port: int = self.server.sockets[0].getsockname()[1]
        return port

    async def meet(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            self.greet(writer)
            while line := await reader.readline():
                self.heard(writer, line)
        self.writers.discard(writer)
        writer.close()

    def greet(self, writer: asyncio.StreamWriter) -> None: ...
    def heard(self, writer: asyncio.StreamWriter, line: bytes) -> None: ...

    def stop(self) -> None:
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.close()


def say(writer: asyncio.StreamWriter, message: wire.Message) -> None:
    if not writer.is_closing():
        writer.write(wire.encode(message) + b"\n")


class Worker(Peer):
    """One instance; it answers as `hollow.Workers` does."""

    def __init__(self, name: str, start: str) -> None:
        super().__init__()
        self.name, self.start = name, start
        self.loaded: set[str] = set()

    def greet(self, writer: asyncio.StreamWriter) -> None:
        say(writer, wire.Hello(wire.RUNNER, wire.VERSION, self.name, start=self.start, up_for=3_600_000.0))

    def heard(self, writer: asyncio.StreamWriter, line: bytes) -> None:
        message = hollow.FROM_EDGE_TO_WORKER.decode(line)
        loop = asyncio.get_running_loop()
        match message:
            case wire.Run():
                wait = hollow.ANSWER_AFTER + (0 if message.function in self.loaded else hollow.LOAD_AFTER)
                self.loaded.add(message.function)
                loop.call_later(wait / 1e6, say, writer, wire.RunFinished(message.call_id, "ok"))
            case wire.PreloadRequest():
                say(writer, wire.PreloadResult(message.preload_id, "ok", message.count))


class RealRoster(Peer):
    """Tells the whole list, and changes when told to."""

    def __init__(self, entries: list[wire.RosterEntry]) -> None:
        super().__init__()
        self.entries, self.number = entries, 0

    def greet(self, writer: asyncio.StreamWriter) -> None:
        say(writer, wire.Hello(wire.ROSTER, wire.VERSION, "roster"))

    def heard(self, writer: asyncio.StreamWriter, line: bytes) -> None:
        if isinstance(TO_ROSTER.decode(line), wire.RosterSubscribe | wire.RosterRequest):
            say(writer, wire.RosterSnapshot(self.number, self.entries, "epoch"))

    def tell(self, entry: wire.RosterEntry) -> None:
        self.number += 1
        for writer in self.writers:
            say(writer, wire.RosterUpdate(self.number, [entry], "epoch"))


class Client:
    """One connection to a dispatcher; counts verdicts."""

    def __init__(self) -> None:
        self.verdicts = dict.fromkeys(("ok", "denied", "aborted"), 0)
        self.count = 0
        self.writer: asyncio.StreamWriter
        self.task: asyncio.Task[None]

    async def connect(self, port: int) -> None:
        reader, self.writer = await asyncio.open_connection(HOST, port, limit=LIMIT)
        say(self.writer, wire.Hello(wire.CLIENT, wire.VERSION, "client"))
        self.task = asyncio.create_task(self.read(reader))

    async def read(self, reader: asyncio.StreamReader) -> None:
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            while line := await reader.readline():
                message = hollow.FROM_EDGE_TO_CLIENT.decode(line)
                if isinstance(message, wire.Answer):
                    self.verdicts[message.verdict] += 1

    def call(self, function: str) -> None:
        self.count += 1
        say(self.writer, wire.Call(str(self.count), function, "check", 3_000.0, memory=100.0))


class Group:
    """Some real dispatchers that follow one roster of `instances` workers."""

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
            settings["allowed"]["dial"] = PATIENT  # all connections are made at once, by one process here
            (self.folder / f"{self.label}-{number}.json5").write_text(json5.dumps(settings))
            child.start()
        await self.until(lambda: all(child.port() for child in self.children), "ports")
        wanted = len(self.children)
        await self.until(lambda: all(len(w.writers) == wanted for w in self.workers), "connections")
        for child, client in zip(self.children, self.clients, strict=True):
            await client.connect(child.port())

    async def until(self, done: Any, what: str) -> None:
        ends = time.monotonic() + SETTLE
        while not done():
            if time.monotonic() > ends:
                raise TimeoutError(f"{self.label}: no {what} within {SETTLE:.0f} s")
            await asyncio.sleep(0.05)

    def processes(self) -> list[psutil.Process]:
        return [psutil.Process(child.child.pid) for child in self.children if child.child is not None]

    def memory(self) -> list[float]:
        """Resident bytes of each dispatcher."""
        return [float(process.memory_info().rss) for process in self.processes()]

    def processor(self) -> list[float]:
        """Processor seconds of each dispatcher since its start."""
        times = [process.cpu_times() for process in self.processes()]
        return [spent.user + spent.system for spent in times]

    async def spend(self, seconds: float, calls: float, changes: float, functions: int) -> list[float]:
        """Processor seconds a second of each dispatcher under calls and changes a second."""
        before, began, made, told = self.processor(), time.monotonic(), 0, 0
        while (now := time.monotonic() - began) < seconds:
            while made < now * calls:
                made += 1
                for client in self.clients:
                    client.call(f"function-{made % functions}")
            while told < now * changes:
                told += 1
                self.roster.tell(flapping(self.roster.entries, told))
            await asyncio.sleep(0.005)
        took = time.monotonic() - began
        return [(after - earlier) / took for after, earlier in zip(self.processor(), before, strict=True)]

    def stop(self) -> None:
        for client in self.clients:
            if hasattr(client, "writer"):
                client.writer.close()
        for child in self.children:
            child.send(signal.SIGTERM)
        for child in self.children:
            child.stop()
        for peer in (*self.workers, self.roster):
            peer.stop()


def flapping(entries: list[wire.RosterEntry], number: int) -> wire.RosterEntry:
    """The first instances of the list change their size, one after the other."""
    entry = entries[number % min(8, len(entries))]
    return msgspec.structs.replace(entry, size=1.0 + 0.01 * (number % 7 + 1))

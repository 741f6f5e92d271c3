"""A dispatcher in a process of its own on loopback; its board, runners and clients in one asyncio loop."""

import asyncio
import json
import os
import signal
import subprocess
import sys
import time
from base64 import b64encode
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from lapistrestle.node import fastcgi
from lapistrestle.standins.platform import begin_request, board_frame, board_row, free_port

SERVING, DRAINING, GONE = 0, 1, 2  # states of a runner on the board
SNAPSHOT, CHANGES = 1, 2  # kinds of the board's events
HOST = "127.0.0.1"
READY_WITHIN = 30.0  # seconds
SAMPLE_INTERVAL = 0.01  # seconds between two samples of the memory
BYTES_PER_MB = 1e6
FUNCTION = "7f3a9c21e0b4d655"
SETTINGS: dict[str, Any] = {
    "balancers": 1,
    "zones": ["east", "west"],
    "models": ["std"],
    "profiles": [
        {"name": "search", "aim": 1_200_000, "deadline": 3_000_000, "idempotency": "idempotent"},
        {"name": "publish", "aim": 1_200_000, "deadline": 3_000_000, "idempotency": "deduplicated",
         "dedup-scope": "cell", "repeat-window": 3_000_000},
        {"name": "bill", "aim": 1_200_000, "deadline": 3_000_000, "idempotency": "at_most_once"},
    ],
    "limits": {"try-limit": 4, "cancel": True, "may-probe": True, "parallel-tries": False,
               "streams-per-conn": 32, "conn-idle": 15_000_000, "dial-timeout": 250_000, "max-open": 20_000},
    "rules": {"cold-from": 0.2, "ramp-time": 5_000_000, "fall": 2_000_000, "fall-multiple": 4.0,
              "drain-grace": 2_000_000},
    "reporting": {"how": "on_probe", "names": ["outstanding", "utilization"]},
    "family-info": {"placement-calls": False, "when-absent": "load"},
}  # fmt: skip


@dataclass
class Run:
    """A call that a runner received."""

    id: str
    runner: int
    cell: int
    at: float  # on the monotonic clock


class RunnerConnection(asyncio.Protocol):
    """A dispatcher's connection to a runner."""

    def __init__(self, runner: "LiveRunner") -> None:
        self.runner = runner
        self.buffer = b""
        self.transport: Any = None

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        self.runner.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.runner.connections.discard(self)

    def data_received(self, data: bytes) -> None:
        *lines, self.buffer = (self.buffer + data).split(b"\n")
        for line in lines:
            self.runner.message_received(self, json.loads(line))

    def reply(self, verb: str, rid: str, **more: Any) -> None:
        if not self.transport.is_closing():
            self.transport.write(json.dumps({"verb": verb, "rid": rid, **more}).encode() + b"\n")


class LiveRunner:
    """One runner; a call takes `work` seconds."""

    def __init__(self, number: int, cell: int, work: float, runs: list[Run]) -> None:
        self.number, self.cell, self.work, self.runs = number, cell, work, runs
        self.connections = set[RunnerConnection]()
        self.server: Any = None
        self.port = 0
        self.body: str | None = None  # of the answers, in base64; None: the call's

    async def listen(self, port: int = 0) -> None:
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(
            lambda: RunnerConnection(self), HOST, port, backlog=1024, reuse_address=True
        )
        self.port = self.server.sockets[0].getsockname()[1]

    def row(self, state: int = SERVING) -> bytes:
        """The runner's record on the board."""
        return board_row(self.number, self.port, state, cell=self.cell)

    def message_received(self, connection: RunnerConnection, message: dict[str, Any]) -> None:
        verb, rid = message["verb"], message["rid"]
        if verb == "RUN":
            self.runs.append(Run(rid, self.number, self.cell, time.monotonic()))
            content = self.body or message["content"]
            loop = asyncio.get_running_loop()
            loop.call_later(self.work, lambda: connection.reply("200", rid, content=content))
        elif verb in ("INFO", "NOOP"):
            connection.reply("alive", rid, attrs={"use": "inflight:1;util:0.2"})

    def die(self) -> None:
        """End as a process does: nobody listens any more, and its connections are reset."""
        self.server.close()
        for connection in list(self.connections):
            connection.transport.abort()


class BoardConnection(asyncio.Protocol):
    """A dispatcher's watch."""

    def __init__(self, board: "LiveBoard") -> None:
        self.board = board
        self.transport: Any = None

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        last = int.from_bytes(data[:8], "big")
        for number, event in enumerate(self.board.events, start=1):
            if number > last:
                self.transport.write(event)
        self.transport.write(self.board.heartbeat())
        self.board.watches.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.board.watches.discard(self)


class LiveBoard:
    """The notice board."""

    def __init__(self) -> None:
        self.events: list[bytes] = []
        self.watches = set[BoardConnection]()
        self.port = 0

    async def listen(self) -> None:
        server = await asyncio.get_running_loop().create_server(lambda: BoardConnection(self), HOST, 0)
        self.port = server.sockets[0].getsockname()[1]
        self.beats = asyncio.create_task(self.send_heartbeats())

    def heartbeat(self) -> bytes:
        return board_frame(len(self.events), 0)

    async def send_heartbeats(self) -> None:
        while True:
            await asyncio.sleep(1.0)
            self.send(self.heartbeat())

    def send(self, data: bytes) -> None:
        for watch in self.watches:
            watch.transport.write(data)

    def publish(self, kind: int, *rows: bytes) -> None:
        self.events.append(board_frame(len(self.events) + 1, kind, *rows))
        self.send(self.events[-1])


def encode_request(
    number: int, call_id: str, method: str = "search", patience_ms: int = 2_000, body: bytes = b"hello",
    function: str = FUNCTION, is_whole: bool = True, **more: Any,
) -> bytes:  # fmt: skip
    """A request's records; `more` are further parameters by their CGI names."""
    fields = {
        "SCRIPT_NAME": f"/invoke/{method}",
        "HTTP_X_CALL_ID": call_id,
        "HTTP_X_PATIENCE_MS": str(patience_ms),
        "HTTP_X_ENTITY": function,
        "HTTP_X_WEIGHT_MS": "50",
    } | more
    params = b"".join(fastcgi.encode_pair(name.encode(), value.encode()) for name, value in fields.items())
    records = begin_request(number) + fastcgi.encode_record(fastcgi.PARAMS, number, params)
    records += fastcgi.encode_record(fastcgi.PARAMS, number)
    if body:
        records += fastcgi.encode_record(fastcgi.STDIN, number, body)
    return records + fastcgi.encode_record(fastcgi.STDIN, number) if is_whole else records


@dataclass
class Call:
    """A request of a client, and its answers."""

    sent_at: float
    status: int = 0  # 0: no answer; -1: the connection ended before it
    ends: int = 0  # END records
    latency: float = 0.0  # seconds
    answered: asyncio.Event = field(default_factory=asyncio.Event)


class LiveClient(asyncio.Protocol):
    """One connection of a web server."""

    def __init__(self) -> None:
        self.calls: dict[int, Call] = {}
        self.output: dict[int, bytes] = {}
        self.buffer = b""
        self.number = 0
        self.is_closed = False
        self.transport: Any = None

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def request(self, call_id: str = "", **more: Any) -> Call:
        """Send a request. An empty id: a new one."""
        self.number += 1
        call = self.calls[self.number] = Call(time.monotonic())
        self.transport.write(encode_request(self.number, call_id or os.urandom(8).hex(), **more))
        return call

    def abort(self, number: int) -> None:
        self.transport.write(fastcgi.encode_record(fastcgi.ABORT, number))

    def data_received(self, data: bytes) -> None:
        self.buffer += data
        at = 0
        while len(self.buffer) - at >= fastcgi.HEAD.size:
            _, kind, number, size, padding, _ = fastcgi.HEAD.unpack_from(self.buffer, at)
            end = at + fastcgi.HEAD.size + size + padding
            if len(self.buffer) < end:
                break
            content = self.buffer[at + fastcgi.HEAD.size : at + fastcgi.HEAD.size + size]
            at = end
            if kind == fastcgi.STDOUT:
                self.output[number] = self.output.get(number, b"") + content
            elif kind == fastcgi.END:
                self.ended(number, content[4])
        self.buffer = self.buffer[at:]

    def ended(self, number: int, protocol_status: int) -> None:
        head = self.output.pop(number, b"")
        call = self.calls.setdefault(number, Call(time.monotonic()))
        call.ends += 1
        call.status = int(head.split(b"Status: ")[1][:3]) if b"Status: " in head else 1000 + protocol_status
        call.latency = time.monotonic() - call.sent_at
        call.answered.set()

    def connection_lost(self, exc: Exception | None) -> None:
        self.is_closed = True
        for call in self.calls.values():
            if not call.ends:
                call.status = -1
                call.answered.set()


@dataclass
class Traffic:
    """Usual requests: a few a second on a few connections."""

    calls: list[Call] = field(default_factory=list)

    def latencies(self) -> list[float]:
        """Of the served ones, in seconds, sorted."""
        return sorted(call.latency for call in self.calls if call.status == 200)

    def served(self) -> int:
        return sum(call.status == 200 for call in self.calls)

    def unanswered(self) -> int:
        return sum(call.status <= 0 for call in self.calls)


class LiveDispatcher:
    """A dispatcher process with its surroundings."""

    def __init__(
        self, folder: Path, memory_mb: float = 192, sockets: int = 1024, runners: int = 11, cells: int = 2,
        work: float = 0.05, program: tuple[str, ...] = ("-m", "lapistrestle.node"), **settings: Any,
    ) -> None:  # fmt: skip
        self.folder, self.program = folder, program
        self.limits = {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets}
        self.settings = SETTINGS | settings
        self.runs: list[Run] = []
        self.board = LiveBoard()
        self.runners = [LiveRunner(i + 1, i % cells, work, self.runs) for i in range(runners)]
        self.port = free_port()
        self.process: Any = None
        self.peak_mb = 0.0

    async def start(self) -> None:
        """Start all, and wait until the dispatcher is ready."""
        await self.board.listen()
        for runner in self.runners:
            await runner.listen()
        self.board.publish(SNAPSHOT, *(runner.row() for runner in self.runners))
        config = {
            "name": "n0", "listen": f"{HOST}:{self.port}", "seed": "1", "board": f"{HOST}:{self.board.port}",
            "limits": self.limits, "settings": self.settings,
        }  # fmt: skip
        path = self.folder / "config.json"
        path.write_text(json.dumps(config))
        environment = {name: value for name, value in os.environ.items() if not name.startswith("EDGE_")}
        with (self.folder / "log").open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, *self.program], env=environment | {"EDGE_CONFIG": str(path)}, stderr=log
            )
        await self.wait_until_ready()
        self.sampling = asyncio.create_task(self.sample())

    async def wait_until_ready(self) -> None:
        deadline = time.monotonic() + READY_WITHIN
        while time.monotonic() < deadline:
            with suppress(OSError):
                client = await self.connect()
                call = client.request(SCRIPT_NAME="/_health")
                await call.answered.wait()
                client.transport.close()
                if call.status == 200:
                    return
            await asyncio.sleep(0.05)
        raise AssertionError("the dispatcher is not ready: " + self.log())

    async def connect(self) -> LiveClient:
        _, client = await asyncio.get_running_loop().create_connection(LiveClient, HOST, self.port)
        return client

    def log(self) -> str:
        return (self.folder / "log").read_text()

    def events(self, name: str) -> list[dict[str, Any]]:
        """The log events of this name."""
        lines = [json.loads(line) for line in self.log().splitlines() if line.startswith("{")]
        return [line for line in lines if line["event"] == name]

    def memory_mb(self) -> float:
        """Memory of the process that no file backs, in MB."""
        status = Path(f"/proc/{self.process.pid}/status").read_text().splitlines()
        fields = [line.split() for line in status if line.startswith(("RssAnon:", "RssShmem:"))]
        return sum(int(line[1]) for line in fields) * 1024 / BYTES_PER_MB

    async def sample(self) -> None:
        while True:
            with suppress(OSError):
                self.peak_mb = max(self.peak_mb, self.memory_mb())
            await asyncio.sleep(SAMPLE_INTERVAL)

    async def traffic(self, seconds: float, rate: float = 25, connections: int = 4, **more: Any) -> Traffic:
        """Send usual requests for so long, and wait for their answers until their deadlines are over."""
        traffic = Traffic()
        clients = [await self.connect() for _ in range(connections)]
        for i in range(int(seconds * rate)):
            place = i % connections
            if clients[place].is_closed:
                clients[place] = await self.connect()
            traffic.calls.append(clients[place].request(**more))
            await asyncio.sleep(1 / rate)
        with suppress(TimeoutError):
            async with asyncio.timeout(3.5):
                for call in traffic.calls:
                    await call.answered.wait()
        for client in clients:
            client.transport.close()
        return traffic

    async def end(self) -> int:
        """End the process. Returns its exit status."""
        self.sampling.cancel()
        self.process.send_signal(signal.SIGTERM)
        with suppress(TimeoutError):
            async with asyncio.timeout(6):
                while self.process.poll() is None:
                    await asyncio.sleep(0.02)
        if self.process.poll() is None:
            self.process.kill()
        return int(self.process.wait())

    def kill(self) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


@asynccontextmanager
async def live(folder: Path, **more: Any) -> AsyncIterator[LiveDispatcher]:
    """A dispatcher that is ready; killed at the end if it still runs."""
    dispatcher = LiveDispatcher(folder, **more)
    try:
        await dispatcher.start()
        yield dispatcher
    finally:
        dispatcher.kill()


class Flooder(asyncio.Protocol):
    """A client that writes what `produce` gives as fast as it is read."""

    def __init__(self, produce: Callable[[], bytes], reads: bool = True) -> None:
        self.produce, self.reads = produce, reads
        self.transport: Any = None
        self.is_writable = asyncio.Event()
        self.is_writable.set()
        self.closed = asyncio.Event()
        self.received_bytes = 0

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        if not self.reads:
            transport.pause_reading()

    def data_received(self, data: bytes) -> None:
        self.received_bytes += len(data)

    def pause_writing(self) -> None:
        self.is_writable.clear()

    def resume_writing(self) -> None:
        self.is_writable.set()

    def connection_lost(self, exc: Exception | None) -> None:
        self.is_writable.set()
        self.closed.set()

    async def run(self, until: float) -> None:
        """Write until this time on the monotonic clock, or until the connection ends or there is no more."""
        with suppress(TimeoutError):
            async with asyncio.timeout(max(0.0, until - time.monotonic())):
                while not self.transport.is_closing() and (data := self.produce()):
                    self.transport.write(data)
                    await asyncio.sleep(0)
                    await self.is_writable.wait()


async def connect_flooder(
    dispatcher: LiveDispatcher, produce: Callable[[], bytes], reads: bool = True
) -> Flooder:
    """Connect a client that has not written anything yet."""
    flooder = Flooder(produce, reads)
    await asyncio.get_running_loop().create_connection(lambda: flooder, HOST, dispatcher.port)
    return flooder


async def flood(
    dispatcher: LiveDispatcher, seconds: float, produce: Callable[[], bytes], reads: bool = True
) -> None:
    """Write what `produce` gives for so long, on a new connection whenever one ends."""
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        with suppress(OSError):
            flooder = await connect_flooder(dispatcher, produce, reads)
            await flooder.run(until)
            flooder.transport.abort()
        await asyncio.sleep(0.01)


def body_base64(size: int) -> str:
    """A body of so many bytes in base64."""
    return b64encode(bytes(size)).decode()


def written_once(data: bytes) -> Callable[[], bytes]:
    """For a client that writes this and no more."""
    pieces = [b"", data]
    return lambda: pieces.pop() if pieces else b""


async def crowd(
    dispatcher: LiveDispatcher, count: int, seconds: float, make: Callable[[], bytes], reads: bool = True
) -> None:
    """So many clients at once; each writes once and stays, and one that is closed is replaced."""
    until = time.monotonic() + seconds

    async def stay() -> None:
        while time.monotonic() < until:
            with suppress(OSError):
                client = await connect_flooder(dispatcher, written_once(make()), reads)
                await client.run(until)
                while not client.transport.is_closing() and time.monotonic() < until:
                    await asyncio.sleep(0.05)
                client.transport.abort()
            await asyncio.sleep(0.05)

    await asyncio.gather(*(stay() for _ in range(count)))


async def write_and_close(
    dispatcher: LiveDispatcher, seconds: float, make: Callable[[], bytes], at_once: int
) -> None:
    """Clients that write once and close without waiting for answers, so many at a time."""
    until = time.monotonic() + seconds

    async def write() -> None:
        while time.monotonic() < until:
            with suppress(OSError, TimeoutError):
                client = await connect_flooder(dispatcher, lambda: b"")
                client.transport.write(make())
                client.transport.close()
                async with asyncio.timeout(max(0.0, until - time.monotonic())):
                    await client.closed.wait()

    await asyncio.gather(*(write() for _ in range(at_once)))

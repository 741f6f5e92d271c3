"""A runner as the protocol page describes it: JSON lines, functions loaded on order, a queue for its cores.

A cold runner works slower: `share` tells which part of its speed it has at an age.
"""

import asyncio
import contextlib
import json
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from record import Record


@dataclass
class Traits:
    """What a runner can do. Times are seconds."""

    cores: int = 4
    work: float = 0.05  # mean time of a call on a core
    spread: float = 0.2  # of the time of a call, as a part of it
    load: float = 0.4  # time of a load
    queue: int = 64  # calls that may wait
    lanes: int = 2  # calls that one copy of a function runs at once
    share: Callable[[float], float] = field(default=lambda _: 1.0)  # part of its speed, by its age


@dataclass
class Call:
    """A call that the runner has taken."""

    rid: str
    function: str
    content: str
    writer: asyncio.StreamWriter
    dropped: bool = False


class Runner:
    """One runner process."""

    def __init__(self, record: Record, name: str, traits: Traits, seed: int) -> None:
        self.record = record
        self.name = name
        self.traits = traits
        self.random = random.Random(seed)
        self.port = 0
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()
        self.booted_at: float | None = None
        self.draining = False
        self.tasks: set[asyncio.Task[None]] = set()
        self.forget()

    def forget(self) -> None:
        """Hold nothing, as after a start."""
        self.loaded: dict[str, int] = {}
        self.loading: dict[str, asyncio.Future[None]] = {}
        self.held: dict[str, int] = {}
        self.waiting: deque[asyncio.Future[None]] = deque()  # turns of the calls that wait for a core
        self.busy = 0
        self.calls: dict[tuple[int, str], Call] = {}

    async def start(self) -> None:
        """Listen, at the same port as before."""
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port, limit=1 << 20)
        self.port = self.server.sockets[0].getsockname()[1]

    def die(self) -> None:
        """Die: all connections are reset, new ones refused, what was loaded is gone."""
        self.record.add("died", runner=self.name)
        self.close()

    def close(self) -> None:
        """End all at once."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        for task in list(self.tasks):
            task.cancel()
        self.forget()

    def spawn(self, work: Any) -> None:
        """Run a coroutine that ends with the runner."""
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Read the lines of one connection."""
        self.writers.add(writer)
        with contextlib.suppress(OSError, ValueError):
            while line := await reader.readline():
                self.read(json.loads(line), writer)
        self.writers.discard(writer)
        for (connection, _), call in list(self.calls.items()):
            if connection == id(writer):
                call.dropped = True
        writer.close()

    def read(self, message: dict[str, Any], writer: asyncio.StreamWriter) -> None:
        """Handle one line."""
        verb, rid = message["verb"], message["rid"]
        attrs = message.get("attrs") or {}
        if verb == "RUN":
            self.record.add("run", runner=self.name, id=rid, function=attrs["path"], queue=attrs["queue"])
            self.run(Call(rid, attrs["path"], message.get("content") or "", writer))
        elif verb == "HOLD":
            self.record.add("hold", runner=self.name, function=attrs["path"], copies=attrs["slots_up"])
            self.spawn(self.hold(rid, attrs["path"], int(attrs["slots_up"]), writer))
        elif verb == "STOP" and (call := self.calls.get((id(writer), rid))):
            call.dropped = True
        elif verb == "FREE":
            self.loaded.pop(rid, None)
        elif verb in ("INFO", "NOOP"):
            use = f"inflight:{self.busy + len(self.waiting)};util:{min(1.0, self.busy / self.traits.cores)}"
            self.answer(writer, "alive", rid, use=use)

    def answer(
        self, writer: asyncio.StreamWriter, verb: str, rid: str, content: str | None = None, **attrs: Any
    ) -> None:
        """Write an answer."""
        line: dict[str, Any] = {"verb": verb, "rid": rid, "attrs": attrs}
        if content is not None:
            line["content"] = content
        if not writer.is_closing():
            writer.write(json.dumps(line).encode() + b"\n")

    # calls

    def run(self, call: Call) -> None:
        """Take a call, or turn it away."""
        if self.draining or len(self.waiting) >= self.traits.queue:
            self.answer(call.writer, "503", call.rid)
        elif not self.loaded.get(call.function) and call.function not in self.loading:
            self.answer(call.writer, "404", call.rid)
        else:
            self.calls[id(call.writer), call.rid] = call
            company = self.held.get(call.function, 0)
            self.held[call.function] = company + 1
            self.spawn(self.perform(call, company))

    async def perform(self, call: Call, company: int) -> None:
        """Wait for the load, for a core, run the call and answer it."""
        if (load := self.loading.get(call.function)) is not None:
            await load
        if self.busy >= self.traits.cores:
            turn: asyncio.Future[None] = asyncio.get_running_loop().create_future()
            self.waiting.append(turn)
            await turn
        else:
            self.busy += 1
        if not call.dropped:
            self.record.add("started", runner=self.name, id=call.rid)
            low = 1 - self.traits.spread
            time = self.traits.work * self.random.uniform(low, 2 - low) / self.share()
            await asyncio.sleep(time)
            self.answer(call.writer, "200", call.rid, call.content, company=company)
        self.held[call.function] -= 1
        self.calls.pop((id(call.writer), call.rid), None)
        if self.waiting:
            self.waiting.popleft().set_result(None)
        else:
            self.busy -= 1

    def share(self) -> float:
        """The part of its speed that it has now."""
        if self.booted_at is None:
            return 1.0
        return self.traits.share(self.record.now() - self.booted_at)

    async def hold(self, rid: str, function: str, copies: int, writer: asyncio.StreamWriter) -> None:
        """Load what is missing, and answer the order."""
        if self.draining and copies:
            self.answer(writer, "503", rid, slots_up=self.loaded.get(function, 0))
            return
        if self.loaded.get(function, 0) < copies:
            if function not in self.loading:
                done = self.loading[function] = asyncio.get_running_loop().create_future()
                await asyncio.sleep(self.traits.load)
                self.loaded[function] = max(copies, self.loaded.get(function, 0))
                del self.loading[function]
                done.set_result(None)
            else:
                await self.loading[function]
                self.loaded[function] = max(copies, self.loaded.get(function, 0))
        self.answer(writer, "200", rid, slots_up=self.loaded.get(function, 0))

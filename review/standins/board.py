"""A notice board as the protocol page describes it: numbered events, one frame each, and empty frames."""

import asyncio
import contextlib
import socket
import struct
from dataclasses import dataclass
from typing import Any

from record import Record

HEAD = struct.Struct(">IQB")  # length of what follows it, number, kind
ROW = struct.Struct(">IIHBBBHIQ")  # id, address, port, state, zone, kind, cell, weight, start
EMPTY, WHOLE, CHANGES = range(3)
STATES = ("SERVING", "DRAINING", "DELETED")
HEARTBEAT = 1.0  # seconds between two empty frames


@dataclass
class Entry:
    """A runner as the board lists it. `started_ms` is Unix time, 0: long ago."""

    id: int
    port: int
    zone: int = 0
    kind: int = 0
    cell: int = 0
    state: int = 0
    weight: float = 1.0
    started_ms: int = 0

    @property
    def name(self) -> str:
        """The id in text."""
        return f"s-{self.id:08x}"

    def row(self) -> bytes:
        """The record in a frame."""
        host = int.from_bytes(socket.inet_aton("127.0.0.1"), "big")
        figures = (self.state, self.zone, self.kind, self.cell, round(self.weight * 1000), self.started_ms)
        return ROW.pack(self.id, host, self.port, *figures)

    def known(self, zones: list[str], kinds: list[str]) -> dict[str, Any]:
        """The entry in a configuration."""
        return {
            "id": self.name,
            "addr": f"127.0.0.1:{self.port}",
            "zone": zones[self.zone],
            "kind": kinds[self.kind],
            "cell": self.cell,
            "state": STATES[self.state],
            "weight": self.weight,
            "started_ms": self.started_ms,
        }


class Board:
    """The events, and the dispatchers that follow them.

    While `answers` is not set, those that ask are not answered yet.
    """

    def __init__(self, record: Record) -> None:
        self.record = record
        self.answers = asyncio.Event()
        self.answers.set()
        self.asked: dict[asyncio.StreamWriter, int] = {}  # the number after which each has asked
        self.frames: list[bytes] = []  # that of event n at n - 1
        self.listed: dict[str, Entry] = {}
        self.server: asyncio.Server | None = None
        self.port = 0
        self.followers: dict[asyncio.StreamWriter, asyncio.Event] = {}

    async def open(self) -> None:
        """Listen, at the same port as before."""
        self.server = await asyncio.start_server(self.follow, "127.0.0.1", self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    def break_off(self, *entries: Entry) -> None:
        """Go down: connections end, and new ones are refused. With entries, in the middle of their event."""
        if entries:
            self.publish(*entries)
            for writer, changed in self.followers.items():
                changed.clear()
                writer.write(self.frames[-1][: HEAD.size + 5])
        self.record.add("board down")
        self.close()

    def break_off_amid(self) -> None:
        """Answer all that wait with the next event and a part of the one after it, and go down."""
        for writer, told in self.asked.items():
            writer.write(self.frames[told] + self.frames[told + 1][: HEAD.size + 5])
            self.record.add("told", number=told + 1, then="a part of the next")
        self.record.add("board down")
        self.close()

    def close(self) -> None:
        """Close the listener and all connections."""
        if self.server is not None:
            self.server.close()
        for writer, changed in self.followers.items():
            writer.close()
            changed.set()
        self.followers.clear()
        self.asked.clear()

    def publish(self, *entries: Entry, whole: bool = False) -> None:
        """Put an event on the board."""
        self.listed |= {entry.name: entry for entry in entries}
        payload = b"".join(entry.row() for entry in entries)
        number = len(self.frames) + 1
        self.frames.append(HEAD.pack(9 + len(payload), number, WHOLE if whole else CHANGES) + payload)
        states = {entry.name: STATES[entry.state] for entry in entries}
        self.record.add("published", number=number, whole=whole, states=states)
        for changed in self.followers.values():
            changed.set()

    def known(self, zones: list[str], kinds: list[str]) -> dict[str, Any]:
        """The list as a configuration has it: one event with all that stand."""
        servers = [entry.known(zones, kinds) for entry in self.listed.values() if entry.state < 2]
        number = len(self.frames)
        return {"rev": number, "notices": [{"rev": number, "pool": {"full": True, "servers": servers}}]}

    async def follow(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one dispatcher: the events after the number that it sends, and an empty frame each second."""
        changed = self.followers[writer] = asyncio.Event()
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            told = int.from_bytes(await reader.readexactly(8), "big")
            self.record.add("asked", after=told, latest=len(self.frames))
            self.asked[writer] = told
            await self.answers.wait()
            while not writer.is_closing():
                changed.clear()
                if told < len(self.frames):
                    told += 1
                    writer.write(self.frames[told - 1])
                    self.record.add("told", number=told)
                    continue
                with contextlib.suppress(asyncio.TimeoutError):
                    await asyncio.wait_for(changed.wait(), HEARTBEAT)
                    continue
                writer.write(HEAD.pack(9, told, EMPTY))
        self.followers.pop(writer, None)
        self.asked.pop(writer, None)
        writer.close()

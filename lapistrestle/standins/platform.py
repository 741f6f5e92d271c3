"""The platform around one dispatcher, small: web servers that speak FastCGI, runners, a notice board.

All on one reactor with a clock in the player's hand: sockets are real, time passes only when told to.
"""

import json
import os
import select
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
from base64 import b64decode, b64encode
from collections.abc import Callable
from contextlib import nullcontext
from typing import Any

import msgspec
from twisted.internet.task import Clock

from lapistrestle.node import fastcgi
from lapistrestle.node.streams import Listener, Stream, dial


class ManualReactor(Clock):
    """A reactor whose clock stands until it is moved by hand; sockets are served meanwhile."""

    rightNow = 1_000.0

    def __init__(self) -> None:
        super().__init__()
        self.around: Callable[[], Any] = nullcontext  # entered for each look at the sockets
        self.looked = (self.rightNow,) * 2  # at the look before, and at this one
        self.readers: dict[Any, None] = {}
        self.writers: dict[Any, None] = {}

    def addReader(self, end: Any) -> None:
        self.readers[end] = None

    def addWriter(self, end: Any) -> None:
        self.writers[end] = None

    def removeReader(self, end: Any) -> None:
        self.readers.pop(end, None)

    def removeWriter(self, end: Any) -> None:
        self.writers.pop(end, None)

    def serve(self, wait: float = 0.0) -> bool:
        """What is ready now; False if nothing was."""
        self.looked = self.looked[1], self.rightNow
        ready, room, _ = select.select(list(self.readers), list(self.writers), [], wait)
        with self.around():
            for end in ready:
                if end in self.readers:
                    end.doRead()
            for end in room:
                if end in self.writers:
                    end.doWrite()
        return bool(ready or room)

    def quiet(self) -> None:
        """Serve until nothing more is under way on loopback, and what is due has run."""
        idle = 0
        while idle < 3:
            ran = self.serve(0.0005)
            due = self.calls and self.calls[0].getTime() <= self.rightNow
            self.advance(0)
            idle = 0 if ran or due else idle + 1

    def until(self, done: Callable[[], Any]) -> None:
        """Serve until something holds, without time passing; raises after ten real seconds."""
        limit = time.monotonic() + 10
        while not done():
            if time.monotonic() > limit:
                raise AssertionError("it never came")
            self.serve(0.01)
            self.quiet()

    def run(self, seconds: float) -> None:
        """Let time pass, from one due call to the next."""
        end = self.rightNow + seconds
        self.quiet()
        while self.calls and self.calls[0].getTime() <= end:
            self.rightNow = max(self.rightNow, self.calls[0].getTime())
            self.quiet()
        self.rightNow = end
        self.quiet()

    def follow(self, done: Callable[[], Any], seconds: float = 20.0) -> bool:
        """Let time pass as the real one does, for a program outside, until something holds; False if it did
        not in that time."""
        end = time.monotonic() + seconds
        while not done():
            if time.monotonic() > end:
                return False
            self.run(0.01)
            time.sleep(0.01)
        return True


class WebServer(Stream):
    """A client's connection: requests out, answers in."""

    def __init__(self, hand: Any, port: int, host: str = "127.0.0.1") -> None:
        super().__init__(hand, dial(host, port), dialled=True)
        self.rest, self.last, self.closed = b"", 0, ""
        self.said: dict[int, bytes] = {}
        self.ends: list[int] = []  # numbers, in the order of their ends
        self.codes: dict[int, int] = {}
        self.start()

    def ask(
        self,
        function: str = "7f3a9c21e0b4d655",
        method: str = "search",
        id: str = "",
        patience: str = "2000",
        body: bytes = b"hello",
        whole: bool = True,
        script: str = "",
        **fields: str,
    ) -> int:
        """Send a request; `fields` are further ones by their CGI names, empty ones are left out."""
        self.last += 1
        told = {
            "SCRIPT_NAME": script or f"/invoke/{method}",
            "HTTP_X_CALL_ID": id or f"{self.last:016x}",
            "HTTP_X_PATIENCE_MS": patience,
            "HTTP_X_ENTITY": function,
            "HTTP_X_WEIGHT_MS": "8.2",
            "HTTP_X_ATTRS": "memory_mb:512;lanes:2",
        } | fields
        params = b"".join(fastcgi.encode_pair(k.encode(), v.encode()) for k, v in told.items() if v)
        self.send(begin_request(self.last) + fastcgi.encode_record(fastcgi.PARAMS, self.last, params))
        self.send(fastcgi.encode_record(fastcgi.PARAMS, self.last))
        if body:
            self.send(fastcgi.encode_record(fastcgi.STDIN, self.last, body))
        if whole:
            self.send(fastcgi.encode_record(fastcgi.STDIN, self.last))
        return self.last

    def give_up(self, number: int) -> None:
        self.send(fastcgi.encode_record(fastcgi.ABORT, number))

    def received(self, data: bytes) -> None:
        self.rest += data
        while len(self.rest) >= 8:
            _, kind, number, size, padding, _ = fastcgi.HEAD.unpack_from(self.rest)
            if len(self.rest) < 8 + size + padding:
                return
            content, self.rest = self.rest[8 : 8 + size], self.rest[8 + size + padding :]
            if kind == fastcgi.STDOUT:
                self.said[number] = self.said.get(number, b"") + content
            elif kind == fastcgi.END:
                self.ends.append(number)
                self.codes[number] = content[4]

    def status(self, number: int) -> int | None:
        """Of the answer; None while it has not come whole, 0 where it had no head."""
        if number not in self.ends:
            return None
        said = self.said.get(number, b"")
        return int(said.split(b"Status: ")[1][:3]) if b"Status: " in said else 0

    def body(self, number: int) -> bytes:
        return self.said[number].partition(b"\r\n\r\n")[2]

    def lost(self, why: str) -> None:
        self.closed = why


def begin_request(number: int, role: int = fastcgi.RESPONDER, keep: int = fastcgi.KEEP_CONN) -> bytes:
    return fastcgi.encode_record(fastcgi.BEGIN, number, bytes((role >> 8, role & 255, keep, 0, 0, 0, 0, 0)))


class Line(Stream):
    """A dispatcher's connection at a runner."""

    def __init__(self, runner: "RunnerStub", sock: socket.socket) -> None:
        super().__init__(runner.hand, sock)
        self.runner, self.rest, self.open = runner, b"", dict[str, dict[str, Any]]()

    def received(self, data: bytes) -> None:
        *lines, self.rest = (self.rest + data).split(b"\n")
        for line in lines:
            self.runner.heard(self, msgspec.json.decode(line))

    def say(self, verb: str, rid: str, content: bytes | None = None, **attrs: Any) -> None:
        said: dict[str, Any] = {"verb": verb, "rid": rid, "attrs": attrs}
        if content is not None:
            said["content"] = b64encode(content).decode()
        self.open.pop(rid, None)
        self.send(msgspec.json.encode(said) + b"\n")

    def lost(self, why: str) -> None:
        self.runner.lines.remove(self)

    def reset(self) -> None:
        """As when a process dies."""
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.drop("reset")


class RunnerStub:
    """One runner. `on_run` plays what it does with a call; without one it answers with the body it got."""

    def __init__(self, hand: Any, host: str = "127.0.0.1", port: int = 0) -> None:
        self.hand, self.lines = hand, list[Line]()
        self.listener = Listener(hand, host, port, self.taken)
        self.port: int = self.listener.sock.getsockname()[1]
        self.runs: list[dict[str, Any]] = []
        self.others: list[dict[str, Any]] = []
        self.loaded: dict[str, int] | None = None  # copies by function; None: all stand
        self.on_run: Callable[[Line, dict[str, Any]], None] | None = None

    def taken(self, sock: socket.socket) -> None:
        self.lines.append(Line(self, sock))
        self.lines[-1].start()

    def heard(self, line: Line, said: dict[str, Any]) -> None:
        verb, rid, attrs = said["verb"], said["rid"], said.get("attrs") or {}
        if verb == "RUN":
            self.runs.append(said)
            line.open[rid] = said
            if self.on_run is not None:
                self.on_run(line, said)
            elif self.loaded is not None and not self.loaded.get(attrs["path"]):
                line.say("404", rid)
            else:
                self.answer(line, said)
            return
        self.others.append(said)
        if verb == "HOLD":
            if self.loaded is not None:
                self.loaded[attrs["path"]] = max(self.loaded.get(attrs["path"], 0), attrs["slots_up"])
            line.say("200", rid, slots_up=attrs["slots_up"])
        elif verb in ("NOOP", "INFO"):
            line.say("alive", rid, use="inflight:7;util:0.61")
        elif verb == "STOP":
            line.open.pop(rid, None)

    def answer(self, line: Line, said: dict[str, Any]) -> None:
        line.say("200", said["rid"], b64decode(said["content"]))

    def held(self) -> int:
        """Calls that it holds: come whole, without an end, not given up."""
        return sum(len(line.open) for line in self.lines)

    def stop(self) -> None:
        self.listener.close()
        for line in list(self.lines):
            line.reset()


RECORD = struct.Struct(">IIHBBBHIQ")  # read off the page once more: a check on the dispatcher's own


def board_row(
    id: int, port: int, state: int = 0, zone: int = 0, kind: int = 0, cell: int = 0, weight: int = 1000,
    started: int = 0, host: str = "127.0.0.1",
) -> bytes:  # fmt: skip
    number = struct.unpack(">I", socket.inet_aton(host))[0]
    return RECORD.pack(id, number, port, state, zone, kind, cell, weight, started)


def board_frame(number: int, kind: int, *rows: bytes) -> bytes:
    payload = b"".join(rows)
    return struct.pack(">IQB", 9 + len(payload), number, kind) + payload


class Follower(Stream):
    """A dispatcher's connection at the board."""

    def __init__(self, board: "BoardStub", sock: socket.socket) -> None:
        super().__init__(board.hand, sock)
        self.board, self.rest, self.asked = board, b"", False

    def received(self, data: bytes) -> None:
        self.rest += data
        if not self.asked and len(self.rest) >= 8:
            self.asked = True
            last = int.from_bytes(self.rest[:8], "big")
            self.board.asked.append(last)
            later = [event for number, event in self.board.events.items() if number > last]
            for event in later or [board_frame(max(self.board.events, default=0), 0)]:
                self.send(event)

    def lost(self, why: str) -> None:
        self.board.followers.remove(self)


class BoardStub:
    """The notice board: an empty frame each second, every event to all that follow."""

    def __init__(self, hand: Any, host: str = "127.0.0.1", port: int = 0) -> None:
        self.hand, self.followers = hand, list[Follower]()
        self.listener = Listener(hand, host, port, self.taken)
        self.port: int = self.listener.sock.getsockname()[1]
        self.events: dict[int, bytes] = {}
        self.asked: list[int] = []
        self.beats = True
        self.beat()

    def taken(self, sock: socket.socket) -> None:
        self.followers.append(Follower(self, sock))
        self.followers[-1].start()

    def beat(self) -> None:
        if self.beats:
            self.raw(board_frame(max(self.events, default=0), 0))
        self.hand.callLater(1.0, self.beat)

    def raw(self, data: bytes) -> None:
        for follower in list(self.followers):
            follower.send(data)

    def tell(self, number: int, kind: int, *rows: bytes) -> None:
        self.events[number] = board_frame(number, kind, *rows)
        self.raw(self.events[number])

    def cut(self) -> None:
        for follower in list(self.followers):
            follower.drop("cut")


def free_port() -> int:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        port: int = probe.getsockname()[1]
        return port


def configuration(listen: str, board: str) -> dict[str, Any]:
    """A small one: three classes, one of each effect."""
    classes = [("search", "idempotent"), ("publish", "deduplicated"), ("bill", "at_most_once")]
    profiles = [
        {"name": name, "aim": 1_000_000, "deadline": 3_000_000, "idempotency": effect,
         "repeat-window": 2_000_000}
        for name, effect in classes
    ]  # fmt: skip
    return {
        "name": "n0", "listen": listen, "seed": "1", "board": board, "limits": {"sockets": 256},
        "settings": {
            "zones": ["here"], "models": ["std"], "profiles": profiles,
            "limits": {"try-limit": 3, "cancel": True, "dial-timeout": 250_000},
            "family-info": {"placement-calls": True, "load-period": 5_000_000, "free-loads": 3,
                            "load-share": 0.2, "idle-life": 8_000_000, "when-absent": "miss",
                            "answer-within": 9_000_000},
        },
    }  # fmt: skip


def main() -> None:
    """Start a dispatcher as the platform does, two runners and a board, send calls and show the answers."""
    hand = ManualReactor()
    board, runners = BoardStub(hand), [RunnerStub(hand), RunnerStub(hand)]
    for runner in runners:
        runner.loaded = {}
    port = free_port()
    board.tell(1, 1, *(board_row(i + 1, runner.port) for i, runner in enumerate(runners)))
    with tempfile.TemporaryDirectory() as folder:
        path = os.path.join(folder, "config.json")
        with open(path, "w") as file:
            json.dump(configuration(f"127.0.0.1:{port}", f"127.0.0.1:{board.port}"), file)
        node = subprocess.Popen(
            [sys.executable, "-m", "lapistrestle.node"], env=os.environ | {"EDGE_CONFIG": path}
        )
        try:
            hand.follow(lambda: board.asked and all(runner.lines for runner in runners))
            client = WebServer(hand, port)
            numbers = [client.ask(function=f"{i % 3:016x}", body=b"call %d" % i) for i in range(6)]
            hand.follow(lambda: all(client.status(n) is not None for n in numbers))
            for number in numbers:
                print(number, client.status(number), client.body(number) if client.status(number) else "")
            print(f"runs {[len(r.runs) for r in runners]}, loaded {[r.loaded for r in runners]}")
        finally:
            node.send_signal(signal.SIGTERM)
            if not hand.follow(lambda: node.poll() is not None):
                node.kill()
            print(f"exit {node.wait()}")


if __name__ == "__main__":
    main()

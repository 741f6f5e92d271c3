"""A small stand-in of the platform around one dispatcher: FastCGI web servers, runners and the board.

The board is the service that publishes the list of workers. All run on one reactor: sockets are real, but
its clock advances only on request.
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
from lapistrestle.node.listener import Listener
from lapistrestle.node.streams import Stream, dial


class ManualReactor(Clock):
    """A reactor whose clock is advanced manually, while real sockets are served."""

    rightNow = 1_000.0

    def __init__(self) -> None:
        super().__init__()
        self.around: Callable[[], Any] = nullcontext  # entered around each poll of the sockets
        self.looked = (self.rightNow,) * 2  # times of the previous poll and this one
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
        """Polls the sockets once, waiting at most `wait` real seconds; returns whether any was ready."""
        self.looked = self.looked[1], self.rightNow
        readable, writable, _ = select.select(list(self.readers), list(self.writers), [], wait)
        with self.around():
            for end in readable:
                if end in self.readers:
                    end.doRead()
            for end in writable:
                if end in self.writers:
                    end.doWrite()
        return bool(readable or writable)

    def iterate(self, seconds: float) -> None:
        """Runs one iteration of the event loop, which takes so many seconds.

        As in Twisted's loop, a call that a due call schedules for now runs only after the next poll.
        """
        self.rightNow += seconds
        self.serve()
        for call in [call for call in self.calls if call.getTime() <= self.rightNow]:
            if call.active():
                self.calls.remove(call)
                call.called = 1
                call.func(*call.args, **call.kw)

    def quiet(self) -> None:
        """Serves until no data is in flight on loopback and all due calls have run."""
        idle = 0
        while idle < 3:
            ran = self.serve(0.0005)
            due = self.calls and self.calls[0].getTime() <= self.rightNow
            self.advance(0)
            idle = 0 if ran or due else idle + 1

    def until(self, done: Callable[[], Any]) -> None:
        """Serves with a stopped clock until `done` holds; raises AssertionError after ten real seconds."""
        deadline = time.monotonic() + 10
        while not done():
            if time.monotonic() > deadline:
                raise AssertionError("condition not met within 10 s")
            self.serve(0.01)
            self.quiet()

    def run(self, seconds: float) -> None:
        """Advances the clock by `seconds`, from one due call to the next."""
        end = self.rightNow + seconds
        self.quiet()
        while self.calls and self.calls[0].getTime() <= end:
            self.rightNow = max(self.rightNow, self.calls[0].getTime())
            self.quiet()
        self.rightNow = end
        self.quiet()

    def follow(self, done: Callable[[], Any], seconds: float = 20.0) -> bool:
        """Advances the clock along with real time, for another process, until `done` holds.

        Returns False if it does not within so many real seconds.
        """
        end = time.monotonic() + seconds
        while not done():
            if time.monotonic() > end:
                return False
            self.run(0.01)
            time.sleep(0.01)
        return True


class WebServer(Stream):
    """A web server's FastCGI connection to the dispatcher: sends requests and collects the responses."""

    def __init__(self, reactor: Any, port: int, host: str = "127.0.0.1") -> None:
        super().__init__(reactor, dial(host, port), dialled=True)
        self.buffer, self.last, self.closed = b"", 0, ""
        self.responses: dict[int, bytes] = {}  # response data by request number
        self.finished_requests: list[int] = []  # request numbers, in the order of completion
        self.protocol_statuses: dict[int, int] = {}  # FastCGI protocol status by request number
        self.start()

    def send_request(
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
        """Sends a request and returns its number; `whole=False` leaves its body open.

        `fields` are further parameters by their CGI names; empty ones are omitted.
        """
        self.last += 1
        params = {
            "SCRIPT_NAME": script or f"/invoke/{method}",
            "HTTP_X_CALL_ID": id or f"{self.last:016x}",
            "HTTP_X_PATIENCE_MS": patience,
            "HTTP_X_ENTITY": function,
            "HTTP_X_WEIGHT_MS": "8.2",
            "HTTP_X_ATTRS": "memory_mb:512;lanes:2",
        } | fields
        encoded = b"".join(fastcgi.encode_pair(k.encode(), v.encode()) for k, v in params.items() if v)
        self.send(begin_request(self.last) + fastcgi.encode_record(fastcgi.PARAMS, self.last, encoded))
        self.send(fastcgi.encode_record(fastcgi.PARAMS, self.last))
        if body:
            self.send(fastcgi.encode_record(fastcgi.STDIN, self.last, body))
        if whole:
            self.send(fastcgi.encode_record(fastcgi.STDIN, self.last))
        return self.last

    def give_up(self, number: int) -> None:
        self.send(fastcgi.encode_record(fastcgi.ABORT, number))

    def received(self, data: bytes) -> None:
        self.buffer += data
        while len(self.buffer) >= 8:
            _, kind, number, size, padding, _ = fastcgi.HEAD.unpack_from(self.buffer)
            if len(self.buffer) < 8 + size + padding:
                return
            content, self.buffer = self.buffer[8 : 8 + size], self.buffer[8 + size + padding :]
            if kind == fastcgi.STDOUT:
                self.responses[number] = self.responses.get(number, b"") + content
            elif kind == fastcgi.END:
                self.finished_requests.append(number)
                self.protocol_statuses[number] = content[4]

    def status(self, number: int) -> int | None:
        """Returns the status of the response; None while it is incomplete, 0 if it has no status header."""
        if number not in self.finished_requests:
            return None
        answer = self.responses.get(number, b"")
        return int(answer.split(b"Status: ")[1][:3]) if b"Status: " in answer else 0

    def body(self, number: int) -> bytes:
        return self.responses[number].partition(b"\r\n\r\n")[2]

    def lost(self, reason: str) -> None:
        self.closed = reason


def begin_request(number: int, role: int = fastcgi.RESPONDER, keep: int = fastcgi.KEEP_CONN) -> bytes:
    return fastcgi.encode_record(fastcgi.BEGIN, number, bytes((role >> 8, role & 255, keep, 0, 0, 0, 0, 0)))


class Line(Stream):
    """A dispatcher's connection to a runner."""

    def __init__(self, runner: "RunnerStub", sock: socket.socket) -> None:
        super().__init__(runner.reactor, sock)
        self.runner, self.buffer, self.open = runner, b"", dict[str, dict[str, Any]]()

    def received(self, data: bytes) -> None:
        *lines, self.buffer = (self.buffer + data).split(b"\n")
        for line in lines:
            self.runner.message_received(self, msgspec.json.decode(line))

    def send_message(self, verb: str, rid: str, content: bytes | None = None, **attrs: Any) -> None:
        message: dict[str, Any] = {"verb": verb, "rid": rid, "attrs": attrs}
        if content is not None:
            message["content"] = b64encode(content).decode()
        self.open.pop(rid, None)
        self.send(msgspec.json.encode(message) + b"\n")

    def lost(self, reason: str) -> None:
        self.runner.lines.remove(self)

    def reset(self) -> None:
        """Resets the connection, as when the process dies."""
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.drop("reset")


class RunnerStub:
    """One runner. `on_run` handles each call; without one the runner echoes the call's body."""

    def __init__(self, reactor: Any, host: str = "127.0.0.1", port: int = 0) -> None:
        self.reactor, self.lines = reactor, list[Line]()
        self.listener = Listener(reactor, host, port, self.connection_accepted)
        self.port: int = self.listener.sock.getsockname()[1]
        self.runs: list[dict[str, Any]] = []  # RUN messages received
        self.others: list[dict[str, Any]] = []  # other messages received
        self.loaded: dict[str, int] | None = None  # copies by function; None: all functions are loaded
        self.on_run: Callable[[Line, dict[str, Any]], None] | None = None

    def connection_accepted(self, sock: socket.socket) -> None:
        self.lines.append(Line(self, sock))
        self.lines[-1].start()

    def message_received(self, line: Line, message: dict[str, Any]) -> None:
        verb, rid, attrs = message["verb"], message["rid"], message.get("attrs") or {}
        if verb == "RUN":
            self.runs.append(message)
            line.open[rid] = message
            if self.on_run is not None:
                self.on_run(line, message)
            elif self.loaded is not None and not self.loaded.get(attrs["path"]):
                line.send_message("404", rid)
            else:
                self.answer(line, message)
            return
        self.others.append(message)
        if verb == "HOLD":
            if self.loaded is not None:
                self.loaded[attrs["path"]] = max(self.loaded.get(attrs["path"], 0), attrs["slots_up"])
            line.send_message("200", rid, slots_up=attrs["slots_up"])
        elif verb in ("NOOP", "INFO"):
            line.send_message("alive", rid, use="inflight:7;util:0.61")
        elif verb == "STOP":
            line.open.pop(rid, None)

    def answer(self, line: Line, message: dict[str, Any]) -> None:
        line.send_message("200", message["rid"], b64decode(message["content"]))

    def in_flight_count(self) -> int:
        """Calls received and neither finished nor cancelled."""
        return sum(len(line.open) for line in self.lines)

    def stop(self) -> None:
        self.listener.close()
        for line in list(self.lines):
            line.reset()


BOARD_RECORD = struct.Struct(">IIHBBBHIQ")  # written independently of the dispatcher's own, to check it


def board_row(
    id: int, port: int, state: int = 0, zone: int = 0, kind: int = 0, cell: int = 0, weight: int = 1000,
    started: int = 0, host: str = "127.0.0.1",
) -> bytes:  # fmt: skip
    number = struct.unpack(">I", socket.inet_aton(host))[0]
    return BOARD_RECORD.pack(id, number, port, state, zone, kind, cell, weight, started)


def board_frame(number: int, kind: int, *rows: bytes) -> bytes:
    payload = b"".join(rows)
    return struct.pack(">IQB", 9 + len(payload), number, kind) + payload


class BoardConnection(Stream):
    """A dispatcher's connection to the board."""

    def __init__(self, board: "BoardStub", sock: socket.socket) -> None:
        super().__init__(board.reactor, sock)
        self.board, self.buffer, self.is_subscribed = board, b"", False

    def received(self, data: bytes) -> None:
        self.buffer += data
        if not self.is_subscribed and len(self.buffer) >= 8:
            self.is_subscribed = True
            last = int.from_bytes(self.buffer[:8], "big")
            self.board.subscriptions.append(last)
            missed = [event for number, event in self.board.events.items() if number > last]
            for event in missed or [board_frame(max(self.board.events, default=0), 0)]:
                self.send(event)

    def lost(self, reason: str) -> None:
        self.board.followers.remove(self)


class BoardStub:
    """The board: sends an empty frame each second, and every event to all subscribers."""

    def __init__(self, reactor: Any, host: str = "127.0.0.1", port: int = 0) -> None:
        self.reactor, self.followers = reactor, list[BoardConnection]()
        self.listener = Listener(reactor, host, port, self.connection_accepted)
        self.port: int = self.listener.sock.getsockname()[1]
        self.events: dict[int, bytes] = {}  # frames by number
        self.subscriptions: list[int] = []  # last event number that each subscriber had received
        self.sends_heartbeats = True
        self.send_heartbeat()

    def connection_accepted(self, sock: socket.socket) -> None:
        self.followers.append(BoardConnection(self, sock))
        self.followers[-1].start()

    def send_heartbeat(self) -> None:
        if self.sends_heartbeats:
            self.send_to_all(board_frame(max(self.events, default=0), 0))
        self.reactor.callLater(1.0, self.send_heartbeat)

    def send_to_all(self, data: bytes) -> None:
        for follower in list(self.followers):
            follower.send(data)

    def publish(self, number: int, kind: int, *rows: bytes) -> None:
        self.events[number] = board_frame(number, kind, *rows)
        self.send_to_all(self.events[number])

    def drop_connections(self) -> None:
        for follower in list(self.followers):
            follower.drop("cut")

    def drop(self, reason: str) -> None:
        """Ends the board: new connections are refused."""
        self.listener.close()
        self.drop_connections()


def free_port() -> int:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        port: int = probe.getsockname()[1]
        return port


def configuration(listen: str, board: str) -> dict[str, Any]:
    """Returns a small configuration with three request classes, one per idempotency mode."""
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
    """Starts a dispatcher as the platform does, two runners and a board; sends calls, prints the answers."""
    reactor = ManualReactor()
    board, runners = BoardStub(reactor), [RunnerStub(reactor), RunnerStub(reactor)]
    for runner in runners:
        runner.loaded = {}
    port = free_port()
    board.publish(1, 1, *(board_row(i + 1, runner.port) for i, runner in enumerate(runners)))
    with tempfile.TemporaryDirectory() as folder:
        path = os.path.join(folder, "config.json")
        with open(path, "w") as file:
            json.dump(configuration(f"127.0.0.1:{port}", f"127.0.0.1:{board.port}"), file)
        node = subprocess.Popen(
            [sys.executable, "-m", "lapistrestle.node"], env=os.environ | {"EDGE_CONFIG": path}
        )
        try:
            reactor.follow(lambda: board.subscriptions and all(runner.lines for runner in runners))
            client = WebServer(reactor, port)
            numbers = [client.send_request(function=f"{i % 3:016x}", body=b"call %d" % i) for i in range(6)]
            reactor.follow(lambda: all(client.status(n) is not None for n in numbers))
            for number in numbers:
                print(number, client.status(number), client.body(number) if client.status(number) else "")
            print(f"runs {[len(r.runs) for r in runners]}, loaded {[r.loaded for r in runners]}")
        finally:
            node.send_signal(signal.SIGTERM)
            if not reactor.follow(lambda: node.poll() is not None):
                node.kill()
            print(f"exit {node.wait()}")


if __name__ == "__main__":
    main()

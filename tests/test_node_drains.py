"""Over real processes: after the grace no RUN and no HOLD is sent to a worker that drains or was removed.

Several dispatchers run in parallel, each with its own board and workers, which are stand-ins in this process.
One clock gives the times at which an event entered the board and at which the first byte of a RUN or HOLD
arrived. The order of events is forced by what is written while the dispatchers are stopped by SIGSTOP, never
by sleeping.
"""

import json
import os
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Iterator
from contextlib import suppress
from dataclasses import dataclass
from typing import Any

import pytest

from lapistrestle.standins.platform import (
    BoardStub,
    Line,
    ManualReactor,
    RunnerStub,
    WebServer,
    board_frame,
    board_row,
    configuration,
)

GRACE = 0.3  # seconds; the settings' drain grace
SLACK = 0.05  # seconds that the protocol allows past each time limit
PAST = GRACE + SLACK + 0.1  # seconds for which a dispatcher is stopped at least
SERVING, DRAINING, GONE = range(3)
WHOLE, CHANGES = 1, 2
DISPATCHERS = 3
PORT = 10_080
SYN_SENT = "02"  # state of a connection in /proc/net/tcp


@dataclass(frozen=True)
class Started:
    """A RUN or a HOLD of copies, and when its first byte arrived at a worker."""

    worker: int
    what: str
    at: float


@dataclass(frozen=True)
class BoardEvent:
    """An event of the board about one worker, and when it entered the board."""

    worker: int
    state: int
    at: float


class StampedLine(Line):
    """Records the time of the first byte of each line."""

    line_started_at = 0.0

    def received(self, data: Any) -> None:
        now = time.monotonic()
        self.line_started_at = self.line_started_at if self.buffer else now
        super().received(data)
        self.line_started_at = now


class StampedRunner(RunnerStub):
    """Records when each RUN and each HOLD of copies began to arrive."""

    def __init__(self, reactor: Any, number: Any) -> None:
        super().__init__(reactor)
        self.number = number
        self.started: list[Any] = []

    def connection_accepted(self, sock: Any) -> None:
        self.lines.append(StampedLine(self, sock))
        self.lines[-1].start()

    def message_received(self, line: Any, message: Any) -> None:
        attrs = message.get("attrs") or {}
        if message["verb"] == "RUN" or (message["verb"] == "HOLD" and int(attrs["slots_up"]) > 0):
            self.started.append(Started(self.number, message["verb"], line.line_started_at))
        super().message_received(line, message)


class StampedBoard(BoardStub):
    """Records when each event entered it."""

    def __init__(self, reactor: Any) -> None:
        super().__init__(reactor)
        self.entered: list[BoardEvent] = []
        self.answers = True

    def enter(self, number: Any, kind: Any, workers: Any, before: bytes = b"") -> None:
        """Send an event about some workers: their numbers, states and ports. `before` is written
        ahead of it.
        """
        now = time.monotonic()
        self.entered += [BoardEvent(worker, state, now) for worker, state, _ in workers]
        if before:
            self.send_to_all(before)
        self.publish(number, kind, *(board_row(worker, port, state=state) for worker, state, port in workers))

    def connection_accepted(self, sock: Any) -> None:
        if self.answers:
            super().connection_accepted(sock)
        else:  # connected, but nothing is sent
            self.unanswered = [*getattr(self, "unanswered", []), sock]


def late_starts(events: Any, started: Any) -> Any:
    """What was started at a worker later than the grace after an event that it drains or was removed."""
    late = []
    for start in started:
        since = None
        for event in events:
            if event.worker == start.worker and event.at <= start.at:
                since = None if event.state == SERVING else since or event.at
        if since is not None and start.at > since + GRACE + SLACK:
            late.append((start, round(start.at - since, 3)))
    return late


class DispatcherProcess:
    """One dispatcher in a process of its own, its board and its workers."""

    def __init__(
        self, reactor: Any, folder: Any, number: Any, workers: Any, known: Any = None, **limits: Any
    ) -> None:
        self.reactor, self.board = reactor, StampedBoard(reactor)
        self.workers = [StampedRunner(reactor, i + 1) for i in range(workers)]
        self.last = 1
        self.sent_requests: list[Any] = []
        self.process: Any = None
        self.host, self.port = own_loopback_address(), PORT + number
        rows = [(worker.number, SERVING, worker.port) for worker in self.workers]
        self.board.enter(1, WHOLE, rows)
        config = configuration(f"{self.host}:{self.port}", f"127.0.0.1:{self.board.port}")
        config["name"], config["seed"] = f"n{number}", f"{number + 1:x}"
        config["settings"]["rules"] = {"drain-grace": int(GRACE * 1e6)}
        config["settings"]["limits"].update(limits)
        for profile in config["settings"]["profiles"]:
            profile.update({"aim": 9_000_000, "deadline": 10_000_000})
        if known is not None:
            config["known"] = known(self)
        self.path = folder / f"{number}.json"
        self.path.write_text(json.dumps(config))

    def start(self) -> None:
        env = {key: value for key, value in os.environ.items() if not key.startswith("EDGE_")}
        self.process = subprocess.Popen(
            [sys.executable, "-m", "lapistrestle.node"], env=env | {"EDGE_CONFIG": str(self.path)},
            stderr=subprocess.DEVNULL,
        )  # fmt: skip

    def known(self) -> Any:
        """The list of workers in the form of the configuration file."""
        servers = [
            {"id": f"s-{worker.number:08x}", "addr": f"127.0.0.1:{worker.port}", "zone": "here",
             "kind": "std", "cell": 0, "state": "SERVING", "weight": 1, "started_ms": 0}
            for worker in self.workers
        ]  # fmt: skip
        return {"rev": 1, "notices": [{"rev": 1, "pool": {"version": 1, "full": True, "servers": servers}}]}

    def ready(self) -> Any:
        """Whether its health check succeeds."""
        with suppress(OSError):
            client = WebServer(self.reactor, self.port, self.host)
            health = client.send_request(script="/_health")
            self.reactor.follow(lambda: client.status(health) is not None or client.closed, 2.0)
            ready = client.status(health) == 200
            client.drop("asked")
            return ready
        return False

    def send_request(self, client: Any = None, **fields: Any) -> Any:
        client = client or WebServer(self.reactor, self.port, self.host)
        number = client.send_request(id=os.urandom(8).hex(), patience="9000", **fields)
        self.sent_requests.append((client, number))
        return client

    def connected(self) -> Any:
        """A client connection that the dispatcher has accepted."""
        client = WebServer(self.reactor, self.port, self.host)
        health = client.send_request(script="/_health")
        assert self.reactor.follow(lambda: client.status(health) is not None)
        return client

    def answered(self) -> Any:
        return all(client.status(number) is not None for client, number in self.sent_requests)

    def publish(self, worker: Any, state: Any, before: bytes = b"") -> None:
        self.last += 1
        self.board.enter(self.last, CHANGES, [(worker.number, state, worker.port)], before)

    def stop(self) -> None:
        os.kill(self.process.pid, signal.SIGSTOP)
        assert self.reactor.follow(lambda: state_of(self.process.pid) == "T")

    def resume(self) -> None:
        os.kill(self.process.pid, signal.SIGCONT)

    def late_starts(self) -> Any:
        return late_starts(self.board.entered, [start for worker in self.workers for start in worker.started])

    def end(self) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()
        ends: list[Any] = [self.board, *self.workers]
        for end in ends:
            end.listener.close()


def own_loopback_address() -> Any:
    """A loopback address of this process alone.

    On a shared address a port that was free may be taken by the time the dispatcher listens.
    """
    pid = os.getpid()
    return f"127.{64 + (pid >> 16 & 63)}.{pid >> 8 & 255}.{pid & 255}"


def state_of(pid: Any) -> Any:
    with open(f"/proc/{pid}/stat") as stat:
        return stat.read().rpartition(")")[2].split()[0]


def open_connects(port: Any) -> Any:
    """How many connects to a port of this machine are unanswered."""
    with open("/proc/net/tcp") as table:
        rows = [line.split() for line in table.readlines()[1:]]
    return sum(cells[2].endswith(f":{port:04X}") and cells[3] == SYN_SENT for cells in rows)


@pytest.fixture
def side_by_side(tmp_path: Any) -> Iterator[Any]:
    reactor = ManualReactor()
    nodes: list[Any] = []

    def make(workers: int = 2, started: bool = True, **more: Any) -> Any:
        nodes.extend(DispatcherProcess(reactor, tmp_path, i, workers, **more) for i in range(DISPATCHERS))
        for node in nodes if started else ():
            node.start()
        for node in nodes if started else ():
            assert reactor.follow(node.ready)
        return reactor, nodes

    yield make
    for node in nodes:
        node.end()


def run_while_stopped(reactor: Any, nodes: Any, write: Any) -> Any:
    """Stop all dispatchers, call `write` for each, and continue them after the grace. Returns late starts."""
    for node in nodes:
        node.stop()
    for node in nodes:
        write(node)
    past = time.monotonic() + PAST
    assert reactor.follow(lambda: time.monotonic() > past)
    for node in nodes:
        node.resume()
    assert reactor.follow(lambda: all(node.answered() for node in nodes)), "requests without an answer"
    reactor.run(0.1)
    return [late for node in nodes for late in node.late_starts()]


def serving_worker(reactor: Any, node: Any) -> Any:
    """The worker that serves the tests' function."""
    node.send_request()
    assert reactor.follow(node.answered)
    (home,) = [worker for worker in node.workers if worker.started]
    return home


# 65 kB of old events
FILLER = b"".join(board_frame(1, WHOLE, *(board_row(1, 1) for _ in range(600))) for _ in range(4))


@pytest.mark.parametrize("state", [DRAINING, GONE], ids=["drains", "is gone"])
@pytest.mark.parametrize("backlog", [b"", FILLER], ids=["at once", "behind a backlog"])
def test_requests_received_before_the_drain_in_a_stall_go_elsewhere(
    side_by_side: Any, state: Any, backlog: Any
) -> None:
    """Requests and the event are unread in their sockets; the requests are read and placed first."""
    reactor, nodes = side_by_side()
    homes = {node: serving_worker(reactor, node) for node in nodes}
    clients = {node: [node.connected() for _ in range(4)] for node in nodes}

    def write(node: Any) -> None:
        for client in clients[node]:
            node.send_request(client)
        reactor.quiet()
        node.publish(homes[node], state, before=backlog)

    assert run_while_stopped(reactor, nodes, write) == []


@pytest.mark.parametrize("verb", ["503", "404"])
def test_no_retry_after_a_stall_goes_to_a_draining_worker(side_by_side: Any, verb: Any) -> None:
    """The reply is read, and a retry or preload started, before the event is read."""
    reactor, nodes = side_by_side()
    homes = {node: serving_worker(reactor, node) for node in nodes}
    held: dict[Any, Any] = {}
    for node in nodes:
        for worker in node.workers:
            worker.on_run = lambda line, message, node=node: held.setdefault(node, (line, message))
        node.send_request()
    assert reactor.follow(lambda: len(held) == len(nodes))

    def write(node: Any) -> None:
        line, message = held[node]
        for worker in node.workers:
            worker.on_run = None
        line.send_message(verb, message["rid"])
        reactor.quiet()
        other = next(worker for worker in node.workers if worker is not homes[node])
        node.publish(homes[node] if verb == "404" else other, DRAINING)

    assert run_while_stopped(reactor, nodes, write) == []


def test_nothing_is_sent_to_a_draining_worker_on_a_connection_made_in_a_stall(
    side_by_side: Any,
) -> None:
    """Lines queued for the connection are sent once it is established, before the event is read."""
    reactor, nodes = side_by_side(workers=1, **{"dial-timeout": 5_000_000})
    crowds = [fill_accept_queue(reactor, node.workers[0]) for node in nodes]
    before = {node: open_connects(node.workers[0].port) for node in nodes}
    for node in nodes:
        node.send_request()
    assert reactor.follow(lambda: all(open_connects(node.workers[0].port) > before[node] for node in nodes))

    def write(node: Any) -> None:
        worker = node.workers[0]
        worker.listener.sock.listen(1024)
        reactor.addReader(worker.listener)
        assert reactor.follow(lambda: len(worker.lines) > CROWD), "the connection never came"
        node.publish(worker, DRAINING)

    assert run_while_stopped(reactor, nodes, write) == []
    for end in (end for crowd in crowds for end in crowd):
        end.close()


CROWD = 2  # connections that fill a listener's accept queue


def fill_accept_queue(reactor: Any, worker: Any) -> Any:
    """Fill the worker's accept queue, so that further connects are not answered."""
    reactor.removeReader(worker.listener)
    worker.listener.sock.listen(0)
    crowd = [socket.socket() for _ in range(CROWD)]
    for end in crowd:
        end.setblocking(False)
        end.connect_ex(("127.0.0.1", worker.port))
    return crowd


def test_a_start_with_an_old_list_sends_nothing_before_the_board_answers(
    side_by_side: Any,
) -> None:
    """The file was written before the worker drained; the board accepts the connection and sends nothing."""
    reactor, nodes = side_by_side(workers=1, started=False, known=DispatcherProcess.known)
    for node in nodes:
        node.board.answers = False
        node.publish(node.workers[0], DRAINING)
    past = time.monotonic() + PAST
    assert reactor.follow(lambda: time.monotonic() > past)
    for node in nodes:
        node.start()
    for node in nodes:
        assert reactor.follow(lambda node=node: reachable(node))
        node.send_request()
    assert reactor.follow(lambda: all(node.answered() for node in nodes))
    assert [late for node in nodes for late in node.late_starts()] == []


def reachable(node: Any) -> Any:
    """Whether it listens, ready or not."""
    with suppress(OSError), socket.create_connection((node.host, node.port)):
        return True
    return False

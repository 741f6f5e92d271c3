"""Rule 3 over real processes: past the grace no RUN and no HOLD begins at a worker that drains or is gone.

Several dispatchers run side by side, each with a board and workers of its own in this process. One clock
stamps when each event entered the board and when the first byte of each RUN and HOLD came. The order of two
events is forced by what is written while the dispatchers are stopped by SIGSTOP, never by a pause.
"""

import json
import os
import signal
import socket
import subprocess
import sys
import time
from contextlib import suppress
from dataclasses import dataclass

import pytest

from lapistrestle.standins.platform import (
    BoardEnd,
    Hand,
    Line,
    RunnerEnd,
    WebServer,
    configuration,
    frame,
    row,
)

GRACE = 0.3  # seconds, of the settings
SLACK = 0.05  # seconds by which the protocol page widens each limit
PAST = GRACE + SLACK + 0.1  # seconds for which a dispatcher is stopped at the least
SERVING, DRAINING, GONE = range(3)
WHOLE, CHANGES = 1, 2
DISPATCHERS = 3
PORT = 10_080
SYN_SENT = "02"  # of a connection in the kernel's table


@dataclass(frozen=True)
class Started:
    """A RUN or a HOLD of copies, and when its first byte came at a worker."""

    worker: int
    what: str
    at: float


@dataclass(frozen=True)
class Told:
    """An event of the board about one worker, and when it entered the board."""

    worker: int
    state: int
    at: float


class StampedLine(Line):
    """Stamps the first byte of each line."""

    began = 0.0

    def received(self, data):
        now = time.monotonic()
        self.began = self.began if self.rest else now
        super().received(data)
        self.began = now


class StampedRunner(RunnerEnd):
    """Keeps when each RUN and each HOLD of copies began to come."""

    def __init__(self, hand, number):
        super().__init__(hand)
        self.number, self.started = number, []

    def taken(self, sock):
        self.lines.append(StampedLine(self, sock))
        self.lines[-1].begin()

    def heard(self, line, said):
        attrs = said.get("attrs") or {}
        if said["verb"] == "RUN" or (said["verb"] == "HOLD" and int(attrs["slots_up"]) > 0):
            self.started.append(Started(self.number, said["verb"], line.began))
        super().heard(line, said)


class StampedBoard(BoardEnd):
    """Keeps when each event entered it."""

    def __init__(self, hand):
        super().__init__(hand)
        self.told, self.answers = [], True

    def enter(self, number, kind, workers, before=b""):
        """An event about some workers: their numbers, states and ports. `before` is written ahead of it."""
        now = time.monotonic()
        self.told += [Told(worker, state, now) for worker, state, _ in workers]
        if before:
            self.raw(before)
        self.tell(number, kind, *(row(worker, port, state=state) for worker, state, port in workers))

    def taken(self, sock):
        if self.answers:
            super().taken(sock)
        else:  # connected, and told nothing
            self.unanswered = [*getattr(self, "unanswered", []), sock]


def late_starts(told, started):
    """What began at a worker past the grace after an event said that it drains or is gone, by the stamps."""
    late = []
    for start in started:
        since = None
        for event in told:
            if event.worker == start.worker and event.at <= start.at:
                since = None if event.state == SERVING else since or event.at
        if since is not None and start.at > since + GRACE + SLACK:
            late.append((start, round(start.at - since, 3)))
    return late


class Node:
    """One dispatcher in a process of its own, its board and its workers."""

    def __init__(self, hand, folder, number, workers, known=None, **limits):
        self.hand, self.board = hand, StampedBoard(hand)
        self.workers = [StampedRunner(hand, i + 1) for i in range(workers)]
        self.last, self.asked, self.process = 1, [], None
        self.host, self.port = own_host(), PORT + number
        rows = [(worker.number, SERVING, worker.port) for worker in self.workers]
        self.board.enter(1, WHOLE, rows)
        told = configuration(f"{self.host}:{self.port}", f"127.0.0.1:{self.board.port}")
        told["name"], told["seed"] = f"n{number}", f"{number + 1:x}"
        told["settings"]["rules"] = {"drain-grace": int(GRACE * 1e6)}
        told["settings"]["limits"].update(limits)
        for profile in told["settings"]["profiles"]:
            profile.update({"aim": 9_000_000, "deadline": 10_000_000})
        if known is not None:
            told["known"] = known(self)
        self.path = folder / f"{number}.json"
        self.path.write_text(json.dumps(told))

    def start(self):
        env = {key: value for key, value in os.environ.items() if not key.startswith("EDGE_")}
        self.process = subprocess.Popen(
            [sys.executable, "-m", "lapistrestle.node"], env=env | {"EDGE_CONFIG": str(self.path)},
            stderr=subprocess.DEVNULL,
        )  # fmt: skip

    def known(self):
        """The list as the file of the configuration has it."""
        servers = [
            {"id": f"s-{worker.number:08x}", "addr": f"127.0.0.1:{worker.port}", "zone": "here",
             "kind": "std", "cell": 0, "state": "SERVING", "weight": 1, "started_ms": 0}
            for worker in self.workers
        ]  # fmt: skip
        return {"rev": 1, "notices": [{"rev": 1, "pool": {"version": 1, "full": True, "servers": servers}}]}

    def ready(self):
        """Whether it answers that it is."""
        with suppress(OSError):
            client = WebServer(self.hand, self.port, self.host)
            health = client.ask(script="/_health")
            self.hand.follow(lambda: client.status(health) is not None or client.closed, 2.0)
            ready = client.status(health) == 200
            client.drop("asked")
            return ready
        return False

    def ask(self, client=None, **fields):
        client = client or WebServer(self.hand, self.port, self.host)
        number = client.ask(id=os.urandom(8).hex(), patience="9000", **fields)
        self.asked.append((client, number))
        return client

    def connected(self):
        """A client's connection that the dispatcher has taken."""
        client = WebServer(self.hand, self.port, self.host)
        health = client.ask(script="/_health")
        assert self.hand.follow(lambda: client.status(health) is not None)
        return client

    def answered(self):
        return all(client.status(number) is not None for client, number in self.asked)

    def tell(self, worker, state, before=b""):
        self.last += 1
        self.board.enter(self.last, CHANGES, [(worker.number, state, worker.port)], before)

    def stop(self):
        os.kill(self.process.pid, signal.SIGSTOP)
        assert self.hand.follow(lambda: state_of(self.process.pid) == "T")

    def go_on(self):
        os.kill(self.process.pid, signal.SIGCONT)

    def late(self):
        return late_starts(self.board.told, [start for worker in self.workers for start in worker.started])

    def end(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()
        for end in (self.board, *self.workers):
            end.listener.close()


def own_host():
    """An address of this process alone on loopback: a port found free on one that all use may be taken by the
    time that the dispatcher listens.
    """
    pid = os.getpid()
    return f"127.{64 + (pid >> 16 & 63)}.{pid >> 8 & 255}.{pid & 255}"


def state_of(pid):
    with open(f"/proc/{pid}/stat") as told:
        return told.read().rpartition(")")[2].split()[0]


def dialling(port):
    """How many connections to a port of this machine have been begun and not been answered."""
    with open("/proc/net/tcp") as table:
        rows = [line.split() for line in table.readlines()[1:]]
    return sum(cells[2].endswith(f":{port:04X}") and cells[3] == SYN_SENT for cells in rows)


@pytest.fixture
def side_by_side(tmp_path):
    hand, nodes = Hand(), []

    def make(workers=2, started=True, **more):
        nodes.extend(Node(hand, tmp_path, i, workers, **more) for i in range(DISPATCHERS))
        for node in nodes if started else ():
            node.start()
        for node in nodes if started else ():
            assert hand.follow(node.ready)
        return hand, nodes

    yield make
    for node in nodes:
        node.end()


def stopped(hand, nodes, write):
    """Stop all dispatchers, write to each, and let them go on once what was told is past its grace."""
    for node in nodes:
        node.stop()
    for node in nodes:
        write(node)
    past = time.monotonic() + PAST
    assert hand.follow(lambda: time.monotonic() > past)
    for node in nodes:
        node.go_on()
    assert hand.follow(lambda: all(node.answered() for node in nodes)), "requests without an answer"
    hand.run(0.1)
    return [late for node in nodes for late in node.late()]


def home_of(hand, node):
    """The worker that serves the function of the tests; the others have a connection each as well."""
    node.ask()
    assert hand.follow(node.answered)
    (home,) = [worker for worker in node.workers if worker.started]
    return home


FILLER = b"".join(frame(1, WHOLE, *(row(1, 1) for _ in range(600))) for _ in range(4))  # old events, 65 kB


@pytest.mark.parametrize("state", [DRAINING, GONE], ids=["drains", "is gone"])
@pytest.mark.parametrize("backlog", [b"", FILLER], ids=["at once", "behind a backlog"])
def test_requests_that_came_before_the_drain_in_a_standstill_go_elsewhere(side_by_side, state, backlog):
    """Requests and the event lay in their sockets together; the requests were read, and placed, first."""
    hand, nodes = side_by_side()
    homes = {node: home_of(hand, node) for node in nodes}
    clients = {node: [node.connected() for _ in range(4)] for node in nodes}

    def write(node):
        for client in clients[node]:
            node.ask(client)
        hand.quiet()
        node.tell(homes[node], state, before=backlog)

    assert stopped(hand, nodes, write) == []


@pytest.mark.parametrize("verb", ["503", "404"])
def test_what_a_worker_turned_away_in_a_standstill_does_not_go_to_one_that_drains(side_by_side, verb):
    """The answer was read, and a further attempt or an order to load begun, before the event was read."""
    hand, nodes = side_by_side()
    homes, held = {node: home_of(hand, node) for node in nodes}, {}
    for node in nodes:
        for worker in node.workers:
            worker.on_run = lambda line, said, node=node: held.setdefault(node, (line, said))
        node.ask()
    assert hand.follow(lambda: len(held) == len(nodes))

    def write(node):
        line, said = held[node]
        for worker in node.workers:
            worker.on_run = None
        line.say(verb, said["rid"])
        hand.quiet()
        other = next(worker for worker in node.workers if worker is not homes[node])
        node.tell(homes[node] if verb == "404" else other, DRAINING)

    assert stopped(hand, nodes, write) == []


def test_a_connection_that_came_up_in_a_standstill_carries_nothing_to_one_that_drains(side_by_side):
    """What waited for the connection left as soon as that was seen to be up, before the event was read."""
    hand, nodes = side_by_side(workers=1, **{"dial-timeout": 5_000_000})
    crowds = [machine_full(hand, node.workers[0]) for node in nodes]
    before = {node: dialling(node.workers[0].port) for node in nodes}
    for node in nodes:
        node.ask()
    assert hand.follow(lambda: all(dialling(node.workers[0].port) > before[node] for node in nodes))

    def write(node):
        worker = node.workers[0]
        worker.listener.sock.listen(1024)
        hand.addReader(worker.listener)
        assert hand.follow(lambda: len(worker.lines) > CROWD), "the connection never came"
        node.tell(worker, DRAINING)

    assert stopped(hand, nodes, write) == []
    for end in (end for crowd in crowds for end in crowd):
        end.close()


CROWD = 2  # connections that fill a listener's line


def machine_full(hand, worker):
    """Its machine takes no further connection."""
    hand.removeReader(worker.listener)
    worker.listener.sock.listen(0)
    crowd = [socket.socket() for _ in range(CROWD)]
    for end in crowd:
        end.setblocking(False)
        end.connect_ex(("127.0.0.1", worker.port))
    return crowd


def test_a_start_with_an_old_list_sends_nothing_before_the_board_has_told_what_is_newer(side_by_side):
    """The file was written before the worker drained; the board takes the connection and tells nothing."""
    hand, nodes = side_by_side(workers=1, started=False, known=Node.known)
    for node in nodes:
        node.board.answers = False
        node.tell(node.workers[0], DRAINING)
    past = time.monotonic() + PAST
    assert hand.follow(lambda: time.monotonic() > past)
    for node in nodes:
        node.start()
    for node in nodes:
        assert hand.follow(lambda node=node: reachable(node))
        node.ask()
    assert hand.follow(lambda: all(node.answered() for node in nodes))
    assert [late for node in nodes for late in node.late()] == []


def reachable(node):
    """It listens, ready or not."""
    with suppress(OSError), socket.create_connection((node.host, node.port)):
        return True
    return False

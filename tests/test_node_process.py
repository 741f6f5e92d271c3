"""The dispatcher process as the platform starts it: environment, signals, restarts."""

import gc
import json
import os
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Iterator
from contextlib import suppress
from typing import Any

import pytest

from lapistrestle.edge import reactor as edge_reactor
from lapistrestle.standins.platform import (
    BoardStub,
    ManualReactor,
    RunnerStub,
    WebServer,
    board_row,
    configuration,
    free_port,
)

HEAVY = ("numpy", "scipy", "matplotlib", "rich", "simpy", "lmdb", "structlog", "click", "json5")


class World:
    """A board, a runner and a dispatcher in a process of its own."""

    def __init__(self, folder: Any) -> None:
        self.reactor = ManualReactor()
        self.board, self.runner = BoardStub(self.reactor), RunnerStub(self.reactor)
        self.board.publish(1, 1, board_row(1, self.runner.port))
        self.port, self.path = free_port(), folder / "config.json"
        self.processes: list[Any] = []
        self.config = configuration(f"127.0.0.1:{self.port}", f"127.0.0.1:{self.board.port}")
        self.write(self.config)

    def write(self, config: Any) -> None:
        self.path.write_text(config if isinstance(config, str) else json.dumps(config))

    def start(self, words: Any = ("-m", "lapistrestle.node"), **more: Any) -> Any:
        env = {k: v for k, v in os.environ.items() if not k.startswith("EDGE_")}
        made = subprocess.Popen(
            [sys.executable, *words], env=env | {"EDGE_CONFIG": str(self.path)} | more,
            stderr=subprocess.PIPE, text=True,
        )  # fmt: skip
        self.processes.append(made)
        return made

    def until(self, done: Any) -> None:
        assert self.reactor.follow(done), "it never came"

    def is_ready(self) -> Any:
        """Whether the dispatcher's health check succeeds."""
        with suppress(OSError):
            client = WebServer(self.reactor, self.port)
            number = client.send_request(script="/_health")
            self.reactor.follow(lambda: client.status(number) is not None or client.closed)
            return client.status(number) == 200
        return False

    def call(self, id: Any) -> Any:
        client = WebServer(self.reactor, self.port)
        number = client.send_request(id=id)
        self.until(lambda: client.status(number) is not None)
        return client.status(number), client

    def end(self) -> None:
        for made in self.processes:
            if made.poll() is None:
                made.kill()
            made.wait()
            made.stderr.close()
        for end in (self.board, self.runner):
            end.listener.close()


@pytest.fixture
def world(tmp_path: Any) -> Iterator[Any]:
    made = World(tmp_path)
    yield made
    made.end()


def test_it_serves_moves_to_a_new_board_and_exits_with_zero(world: Any) -> None:
    node = world.start()
    world.until(world.is_ready)
    status, client = world.call("9b1f03aa5c7e2d41")
    assert status == 200 and client.body(1) == b"hello"
    world.write("{nonsense")
    node.send_signal(signal.SIGHUP)
    other = BoardStub(world.reactor)
    world.until(lambda: "refused" in node.stderr.readline())
    world.write(world.config | {"board": f"127.0.0.1:{other.port}"})
    node.send_signal(signal.SIGHUP)
    world.until(lambda: other.subscriptions)
    assert other.subscriptions[0] == 1 and world.call("9b1f03aa5c7e2d42")[0] == 200
    node.send_signal(signal.SIGTERM)
    assert world.call("9b1f03aa5c7e2d43")[0] == 200  # new connections are still accepted
    world.until(lambda: node.poll() is not None)
    assert node.returncode == 0
    other.listener.close()


def test_a_half_written_configuration_is_read_again_without_another_signal(world: Any) -> None:
    node = world.start()
    world.until(lambda: world.board.subscriptions)
    other = BoardStub(world.reactor)
    whole = json.dumps(world.config | {"board": f"127.0.0.1:{other.port}"})
    world.write(whole[: len(whole) // 2])
    node.send_signal(signal.SIGHUP)
    world.until(lambda: "refused" in node.stderr.readline())
    world.write(whole)
    world.until(lambda: other.subscriptions)
    assert other.subscriptions[0] == 1 and world.call("9b1f03aa5c7e2d41")[0] == 200
    other.listener.close()


def test_idle_clients_that_use_up_the_descriptors_do_not_affect_others(
    world: Any,
) -> None:
    """Discovery is down at the start, and more clients connect than the process's limit of
    descriptors allows.
    """
    world.config["limits"] = {"sockets": 64}
    world.config["known"] = {"rev": 0, "notices": []}
    world.write(world.config)
    world.board.listener.close()
    limit = "import resource, runpy; resource.setrlimit(resource.RLIMIT_NOFILE, (64, 64)); "
    node = world.start(words=["-c", limit + "runpy.run_module('lapistrestle.node', run_name='__main__')"])
    world.until(lambda: "listening" in node.stderr.readline())
    crowd = [WebServer(world.reactor, world.port) for _ in range(150)]
    world.until(lambda: all(not end.dialling for end in crowd))
    world.until(lambda: sum(bool(end.closed) for end in crowd) > 80)
    board = BoardStub(world.reactor, port=world.board.port)
    board.publish(1, 1, board_row(1, world.runner.port))
    world.until(lambda: board.subscriptions)

    world.until(world.is_ready)
    statuses = [world.call(f"9b1f03aa5c7e2d{i:02x}")[0] for i in range(20)]
    assert statuses == [200] * 20 and node.poll() is None
    board.listener.close()


def test_rolling_restarts_under_load_lose_no_request(world: Any) -> None:
    """As on the platform: new connections for 0.3 s after SIGTERM, requests on open ones for 0.2 s more."""
    ports, reactor = [free_port() for _ in range(3)], world.reactor
    sent_requests: list[Any] = []
    world.runner.on_run = lambda line, message: reactor.callLater(0.05, world.runner.answer, line, message)

    def start(port: Any) -> Any:
        node = world.start(EDGE_LISTEN=f"127.0.0.1:{port}", EDGE_NAME=f"n{port}")
        world.until(lambda: "listening" in node.stderr.readline())
        return node

    def send_request(port: int = 0, client: Any = None) -> Any:
        client = client or WebServer(reactor, port)
        sent_requests.append((client, client.send_request(id=f"{len(sent_requests) + 1:016x}")))
        return client

    def again(clients: Any) -> None:
        """Send another request on each connection whose last one was answered."""
        for client in clients:
            if client.status(client.last) is not None:
                send_request(client=client)

    nodes = {port: start(port) for port in ports}
    for port, node in nodes.items():
        kept = [send_request(port) for _ in range(3)]
        others = [send_request(other) for other in ports if other != port]
        world.until(lambda kept=kept: all(not client.dialling for client in kept))
        node.send_signal(signal.SIGTERM)
        end = time.monotonic() + 0.3
        fresh = send_request(port)
        while time.monotonic() < end:
            if fresh.status(1) is not None:
                fresh = send_request(port)
            again(others)
            reactor.run(0.01)
        end += 0.2
        while time.monotonic() < end:
            again(kept)
            reactor.run(0.01)
        world.until(lambda node=node: node.poll() is not None)
        assert node.returncode == 0
        nodes[port] = start(port)
    world.until(lambda: all(client.status(number) is not None for client, number in sent_requests))
    statuses = [client.status(number) for client, number in sent_requests]
    assert set(statuses) <= {200, 503} and statuses.count(200) > 20


@pytest.mark.parametrize("list_stands", [True, False])
@pytest.mark.parametrize("signals", ["TERM", "INT", "TERM TERM", "TERM INT", "HUP TERM", "TERM HUP"])
def test_it_exits_with_zero_whatever_signals_are_combined(world: Any, list_stands: Any, signals: Any) -> None:
    """Also before it is ready, while the board can't be reached."""
    if not list_stands:
        world.board.listener.close()
    node = world.start()
    world.until(lambda: "listening" in node.stderr.readline())
    for name in signals.split():
        node.send_signal(signal.Signals[f"SIG{name}"])
    world.until(lambda: node.poll() is not None)
    assert node.returncode == 0


def test_it_listens_only_after_the_reactors_first_turn(monkeypatch: Any) -> None:
    """Guards against accepting connections before the restarted process can serve them, most of a
    second later.
    """

    class Turning(ManualReactor):
        def callWhenRunning(self, call: Any, *args: Any) -> None:
            call(*args)

        def run(self, installSignalHandlers: Any = True) -> None:
            self.quiet()

    for word in ("freeze", "set_threshold"):
        monkeypatch.setattr(gc, word, lambda *args: None)
    reactor = Turning()
    begun: list[float] = []
    edge_reactor.run(reactor, lambda: begun.append(reactor.seconds()), {})
    assert not begun
    reactor.advance(0.03)
    assert begun


@pytest.mark.parametrize(
    ("config", "more", "code", "message"),
    [
        ("{", {}, 2, "config.json"),
        (None, {"EDGE_CONFIG": ""}, 2, "EDGE_CONFIG"),
        (None, {"EDGE_CONFIG": "/nowhere"}, 2, "/nowhere"),
        (None, {"EDGE_LISTEN": "127.0.0.1:TAKEN"}, 1, "can't listen"),
        (None, {"EDGE_LISTEN": "nowhere"}, 2, "EDGE_LISTEN"),
    ],
)
def test_a_failure_to_start_is_reported_in_one_line(
    world: Any, config: Any, more: Any, code: Any, message: Any
) -> None:
    if config:
        world.write(config)
    with socket.socket() as taken:
        taken.bind(("127.0.0.1", 0))
        taken.listen()
        port = str(taken.getsockname()[1])
        node = world.start(**{k: v.replace("TAKEN", port) for k, v in more.items()})
        _, errors = node.communicate(timeout=30)
    assert node.returncode == code
    lines = [line for line in errors.splitlines() if not line.startswith("{")]
    assert len(lines) == 1 and message in lines[0]


def test_unused_packages_are_not_imported() -> None:
    code = "import lapistrestle.node.__main__, sys; print(*sys.modules)"
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    loaded = done.stdout.split()
    assert "lapistrestle.node.front" in loaded
    assert not set(HEAVY) & {name.split(".")[0] for name in loaded}
    off = ("planner", "rollout", "command", "standins", "edge.program")
    assert not [name for name in loaded if name.startswith(tuple(f"lapistrestle.{part}" for part in off))]


def test_the_kernel_reports_how_long_data_was_unread() -> None:
    listener = socket.create_server(("127.0.0.1", 0))
    sender = socket.create_connection(listener.getsockname())
    receiver, _ = listener.accept()
    sent = time.monotonic()
    sender.sendall(b"x")
    receiver.recv(1, socket.MSG_PEEK)
    while edge_reactor.unread_for(receiver) < 0.05:
        assert time.monotonic() < sent + 20
    assert edge_reactor.unread_for(receiver) <= time.monotonic() - sent + 0.02
    one, other = socket.socketpair()
    assert edge_reactor.unread_for(one) == 0.0
    for end in (listener, sender, receiver, one, other):
        end.close()

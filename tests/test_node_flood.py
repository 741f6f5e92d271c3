"""Deadlines and the shutdown hold while clients send or connect without a pause, or the board sends much.

The clock advances by the time that an iteration of the event loop, an event or a new connection takes.
"""

import os
import socket
from collections import deque
from collections.abc import Callable
from typing import Any

import pytest
from node_harness import harnesses
from test_crossings import harness
from test_node_drains import CHANGES, DRAINING

from lapistrestle.node import fastcgi
from lapistrestle.node.streams import READ_SIZE, dial
from lapistrestle.standins.platform import board_row

ITERATION = 0.1  # seconds that one iteration of the event loop takes
CROWD = 60_000  # connections of a crowd; to accept them takes longer than a shutdown may
OPEN_CONNECTIONS = 32  # of a crowd at a time
ACCEPT_TIME = 0.0001  # seconds that one new connection takes
EVENT_TIME = 0.0001  # seconds that one event of the board takes
SERVED, REFUSED = 200, 503  # statuses
RECORD_TIME = 0.00005  # seconds that one record of a client takes
BAD_CLIENTS = 16
LATENCY_OBJECTIVE = 1.2  # seconds, of the class that is requested
UNUSED_PORT = 1  # of a worker that is never called
EVENTS = 20_000  # of a board that has been away; they take longer than any request may
REQUESTS = 20  # of the bad client in each iteration
LATEST_ANSWER = 0.5  # seconds after its deadline at which a final answer still counts
EARLIEST_KILL = 3.0 + 0.7  # seconds from SIGTERM to SIGKILL at the earliest, with deadlines of 3 s or more

__all__ = ["harness", "harnesses"]  # the fixtures


class BadClient:
    """Sends requests of a class that does not exist, many in each iteration of the event loop."""

    def __init__(self, harness: Any) -> None:
        self.reactor = harness.reactor
        self.connection = harness.connect_client()

    def iterate(self) -> None:
        """Send, and run one iteration of the event loop, which reads what was sent."""
        if not self.connection.dead:
            for _ in range(REQUESTS):
                self.connection.send_request(script="/invoke/nosuch", id=os.urandom(8).hex())
        self.reactor.iterate(ITERATION)


def run_without_answer(harness: Any, client: Any, patience_ms: int) -> Any:
    """Send a request whose runner never answers. Returns its number."""
    harness.runners[0].on_run = lambda line, message: None
    number = client.send_request(method="bill", patience=str(patience_ms))
    harness.reactor.until(harness.run_messages)
    return number


def test_the_deadline_of_a_request_holds_while_another_client_sends_without_a_pause(harness: Any) -> None:
    """Guards against deferring overdue timers until input ends: the final answer came 2 s late."""
    patience = 1.0
    client, bad_client = harness.connect_client(), BadClient(harness)
    number = run_without_answer(harness, client, int(patience * 1000))
    sent_at = harness.reactor.rightNow
    while client.status(number) is None:
        bad_client.iterate()
    waited = harness.reactor.rightNow - sent_at
    assert waited <= patience + LATEST_ANSWER
    assert len(bad_client.connection.finished_requests) > REQUESTS


def test_requests_are_answered_in_time_while_many_clients_send_small_records(
    harness: Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against reading as much of each connection in each poll, whatever it takes to handle it."""
    read_record = fastcgi.RecordReader.read_record

    def read_slowly(*args: Any) -> None:
        harness.reactor.rightNow += RECORD_TIME
        read_record(*args)

    monkeypatch.setattr(fastcgi.RecordReader, "read_record", read_slowly)
    bad_clients = [harness.connect_client() for _ in range(BAD_CLIENTS)]
    client = harness.connect_client()
    waits = []
    for _ in range(10):
        number = client.send_request()
        sent_at = harness.reactor.rightNow
        while client.status(number) is None:
            for bad_client in bad_clients:
                if bad_client.unsent_bytes < READ_SIZE:
                    bad_client.send(fastcgi.encode_record(fastcgi.GET_VALUES, 0) * (READ_SIZE // 8))
            harness.reactor.iterate(0.0001)
        waits.append(harness.reactor.rightNow - sent_at)
    assert client.status(number) == SERVED and max(waits) <= LATENCY_OBJECTIVE


def test_slow_iterations_read_no_more_of_a_client_than_others(harness: Any) -> None:
    """Guards against reads that grow with the time of an iteration, which makes the next one longer still."""
    bad_client = BadClient(harness)
    (connection,) = harness.node.front.connections
    for _ in range(4):
        bad_client.connection.send(fastcgi.encode_record(fastcgi.GET_VALUES, 0, bytes(40_000)))
    for _ in range(5):
        before = connection.bytes_read
        bad_client.reactor.iterate(ITERATION)
        assert 0 < connection.bytes_read - before <= READ_SIZE


def test_a_shutdown_ends_in_time_while_a_client_sends_without_a_pause(harness: Any) -> None:
    """Guards against deferring the timers of a shutdown: SIGKILL came before open requests had an answer."""
    client, bad_client, stopped = harness.connect_client(), BadClient(harness), list[float]()
    number = run_without_answer(harness, client, patience_ms=2_000)
    told_at = harness.reactor.rightNow
    harness.node.shut_down(lambda: stopped.append(harness.reactor.rightNow))
    while not stopped and harness.reactor.rightNow < told_at + EARLIEST_KILL:
        bad_client.iterate()
    assert stopped
    harness.reactor.quiet()
    assert client.status(number) is not None


class BusyBoard:
    """A board that sends many events in one go, each of which takes EVENT_TIME of the clock to apply."""

    def __init__(self, harness: Any) -> None:
        self.harness = harness
        self.discovery = harness.node.discovery
        self.last = self.discovery.revision + EVENTS
        apply = self.discovery.apply

        def apply_slowly(*args: Any) -> None:
            harness.reactor.rightNow += EVENT_TIME
            apply(*args)

        self.discovery.apply = apply_slowly

    def publish(self, last_row: bytes) -> None:
        """Send changes of a worker that nobody uses, and one of another worker as the last event."""
        other = board_row(99, UNUSED_PORT, state=DRAINING)
        for revision in range(self.discovery.revision + 1, self.last):
            self.harness.board.publish(revision, CHANGES, other)
        self.harness.board.publish(self.last, CHANGES, last_row)

    def is_read(self) -> bool:
        """Whether all its events have been applied."""
        return bool(self.discovery.revision == self.last)


def send_until(harness: Any, client: Any, is_over: Callable[[], bool]) -> list[int]:
    """Send a request in each iteration of the event loop. Returns their numbers."""
    numbers = list[int]()
    while not is_over():
        numbers.append(client.send_request(id=os.urandom(8).hex()))
        harness.reactor.iterate(0.001)
    return numbers


def test_the_deadline_of_a_request_holds_while_the_board_sends_many_events(harness: Any) -> None:
    """Guards against reading the board to its end before work starts, however long that takes."""
    patience = 1.0
    client, other = harness.connect_client(), harness.connect_client()
    number = run_without_answer(harness, client, int(patience * 1000))
    sent_at, board = harness.reactor.rightNow, BusyBoard(harness)
    board.publish(harness.row(0))
    send_until(harness, other, lambda: client.status(number) is not None)
    assert harness.reactor.rightNow - sent_at <= patience + LATEST_ANSWER


def test_nothing_is_started_while_events_of_the_board_are_unread(harnesses: Any) -> None:
    """Any worker may be draining by the last of them; once all are read, work goes on with the others."""
    harness = harnesses(runners=2)
    client, board = harness.connect_client(), BusyBoard(harness)
    board.publish(harness.row(0, state=DRAINING))
    runs_while_unread = list[Any]()

    def is_over() -> bool:
        if not board.is_read():
            runs_while_unread[:] = harness.run_messages()
        return board.is_read()

    numbers = send_until(harness, client, is_over)
    assert len(numbers) > 2 and client.status(numbers[0]) == REFUSED and not runs_while_unread
    number = client.send_request(id=os.urandom(8).hex())
    harness.reactor.until(lambda: client.status(number) is not None)
    assert client.status(number) == SERVED and not harness.runners[0].runs


class ConnectingCrowd:
    """Clients that connect without a pause: one as soon as another is accepted, which takes ACCEPT_TIME."""

    def __init__(self, harness: Any) -> None:
        self.harness = harness
        self.left = CROWD
        self.sockets = deque[socket.socket]()
        listener = harness.node.front.listener
        self.serve, listener.on_connection = listener.on_connection, self.accepted

    def connect(self) -> None:
        """Connect one more, and close the oldest of many."""
        self.left -= 1
        self.sockets.append(dial("127.0.0.1", self.harness.port))
        if len(self.sockets) > OPEN_CONNECTIONS:
            self.sockets.popleft().close()

    def accepted(self, sock: socket.socket) -> None:
        """One of them was accepted."""
        self.harness.reactor.rightNow += ACCEPT_TIME
        self.serve(sock)
        if self.left:
            self.connect()

    def close(self) -> None:
        """Close those that are open."""
        for sock in self.sockets:
            sock.close()


def test_open_requests_are_answered_at_a_shutdown_while_clients_connect_without_a_pause(harness: Any) -> None:
    """Guards against accepting until nobody waits, which may be never: SIGKILL came before the answers."""
    client, crowd, stopped = harness.connect_client(), ConnectingCrowd(harness), list[float]()
    number = run_without_answer(harness, client, patience_ms=2_000)
    crowd.connect()
    told_at = harness.reactor.rightNow
    harness.node.shut_down(lambda: stopped.append(harness.reactor.rightNow))
    while client.status(number) is None and harness.reactor.rightNow < told_at + EARLIEST_KILL:
        harness.reactor.iterate(0.001)
    assert client.status(number) is not None and harness.reactor.rightNow < told_at + EARLIEST_KILL
    assert crowd.left
    crowd.left = 0
    harness.reactor.run(1.0)
    assert stopped
    crowd.close()

"""Every request read gets an answer, whatever closes its connection or happens on others.

On real connections; each test forces the bad order by what it sends and awaits.
"""

import errno
import inspect
import socket
from collections.abc import Callable, Iterator
from typing import Any

import pytest
import test_crossings
from test_node import Stage

from lapistrestle.node import client_connection as client_connections
from lapistrestle.node import fastcgi
from lapistrestle.node import front as fronts
from lapistrestle.standins.platform import WebServer, begin_request

JUNK = b"GET / HTTP/1.1\r\n\r\n"
BODY = bytes(16_384)
shut_down: Any = test_crossings.shut_down
request_bytes: Any = test_crossings.request_bytes


@pytest.fixture
def stages() -> Iterator[Callable[..., Any]]:
    made: list[Any] = []
    new_stage: Any = Stage

    def make(*args: Any, **more: Any) -> Any:
        made.append(new_stage(*args, **more))
        return made[-1]

    yield make
    for stage in made:
        stage.close()


@pytest.fixture
def stage(stages: Any) -> Any:
    """One runner, which gets every call."""
    return stages(runners=1)


def hold_runs(stage: Any) -> list[Any]:
    """Have the runners not answer. Returns the list of their calls."""
    got: list[Any] = []
    for runner in stage.runners:
        runner.on_run = lambda line, message: got.append((line, message))
    return got


def answer_all(stage: Any, got: list[Any]) -> None:
    for line, message in got:
        stage.runners[0].answer(line, message)
    stage.hand.quiet()


def hold_requests(stage: Any) -> list[Any]:
    """Have the module decide nothing. Returns the list of its requests."""
    met: list[Any] = []
    stage.module.on_request = met.append
    return met


class FullSocket:
    """A listening socket of a process that has no descriptor left until `free` returns true."""

    def __init__(self, sock: socket.socket, free: Callable[[], object]) -> None:
        self.sock, self.free = sock, free

    def accept(self) -> tuple[socket.socket, Any]:
        if not self.free():
            raise OSError(errno.EMFILE, "too many open files")
        return self.sock.accept()

    def fileno(self) -> int:
        return self.sock.fileno()

    def close(self) -> None:
        self.sock.close()


def connect(stage: Any) -> WebServer:
    """A connection that the kernel has established and the dispatcher has not accepted."""
    stage.hand.removeReader(stage.node.front.listener)
    client = WebServer(stage.hand, stage.port)
    stage.ends.append(client)
    stage.hand.until(lambda: not client.dialling)
    return client


def accept(stage: Any) -> None:
    stage.hand.addReader(stage.node.front.listener)
    stage.hand.quiet()


def fill(stage: Any) -> list[WebServer]:
    """Open the maximum number of connections, each with an open request."""
    crowd: list[WebServer] = []
    for _ in range(stage.node.front.max_connections):
        crowd.append(stage.client())
        crowd[-1].send_request(id=f"{len(crowd) + 1000:016x}", patience="4000")
    stage.hand.until(lambda: stage.host.open_requests == len(crowd))
    return crowd


def slow_reader(stage: Any) -> tuple[WebServer, Any]:
    """A client with small socket buffers that reads nothing until told to."""
    client = stage.client()
    client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 32_768)
    stage.hand.until(lambda: stage.node.front.connections)
    connection = next(reversed(stage.node.front.connections))
    connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 32_768)
    stage.hand.removeReader(client)
    return client, connection


def ask_in_turn(stage: Any, client: WebServer, count: int) -> list[int]:
    numbers: list[int] = []
    for ok in range(1, count + 1):
        numbers.append(client.send_request(body=BODY))
        stage.hand.until(lambda ok=ok: stage.host.counts["ok"] == ok)
    return numbers


def read_on(stage: Any, client: WebServer) -> None:
    if not client.dead:
        stage.hand.addReader(client)
    stage.hand.quiet()


# malformed requests beside valid ones on the same connection


def test_an_open_request_is_answered_before_its_connection_closes_for_invalid_data(stage: Any) -> None:
    client, got = stage.client(), hold_runs(stage)
    number = client.send_request(method="bill")
    stage.hand.until(lambda: got)
    client.send(JUNK)
    stage.hand.quiet()
    answer_all(stage, got)
    stage.hand.until(lambda: client.closed)
    assert client.status(number) == 200 and client.finished_requests == [number]


def test_complete_requests_right_before_invalid_data_are_answered(stage: Any) -> None:
    client = stage.client()
    client.send(request_bytes(1) + request_bytes(2) + JUNK)
    stage.hand.until(lambda: client.closed)
    assert client.status(1) == 200 and client.status(2) == 200


def test_invalid_data_closes_its_connection_in_time_though_a_runner_is_silent(stage: Any) -> None:
    client, got = stage.client(), hold_runs(stage)
    number = client.send_request(method="bill", patience="4000")
    stage.hand.until(lambda: got)
    client.send(JUNK)
    stage.hand.run(2.7)
    assert client.closed and client.status(number) in (500, 503)


def test_of_two_requests_under_one_id_neither_is_served_and_others_are_answered(stage: Any) -> None:
    client, got = stage.client(), hold_runs(stage)
    doubled, other = client.send_request(), client.send_request()
    stage.hand.until(lambda: len(got) == 2)
    client.send(begin_request(doubled))
    stage.hand.quiet()
    answer_all(stage, got)
    stage.hand.until(lambda: client.closed)
    assert client.status(other) == 200 and client.status(doubled) is None
    assert stage.host.counts["left"] == 1


def test_a_client_that_closes_after_invalid_data_counts_as_disconnected(stages: Any) -> None:
    """No retry is started for it, though its data is discarded."""
    stage = stages(runners=2)
    client, got = stage.client(), hold_runs(stage)
    client.send_request()
    stage.hand.until(lambda: got)
    client.send(JUNK * 4000)
    stage.hand.quiet()
    client.drop("gone")
    stage.hand.until(lambda: stage.host.counts["left"])
    got[0][0].send_message("503", got[0][1]["rid"])
    stage.hand.run(0.5)
    assert len(stage.runs()) == 1 and stage.host.open_requests == 0


@pytest.mark.parametrize("bad", ["body", "fields"])
def test_a_request_too_large_does_not_affect_others_on_its_connection(stage: Any, bad: str) -> None:
    client, got = stage.client(), hold_runs(stage)
    number = client.send_request()
    stage.hand.until(lambda: got)
    large = (
        client.send_request(body=b"x" * 20_000)
        if bad == "body"
        else client.send_request(HTTP_X_LONG="x" * 20_000)
    )
    stage.hand.until(lambda: client.status(large) is not None)
    assert client.status(large) in (413, 431)
    late = client.send_request(id="9b1f03aa5c7e2d41")  # the client may not know yet
    stage.hand.quiet()
    answer_all(stage, got)
    stage.hand.until(lambda: client.closed)
    assert client.status(number) == 200 and client.status(late) in (200, 503)


def test_an_incomplete_request_does_not_affect_others_on_its_connection(stage: Any) -> None:
    client, got = stage.client(), hold_runs(stage)
    number, half = client.send_request(method="bill", patience="4000"), client.send_request(whole=False)
    stage.hand.until(lambda: got)
    stage.hand.run(2.6)
    assert client.status(half) == 408
    answer_all(stage, got)
    stage.hand.until(lambda: client.closed)
    assert client.status(number) == 200


def test_a_connection_closed_for_its_buffered_bytes_has_its_open_requests_answered(stages: Any) -> None:
    stage = stages(runners=1, memory_mb=4)
    client, got = stage.client(), hold_runs(stage)
    halves: list[int] = []
    number = client.send_request()
    stage.hand.until(lambda: got)
    for _ in range(5):
        crowd = stage.client()
        for _ in range(6):
            crowd.send_request(body=BODY, whole=False)
    for _ in range(20):
        halves.append(client.send_request(body=BODY, whole=False))
        stage.hand.quiet()
    answer_all(stage, got)
    stage.hand.until(lambda: client.closed)
    assert client.status(number) == 200
    assert all(client.status(half) in (None, 503) for half in halves) and client.status(halves[0]) == 503


def test_answers_are_not_lost_to_a_reset_for_unread_data(stage: Any) -> None:
    client, _ = slow_reader(stage)
    numbers = ask_in_turn(stage, client, 8)
    client.send(JUNK + bytes(60_000))
    stage.hand.quiet()
    read_on(stage, client)
    stage.hand.until(lambda: client.closed)
    assert [client.status(number) for number in numbers] == [200] * 8


def test_a_request_behind_one_without_keep_conn_is_answered(stage: Any) -> None:
    """Guards against closing, and so resetting, a connection with another request unread."""
    client, got = stage.client(), hold_runs(stage)
    client.send(request_bytes(1).replace(begin_request(1), begin_request(1, keep=0)))
    stage.hand.until(lambda: got)
    (connection,) = stage.node.front.connections
    stage.hand.removeReader(connection)  # data that arrives now is read after the answer is sent
    client.last = 1
    client.send_request()
    answer_all(stage, got[:1])
    if not connection.dead:
        stage.hand.addReader(connection)
    stage.hand.quiet()
    answer_all(stage, got[1:])
    stage.hand.until(lambda: client.closed)
    assert client.status(1) == 200 and client.status(2) in (200, 503)


def test_data_after_invalid_data_is_discarded_within_bounds(stage: Any) -> None:
    """Also of a client that goes on sending after the shutdown of its connection."""
    sent = 0
    with socket.create_connection(("127.0.0.1", stage.port)) as client:
        stage.hand.quiet()
        (connection,) = stage.node.front.connections
        client.sendall(JUNK)
        client.setblocking(False)
        for _ in range(2000):
            try:
                sent += client.send(bytes(16_384))
            except BlockingIOError:
                stage.hand.quiet()
            except OSError:
                break
            stage.hand.serve()
    assert connection.dead and sent < 16_000_000
    assert connection.bytes_read <= client_connections.MAX_DISCARDED + 65_536
    assert stage.node.front.buffered_bytes == 0 and not stage.node.front.closing


def test_a_closing_connection_reads_a_flood_without_recursion(stage: Any) -> None:
    """Guards against each read starting the next one recursively."""
    depths: list[int] = []
    client = stage.client()
    (connection,) = stage.node.front.connections
    read = connection.read

    def measured(pieces: int) -> None:
        depths.append(len(inspect.stack(0)))
        read(pieces)

    connection.read = measured
    client.send(request_bytes(1).replace(begin_request(1), begin_request(1, keep=0)))
    client.send(fastcgi.encode_record(fastcgi.GET_VALUES, 0, bytes(40_000)) * 10)
    stage.hand.until(lambda: client.closed)
    assert client.status(1) == 200 and max(depths) - min(depths) < 15


# a client that does not read


def test_a_client_that_reads_late_gets_every_answer(stage: Any) -> None:
    """Guards against dropping the connection, with its open requests, at 1 MiB of unsent data."""
    client, connection = slow_reader(stage)
    numbers = []
    for _ in range(120):
        numbers.append(client.send_request(body=BODY))
        stage.hand.quiet()
        assert connection.unsent_bytes <= 2 * client_connections.MAX_UNSENT
    read_on(stage, client)
    stage.hand.until(lambda: len(client.finished_requests) == len(numbers) or client.closed)
    assert [client.status(number) for number in numbers] == [200] * 120


def test_no_retry_is_started_for_a_client_that_aborts_while_it_does_not_read(stages: Any) -> None:
    """Its connection is not read meanwhile, so whether it still waits is unknown."""
    stage, held = stages(runners=2), list[Any]()
    for runner in stage.runners:
        runner.on_run = lambda line, message: held.append((line, message))
    client, connection = slow_reader(stage)
    waits = client.send_request()
    stage.hand.until(lambda: held)
    line, message = held[0]
    for runner in stage.runners:
        runner.on_run = None
    while not connection.reads_paused:
        client.send_request(body=BODY)
        stage.hand.quiet()
    client.give_up(waits)
    stage.hand.run(0.2)
    line.send_message("503", message["rid"])
    stage.hand.run(0.2)
    assert [run["rid"] for run in stage.runs()].count(message["rid"]) == 1
    read_on(stage, client)
    stage.hand.until(lambda: len(client.finished_requests) == client.last or client.closed)
    assert len(client.finished_requests) == client.last


def test_a_client_that_never_reads_is_closed(stage: Any) -> None:
    client, connection = slow_reader(stage)
    for _ in range(120):
        client.send_request(body=BODY)
    stage.hand.quiet()
    stage.hand.run(10.0)
    assert connection.dead and stage.host.open_requests == 0


def test_a_connection_with_an_unsent_answer_is_not_evicted(stage: Any) -> None:
    client, connection = slow_reader(stage)
    numbers = ask_in_turn(stage, client, 20)
    assert connection.unsent
    stage.hand.run(0.6)
    assert not stage.node.front.evict_idle()
    read_on(stage, client)
    stage.hand.until(lambda: len(client.finished_requests) == 20 or client.closed)
    assert [client.status(number) for number in numbers] == [200] * 20


# the limit of connections and descriptors


@pytest.mark.parametrize("when", ["before it is met", "soon after"])
def test_a_request_on_a_connection_over_the_limit_is_answered(stages: Any, when: str) -> None:
    """Guards against closing a connection over the limit without reading its first request."""
    stage = stages(runners=1, sockets=64)
    hold_requests(stage)
    crowd = fill(stage)
    late = connect(stage)
    if when == "before it is met":
        late.send_request(id="9b1f03aa5c7e2d41")
        accept(stage)
    else:
        accept(stage)
        stage.hand.run(0.03)
        late.send_request(id="9b1f03aa5c7e2d41")
    stage.hand.until(lambda: late.closed)
    assert late.status(1) == 503 and not any(client.closed for client in crowd)


def test_a_request_that_comes_in_pieces_on_a_connection_over_the_limit_is_answered(stages: Any) -> None:
    stage = stages(runners=1, sockets=64)
    hold_requests(stage)
    fill(stage)
    late = connect(stage)
    accept(stage)
    for piece in (request_bytes()[:3], request_bytes()[3:60], request_bytes()[60:]):
        late.send(piece)
        stage.hand.quiet()
    stage.hand.until(lambda: late.closed)
    assert late.status(1) == 503


@pytest.mark.parametrize("new", ["a silent one", "one that asks"])
def test_an_evicted_new_connection_has_its_first_request_answered(stages: Any, new: str) -> None:
    """Guards against evicting the oldest of many new connections while its first request is in transit."""
    stage = stages(runners=1, sockets=64)
    first = stage.client()
    crowd = [stage.client() for _ in range(stage.node.front.max_connections)]
    if new == "one that asks":
        crowd[-1].send_request(id="9b1f03aa5c7e2d41")
        stage.hand.until(lambda: crowd[-1].finished_requests)
    first.send_request(id="9b1f03aa5c7e2d42")
    stage.hand.until(lambda: first.finished_requests or first.closed)
    assert first.status(1) == 200
    assert len(stage.node.front.connections) <= stage.node.front.max_connections


def test_connections_over_the_limit_are_bounded_and_closed(stages: Any) -> None:
    stage = stages(runners=1, sockets=64)
    met = hold_requests(stage)
    kept = fill(stage)
    crowd = [stage.client() for _ in range(100)]
    front = stage.node.front
    assert len(front.connections) + len(front.closing) <= 64 * 9 // 20
    stage.hand.run(2.9)
    assert all(client.closed for client in crowd)
    assert len(met) == len(kept) == stage.host.open_requests and not any(client.closed for client in kept)
    for request in met:
        stage.host.reject(request, 0)
    stage.hand.until(lambda: all(client.status(1) == 503 for client in kept))


def test_the_accept_queue_is_answered_at_shutdown_though_no_descriptor_is_left(stage: Any) -> None:
    """Guards against closing the listener, which resets the connections in its accept queue."""
    idle = stage.client()
    late = connect(stage)
    late.send_request(id="9b1f03aa5c7e2d41")
    listener, sock = stage.node.front.listener, stage.node.front.listener.sock

    stage.hand.removeReader(listener)
    listener.sock = FullSocket(sock, lambda: idle.closed)
    stopped = shut_down(stage)
    stage.hand.run(2.0)
    stage.hand.until(lambda: late.closed)
    assert late.status(1) in (200, 503) and stopped


def test_the_time_in_the_accept_queue_counts_towards_the_patience(stage: Any) -> None:
    got, full = hold_runs(stage), False
    stage.hand.unread_for = lambda sock: 0.4
    client = connect(stage)
    client.send_request(patience="1000")
    listener, sock = stage.node.front.listener, stage.node.front.listener.sock

    listener.sock, full = FullSocket(sock, lambda: not full), True
    listener.doRead()
    for _ in range(4):
        stage.hand.run(0.1)
    full = False
    stage.hand.run(0.1)
    stage.hand.until(lambda: got)
    assert got[0][1]["attrs"]["budget"] <= 1000 - 400


# shutdown


def test_all_unread_requests_at_shutdown_are_answered(stage: Any) -> None:
    """Guards against reading only 16 KiB of each connection at the end and resetting the rest."""
    client = stage.client()
    stage.hand.quiet()
    stopped = shut_down(stage)
    stage.hand.run(0.74)
    (connection,) = stage.node.front.connections
    core, check = stage.node.core, stage.node.core.check_finished

    def last(_: object = None) -> Any:
        core.check_finished = check
        stage.hand.removeReader(connection)
        numbers.extend(client.send_request(body=BODY[:8000], id=f"{i:016x}") for i in range(1, 20))
        stage.hand.until(lambda: not client.unsent)
        return check()

    numbers: list[int] = []
    core.check_finished = last
    stage.hand.run(0.5)
    assert stopped and numbers
    stage.hand.until(lambda: client.closed)
    assert all(client.status(number) in (200, 503) for number in numbers)


def test_an_incomplete_request_at_shutdown_is_rejected(stage: Any) -> None:
    client = stage.client()
    stopped = shut_down(stage)
    stage.hand.run(0.7)
    half = client.send_request(whole=False)
    stage.hand.run(0.5)
    assert stopped
    stage.hand.until(lambda: client.closed)
    assert client.status(half) == 503


# faults of other parties


@pytest.mark.parametrize("event", ["arrived", "ended", "woken"])
def test_an_error_in_the_module_leaves_the_request_one_final_answer(stage: Any, event: str) -> None:
    def fault(*args: Any) -> None:
        raise RuntimeError("planted")

    setattr(stage.module, event, fault)
    if event == "woken":
        hold_runs(stage)
    client = stage.client()
    number = client.send_request(patience="1000")
    stage.hand.run(1.0)
    assert client.status(number) in (200, 500, 503)
    stage.hand.run(3.0)
    assert client.finished_requests == [number] and stage.host.open_requests == 0


@pytest.mark.parametrize("trouble", ["silent", "spoilt", "reset", "cut"])
def test_a_fault_of_a_runner_leaves_each_request_one_final_answer_by_its_deadline(
    stages: Any, trouble: str
) -> None:
    stage = stages(runners=2)

    def play(line: Any, message: Any) -> None:
        if trouble == "spoilt":
            line.send(b'{"verb":"200","rid":"\xff\xfe\n')
        elif trouble == "reset" and not line.dead:
            line.reset()
        elif trouble == "cut":
            line.send(b'{"verb":"200","rid":"%s","content":"QU' % message["rid"].encode())
            line.drop("cut")

    for runner in stage.runners:
        runner.on_run = play
    client = stage.client()
    keys = {"publish": {"HTTP_X_DEDUPE_KEY": "5c0f6e1a"}}
    numbers = [
        client.send_request(method=method, patience="1000", function=f"{i:016x}", **keys.get(method, {}))
        for i, method in enumerate(["search", "publish", "bill"] * 4)
    ]
    stage.hand.run(1.0)
    assert all(client.status(number) in (500, 503) for number in numbers)
    stage.hand.run(3.0)
    assert sorted(client.finished_requests) == numbers and stage.host.open_requests == 0


def test_a_flood_of_others_leaves_each_request_one_final_answer_by_its_deadline(stages: Any) -> None:
    stage = stages(runners=1, sockets=64)
    hold_runs(stage)
    usual = stage.client()
    numbers = [usual.send_request(method="bill", patience="1000") for _ in range(8)]
    stage.hand.until(lambda: stage.host.counts["taken"] == 8)
    for turn in range(20):
        crowd = [stage.client() for _ in range(20)]
        crowd[0].send(JUNK + bytes(100_000))
        crowd[1].send(begin_request(1) * 2)
        crowd[2].send_request(whole=False)
        crowd[3].send(begin_request(1) + fastcgi.encode_record(fastcgi.PARAMS, 1, b"\xff" * 60_000))
        for _ in range(40):
            crowd[4].give_up(crowd[4].send_request(id=f"{turn + 1:08x}{crowd[4].last:08x}"))
        stage.hand.run(0.05)
    stage.hand.quiet()
    assert not usual.closed and all(usual.status(number) in (500, 503) for number in numbers)
    stage.hand.run(3.0)
    assert sorted(usual.finished_requests) == numbers and stage.host.open_requests == 0


def test_closing_connections_are_closed_after_a_time(stage: Any) -> None:
    """A peer that neither reads nor closes does not hold a descriptor forever."""
    client, connection = slow_reader(stage)
    client.send_request(body=BODY)
    client.send(JUNK)
    stage.hand.quiet()
    stage.hand.run(1.0 + 2 * fronts.SWEEP_INTERVAL / 10_000)
    assert connection.dead and not stage.node.front.closing

"""Every request that the node reads gets an answer, whatever closes its connection or happens on others.

Over loopback sockets; each test forces the unfavourable order by what it sends and waits for.
"""

import errno
import inspect
import socket
from collections.abc import Callable
from typing import Any

import pytest
import test_crossings
from node_harness import harnesses

from lapistrestle.node import client_connection as client_connections
from lapistrestle.node import fastcgi
from lapistrestle.node import front as fronts
from lapistrestle.standins.platform import WebServer, begin_request

INVALID_DATA = b"GET / HTTP/1.1\r\n\r\n"
BODY = bytes(16_384)
shut_down: Any = test_crossings.shut_down
request_bytes: Any = test_crossings.request_bytes

__all__ = ["harnesses"]  # the fixture


@pytest.fixture
def harness(harnesses: Any) -> Any:
    """One runner, which gets every call."""
    return harnesses(runners=1)


def hold_runs(harness: Any) -> list[Any]:
    """Have the runners leave calls unanswered. Returns a list that collects them: connection and message."""
    received: list[Any] = []
    for runner in harness.runners:
        runner.on_run = lambda line, message: received.append((line, message))
    return received


def answer_all(harness: Any, received: list[Any]) -> None:
    for line, message in received:
        harness.runners[0].answer(line, message)
    harness.reactor.quiet()


def hold_requests(harness: Any) -> list[Any]:
    """Have the decision module leave requests undecided. Returns a list that collects them."""
    requests: list[Any] = []
    harness.module.on_request = requests.append
    return requests


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


def connect(harness: Any) -> WebServer:
    """A connection that the kernel has established and the dispatcher has not accepted."""
    harness.reactor.removeReader(harness.node.front.listener)
    client = WebServer(harness.reactor, harness.port)
    harness.to_close.append(client)
    harness.reactor.until(lambda: not client.dialling)
    return client


def accept(harness: Any) -> None:
    harness.reactor.addReader(harness.node.front.listener)
    harness.reactor.quiet()


def fill_connections(harness: Any) -> list[WebServer]:
    """Open the maximum number of connections, each with an open request."""
    other_clients: list[WebServer] = []
    for _ in range(harness.node.front.max_connections):
        other_clients.append(harness.connect_client())
        other_clients[-1].send_request(id=f"{len(other_clients) + 1000:016x}", patience="4000")
    harness.reactor.until(lambda: harness.host.open_requests == len(other_clients))
    return other_clients


def slow_reader(harness: Any) -> tuple[WebServer, Any]:
    """A client with small socket buffers that reads nothing until `resume_reading`."""
    client = harness.connect_client()
    client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 32_768)
    harness.reactor.until(lambda: harness.node.front.connections)
    connection = next(reversed(harness.node.front.connections))
    connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 32_768)
    harness.reactor.removeReader(client)
    return client, connection


def ask_in_turn(harness: Any, client: WebServer, count: int) -> list[int]:
    numbers: list[int] = []
    for ok in range(1, count + 1):
        numbers.append(client.send_request(body=BODY))
        harness.reactor.until(lambda ok=ok: harness.host.counts["ok"] == ok)
    return numbers


def resume_reading(harness: Any, client: WebServer) -> None:
    if not client.dead:
        harness.reactor.addReader(client)
    harness.reactor.quiet()


# malformed requests beside valid ones on the same connection


def test_an_open_request_is_answered_before_its_connection_closes_for_invalid_data(harness: Any) -> None:
    client, received = harness.connect_client(), hold_runs(harness)
    number = client.send_request(method="bill")
    harness.reactor.until(lambda: received)
    client.send(INVALID_DATA)
    harness.reactor.quiet()
    answer_all(harness, received)
    harness.reactor.until(lambda: client.closed)
    assert client.status(number) == 200 and client.finished_requests == [number]


def test_complete_requests_right_before_invalid_data_are_answered(harness: Any) -> None:
    client = harness.connect_client()
    client.send(request_bytes(1) + request_bytes(2) + INVALID_DATA)
    harness.reactor.until(lambda: client.closed)
    assert client.status(1) == 200 and client.status(2) == 200


def test_invalid_data_closes_its_connection_in_time_though_a_runner_is_silent(harness: Any) -> None:
    client, received = harness.connect_client(), hold_runs(harness)
    number = client.send_request(method="bill", patience="4000")
    harness.reactor.until(lambda: received)
    client.send(INVALID_DATA)
    harness.reactor.run(2.7)
    assert client.closed and client.status(number) in (500, 503)


def test_of_two_requests_under_one_id_neither_is_served_and_others_are_answered(harness: Any) -> None:
    client, received = harness.connect_client(), hold_runs(harness)
    doubled, other = client.send_request(), client.send_request()
    harness.reactor.until(lambda: len(received) == 2)
    client.send(begin_request(doubled))
    harness.reactor.quiet()
    answer_all(harness, received)
    harness.reactor.until(lambda: client.closed)
    assert client.status(other) == 200 and client.status(doubled) is None
    assert harness.host.counts["left"] == 1


def test_a_client_that_closes_after_invalid_data_counts_as_disconnected(harnesses: Any) -> None:
    """No retry is started for it, though its data is discarded."""
    harness = harnesses(runners=2)
    client, received = harness.connect_client(), hold_runs(harness)
    client.send_request()
    harness.reactor.until(lambda: received)
    client.send(INVALID_DATA * 4000)
    harness.reactor.quiet()
    client.drop("gone")
    harness.reactor.until(lambda: harness.host.counts["left"])
    received[0][0].send_message("503", received[0][1]["rid"])
    harness.reactor.run(0.5)
    assert len(harness.run_messages()) == 1 and harness.host.open_requests == 0


@pytest.mark.parametrize("bad", ["body", "fields"])
def test_a_request_too_large_does_not_affect_others_on_its_connection(harness: Any, bad: str) -> None:
    client, received = harness.connect_client(), hold_runs(harness)
    number = client.send_request()
    harness.reactor.until(lambda: received)
    large = (
        client.send_request(body=b"x" * 20_000)
        if bad == "body"
        else client.send_request(HTTP_X_LONG="x" * 20_000)
    )
    harness.reactor.until(lambda: client.status(large) is not None)
    assert client.status(large) in (413, 431)
    late = client.send_request(
        id="9b1f03aa5c7e2d41"
    )  # sent before the client learns that the connection is closing
    harness.reactor.quiet()
    answer_all(harness, received)
    harness.reactor.until(lambda: client.closed)
    assert client.status(number) == 200 and client.status(late) in (200, 503)


def test_an_incomplete_request_does_not_affect_others_on_its_connection(harness: Any) -> None:
    client, received = harness.connect_client(), hold_runs(harness)
    number, incomplete = client.send_request(method="bill", patience="4000"), client.send_request(whole=False)
    harness.reactor.until(lambda: received)
    harness.reactor.run(2.6)
    assert client.status(incomplete) == 408
    answer_all(harness, received)
    harness.reactor.until(lambda: client.closed)
    assert client.status(number) == 200


def test_a_connection_closed_for_its_buffered_bytes_has_its_open_requests_answered(harnesses: Any) -> None:
    harness = harnesses(runners=1, memory_mb=4)
    client, received = harness.connect_client(), hold_runs(harness)
    incomplete_requests: list[int] = []
    number = client.send_request()
    harness.reactor.until(lambda: received)
    for _ in range(5):
        other_client = harness.connect_client()
        for _ in range(6):
            other_client.send_request(body=BODY, whole=False)
    for _ in range(20):
        incomplete_requests.append(client.send_request(body=BODY, whole=False))
        harness.reactor.quiet()
    answer_all(harness, received)
    harness.reactor.until(lambda: client.closed)
    assert client.status(number) == 200
    assert (
        all(client.status(incomplete) in (None, 503) for incomplete in incomplete_requests)
        and client.status(incomplete_requests[0]) == 503
    )


def test_answers_are_not_lost_to_a_reset_for_unread_data(harness: Any) -> None:
    client, _ = slow_reader(harness)
    numbers = ask_in_turn(harness, client, 8)
    client.send(INVALID_DATA + bytes(60_000))
    harness.reactor.quiet()
    resume_reading(harness, client)
    harness.reactor.until(lambda: client.closed)
    assert [client.status(number) for number in numbers] == [200] * 8


def test_a_request_behind_one_without_keep_conn_is_answered(harness: Any) -> None:
    """Guards against closing, and so resetting, a connection with another request unread."""
    client, received = harness.connect_client(), hold_runs(harness)
    client.send(request_bytes(1).replace(begin_request(1), begin_request(1, keep=0)))
    harness.reactor.until(lambda: received)
    (connection,) = harness.node.front.connections
    harness.reactor.removeReader(connection)  # data that arrives now is read after the answer is sent
    client.last = 1
    client.send_request()
    answer_all(harness, received[:1])
    if not connection.dead:
        harness.reactor.addReader(connection)
    harness.reactor.quiet()
    answer_all(harness, received[1:])
    harness.reactor.until(lambda: client.closed)
    assert client.status(1) == 200 and client.status(2) in (200, 503)


def test_data_after_invalid_data_is_discarded_within_bounds(harness: Any) -> None:
    """Also of a client that goes on sending after the shutdown of its connection."""
    sent = 0
    with socket.create_connection(("127.0.0.1", harness.port)) as client:
        harness.reactor.quiet()
        (connection,) = harness.node.front.connections
        client.sendall(INVALID_DATA)
        client.setblocking(False)
        for _ in range(2000):
            try:
                sent += client.send(bytes(16_384))
            except BlockingIOError:
                harness.reactor.quiet()
            except OSError:
                break
            harness.reactor.serve()
    assert connection.dead and sent < 16_000_000
    assert connection.bytes_read <= client_connections.MAX_DISCARDED + 65_536
    assert harness.node.front.buffered_bytes == 0 and not harness.node.front.closing


def test_a_closing_connection_reads_a_flood_without_recursion(harness: Any) -> None:
    """Guards against each read starting the next one recursively."""
    depths: list[int] = []
    client = harness.connect_client()
    (connection,) = harness.node.front.connections
    read = connection.read

    def measured(pieces: int) -> None:
        depths.append(len(inspect.stack(0)))
        read(pieces)

    connection.read = measured
    client.send(request_bytes(1).replace(begin_request(1), begin_request(1, keep=0)))
    client.send(fastcgi.encode_record(fastcgi.GET_VALUES, 0, bytes(40_000)) * 10)
    harness.reactor.until(lambda: client.closed)
    assert client.status(1) == 200 and max(depths) - min(depths) < 15


# a client that does not read


def test_a_client_that_reads_late_gets_every_answer(harness: Any) -> None:
    """Guards against dropping the connection, with its open requests, at 1 MiB of unsent data."""
    client, connection = slow_reader(harness)
    numbers = []

    def send_request() -> None:
        numbers.append(client.send_request(body=BODY))
        harness.reactor.quiet()
        assert connection.unsent_bytes <= 2 * client_connections.MAX_UNSENT

    while not connection.reads_paused:
        send_request()
    for _ in range(fastcgi.MAX_OPEN_REQUESTS - 1):  # the last one sent is unread as well
        send_request()
    resume_reading(harness, client)
    harness.reactor.until(lambda: len(client.finished_requests) == len(numbers) or client.closed)
    assert {client.status(number) for number in numbers} == {200}


def test_no_retry_is_started_for_a_client_that_aborts_while_it_does_not_read(harnesses: Any) -> None:
    """Its connection is not read meanwhile, so whether it still waits is unknown."""
    harness, held = harnesses(runners=2), list[Any]()
    for runner in harness.runners:
        runner.on_run = lambda line, message: held.append((line, message))
    client, connection = slow_reader(harness)
    waits = client.send_request()
    harness.reactor.until(lambda: held)
    line, message = held[0]
    for runner in harness.runners:
        runner.on_run = None
    while not connection.reads_paused:
        client.send_request(body=BODY)
        harness.reactor.quiet()
    client.give_up(waits)
    harness.reactor.run(0.2)
    line.send_message("503", message["rid"])
    harness.reactor.run(0.2)
    assert [run["rid"] for run in harness.run_messages()].count(message["rid"]) == 1
    resume_reading(harness, client)
    harness.reactor.until(lambda: len(client.finished_requests) == client.last or client.closed)
    assert len(client.finished_requests) == client.last


def test_a_client_that_never_reads_is_closed(harness: Any) -> None:
    client, connection = slow_reader(harness)
    for _ in range(120):
        client.send_request(body=BODY)
    harness.reactor.quiet()
    harness.reactor.run(10.0)
    assert connection.dead and harness.host.open_requests == 0


def test_further_answers_do_not_count_as_read_by_a_client_that_never_reads(harness: Any) -> None:
    """Guards against a client that stays for as long as there are answers for it."""
    client, connection = slow_reader(harness)
    ask_in_turn(harness, client, 20)
    assert connection.unsent
    for _ in range(8):
        client.send_request(script="/_health")
        harness.reactor.run(1.0)
    assert connection.dead


def test_a_connection_with_an_unsent_answer_is_not_evicted(harness: Any) -> None:
    client, connection = slow_reader(harness)
    numbers = ask_in_turn(harness, client, 20)
    assert connection.unsent
    harness.reactor.run(0.6)
    assert not harness.node.front.evict_idle()
    resume_reading(harness, client)
    harness.reactor.until(lambda: len(client.finished_requests) == 20 or client.closed)
    assert [client.status(number) for number in numbers] == [200] * 20


# the limit of connections and descriptors


@pytest.mark.parametrize("when", ["before it is accepted", "soon after"])
def test_a_request_on_a_connection_over_the_limit_is_answered(harnesses: Any, when: str) -> None:
    """Guards against closing a connection over the limit without reading its first request."""
    harness = harnesses(runners=1, sockets=64)
    hold_requests(harness)
    other_clients = fill_connections(harness)
    late = connect(harness)
    if when == "before it is accepted":
        late.send_request(id="9b1f03aa5c7e2d41")
        accept(harness)
    else:
        accept(harness)
        harness.reactor.run(0.03)
        late.send_request(id="9b1f03aa5c7e2d41")
    harness.reactor.until(lambda: late.closed)
    assert late.status(1) == 503 and not any(client.closed for client in other_clients)


def test_a_request_that_comes_in_pieces_on_a_connection_over_the_limit_is_answered(harnesses: Any) -> None:
    harness = harnesses(runners=1, sockets=64)
    hold_requests(harness)
    fill_connections(harness)
    late = connect(harness)
    accept(harness)
    for piece in (request_bytes()[:3], request_bytes()[3:60], request_bytes()[60:]):
        late.send(piece)
        harness.reactor.quiet()
    harness.reactor.until(lambda: late.closed)
    assert late.status(1) == 503


@pytest.mark.parametrize("new", ["a silent one", "one that asks"])
def test_an_evicted_new_connection_has_its_first_request_answered(harnesses: Any, new: str) -> None:
    """Guards against evicting the oldest of many new connections while its first request is in transit."""
    harness = harnesses(runners=1, sockets=64)
    first = harness.connect_client()
    other_clients = [harness.connect_client() for _ in range(harness.node.front.max_connections)]
    if new == "one that asks":
        other_clients[-1].send_request(id="9b1f03aa5c7e2d41")
        harness.reactor.until(lambda: other_clients[-1].finished_requests)
    first.send_request(id="9b1f03aa5c7e2d42")
    harness.reactor.until(lambda: first.finished_requests or first.closed)
    assert first.status(1) == 200
    assert len(harness.node.front.connections) <= harness.node.front.max_connections


def test_connections_over_the_limit_are_bounded_and_closed(harnesses: Any) -> None:
    harness = harnesses(runners=1, sockets=64)
    requests = hold_requests(harness)
    clients = fill_connections(harness)
    other_clients = [harness.connect_client() for _ in range(100)]
    front = harness.node.front
    assert len(front.connections) + len(front.closing) <= 64 * 9 // 20
    harness.reactor.run(2.9)
    assert all(client.closed for client in other_clients)
    assert len(requests) == len(clients) == harness.host.open_requests and not any(
        client.closed for client in clients
    )
    for request in requests:
        harness.host.reject(request, 0)
    harness.reactor.until(lambda: all(client.status(1) == 503 for client in clients))


def test_the_accept_queue_is_answered_at_shutdown_though_no_descriptor_is_left(harness: Any) -> None:
    """Guards against closing the listener, which resets the connections in its accept queue."""
    idle = harness.connect_client()
    late = connect(harness)
    late.send_request(id="9b1f03aa5c7e2d41")
    listener, sock = harness.node.front.listener, harness.node.front.listener.sock

    harness.reactor.removeReader(listener)
    listener.sock = FullSocket(sock, lambda: idle.closed)
    stopped = shut_down(harness)
    harness.reactor.run(2.0)
    harness.reactor.until(lambda: late.closed)
    assert late.status(1) in (200, 503) and stopped


def test_the_time_in_the_accept_queue_counts_towards_the_patience(harness: Any) -> None:
    received, full = hold_runs(harness), False
    harness.reactor.unread_for = lambda sock: 0.4
    client = connect(harness)
    client.send_request(patience="1000")
    listener, sock = harness.node.front.listener, harness.node.front.listener.sock

    listener.sock, full = FullSocket(sock, lambda: not full), True
    listener.doRead()
    for _ in range(4):
        harness.reactor.run(0.1)
    full = False
    harness.reactor.run(0.1)
    harness.reactor.until(lambda: received)
    assert received[0][1]["attrs"]["budget"] <= 1000 - 400


# shutdown


def test_all_unread_requests_at_shutdown_are_answered(harness: Any) -> None:
    """Guards against reading only 16 KiB of each connection at the end and resetting the rest."""
    client = harness.connect_client()
    harness.reactor.quiet()
    stopped = shut_down(harness)
    harness.reactor.run(0.74)
    (connection,) = harness.node.front.connections
    core, check = harness.node.core, harness.node.core.check_finished

    def last(_: object = None) -> Any:
        core.check_finished = check
        harness.reactor.removeReader(connection)
        numbers.extend(client.send_request(body=BODY[:8000], id=f"{i:016x}") for i in range(1, 20))
        harness.reactor.until(lambda: not client.unsent)
        return check()

    numbers: list[int] = []
    core.check_finished = last
    harness.reactor.run(0.5)
    assert stopped and numbers
    harness.reactor.until(lambda: client.closed)
    assert all(client.status(number) in (200, 503) for number in numbers)


def test_an_incomplete_request_at_shutdown_is_rejected(harness: Any) -> None:
    client = harness.connect_client()
    stopped = shut_down(harness)
    harness.reactor.run(0.7)
    incomplete = client.send_request(whole=False)
    harness.reactor.run(0.5)
    assert stopped
    harness.reactor.until(lambda: client.closed)
    assert client.status(incomplete) == 503


# faults of other parties


@pytest.mark.parametrize("event", ["arrived", "ended", "woken"])
def test_an_error_in_the_module_leaves_the_request_one_final_answer(harness: Any, event: str) -> None:
    def fault(*args: Any) -> None:
        raise RuntimeError("planted")

    setattr(harness.module, event, fault)
    if event == "woken":
        hold_runs(harness)
    client = harness.connect_client()
    number = client.send_request(patience="1000")
    harness.reactor.run(1.0)
    assert client.status(number) in (200, 500, 503)
    harness.reactor.run(3.0)
    assert client.finished_requests == [number] and harness.host.open_requests == 0


@pytest.mark.parametrize("trouble", ["silent", "spoilt", "reset", "cut"])
def test_a_fault_of_a_runner_leaves_each_request_one_final_answer_by_its_deadline(
    harnesses: Any, trouble: str
) -> None:
    harness = harnesses(runners=2)

    def reply(line: Any, message: Any) -> None:
        if trouble == "spoilt":
            line.send(b'{"verb":"200","rid":"\xff\xfe\n')
        elif trouble == "reset" and not line.dead:
            line.reset()
        elif trouble == "cut":
            line.send(b'{"verb":"200","rid":"%s","content":"QU' % message["rid"].encode())
            line.drop("cut")

    for runner in harness.runners:
        runner.on_run = reply
    client = harness.connect_client()
    keys = {"publish": {"HTTP_X_DEDUPE_KEY": "5c0f6e1a"}}
    numbers = [
        client.send_request(method=method, patience="1000", function=f"{i:016x}", **keys.get(method, {}))
        for i, method in enumerate(["search", "publish", "bill"] * 4)
    ]
    harness.reactor.run(1.0)
    assert all(client.status(number) in (500, 503) for number in numbers)
    harness.reactor.run(3.0)
    assert sorted(client.finished_requests) == numbers and harness.host.open_requests == 0


def test_a_flood_of_others_leaves_each_request_one_final_answer_by_its_deadline(harnesses: Any) -> None:
    harness = harnesses(runners=1, sockets=64)
    hold_runs(harness)
    regular_client = harness.connect_client()
    numbers = [regular_client.send_request(method="bill", patience="1000") for _ in range(8)]
    harness.reactor.until(lambda: harness.host.counts["taken"] == 8)
    for turn in range(20):
        other_clients = [harness.connect_client() for _ in range(20)]
        other_clients[0].send(INVALID_DATA + bytes(100_000))
        other_clients[1].send(begin_request(1) * 2)
        other_clients[2].send_request(whole=False)
        other_clients[3].send(begin_request(1) + fastcgi.encode_record(fastcgi.PARAMS, 1, b"\xff" * 60_000))
        for _ in range(40):
            other_clients[4].give_up(
                other_clients[4].send_request(id=f"{turn + 1:08x}{other_clients[4].last:08x}")
            )
        harness.reactor.run(0.05)
    harness.reactor.quiet()
    assert not regular_client.closed and all(
        regular_client.status(number) in (500, 503) for number in numbers
    )
    harness.reactor.run(3.0)
    assert sorted(regular_client.finished_requests) == numbers and harness.host.open_requests == 0


def test_closing_connections_are_closed_after_a_time(harness: Any) -> None:
    """A peer that neither reads nor closes does not hold a descriptor forever."""
    client, connection = slow_reader(harness)
    client.send_request(body=BODY)
    client.send(INVALID_DATA)
    harness.reactor.quiet()
    harness.reactor.run(1.0 + 2 * fronts.SWEEP_INTERVAL / 10_000)
    assert connection.dead and not harness.node.front.closing


def test_answers_collected_in_a_read_are_not_lost_to_a_read_that_it_leads_to(harness: Any) -> None:
    """Guards against a further read, before an attempt, that begins in the middle of writing answers."""
    client = harness.connect_client()
    (connection,) = harness.node.front.connections
    warm = client.send_request()  # the runner is connected from now on
    harness.reactor.until(lambda: client.status(warm) is not None)
    harness.reactor.removeReader(connection)  # it is read outside of a poll, as in its turn
    first, second = client.send_request(script="/_health", id="0" * 16), client.send_request()
    padding = connection.read_cost.next_read_size - client_bytes_in_flight(harness, connection)
    client.send(fastcgi.encode_record(fastcgi.GET_VALUES, 0, bytes(padding - fastcgi.HEAD.size)))
    third = client.send_request(script="/_health", id="1" * 16)
    harness.reactor.quiet()
    connection.read_once()
    harness.reactor.addReader(connection)
    harness.reactor.until(lambda: client.status(second) is not None)
    assert [client.status(number) for number in (first, second, third)] == [200, 200, 200]


def client_bytes_in_flight(harness: Any, connection: Any) -> int:
    """How many bytes lie unread in the dispatcher's socket."""
    harness.reactor.quiet()
    return len(connection.sock.recv(1 << 20, socket.MSG_PEEK))

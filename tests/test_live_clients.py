"""One final answer, in order and in time, and no effect twice, with a dispatcher in a process of its own."""

import asyncio
import os
import random
import signal
import socket
import time
from collections import Counter
from contextlib import AsyncExitStack
from pathlib import Path

import pytest
from live_dispatcher import HOST, LiveDispatcher, Run, encode_request, flood, live, write_and_close

from lapistrestle.node import fastcgi
from lapistrestle.standins.platform import begin_request

LATENCY_OBJECTIVE = 1.2  # seconds, of the classes in the settings
GONE_AFTER = 0.1  # seconds after a client has left in which an attempt may still begin
KEY = {"HTTP_X_DEDUPE_KEY": "5c0f6e1a2b3d4c59"}
CLOSING_CLIENTS = 30


def new_id() -> str:
    return os.urandom(8).hex()


ANSWERED_AT_ONCE = {
    "health check": lambda number: encode_request(number, "", body=b"", SCRIPT_NAME="/_health"),
    "no such class": lambda number: encode_request(number, new_id(), method="nosuch"),
    "no id": lambda number: encode_request(number, "nothing"),
    "body too long": lambda number: encode_request(number, new_id(), body=bytes(16_385)),
    "no time left": lambda number: encode_request(number, new_id(), patience_ms=1),
}


@pytest.mark.parametrize("request_kind", ANSWERED_AT_ONCE)
def test_a_request_answered_as_it_is_read_has_no_second_answer_to_its_abort(
    request_kind: str, tmp_path: Path
) -> None:
    """Guards against parsing an abort while its request still counts as open: two END records."""

    async def play() -> None:
        async with live(tmp_path, runners=1) as dispatcher:
            client = await dispatcher.connect()
            client.request(body=b"", SCRIPT_NAME="/_health")
            await client.calls[1].answered.wait()
            call = client.calls[2] = client.calls[1].__class__(time.monotonic())
            request = ANSWERED_AT_ONCE[request_kind](2)
            client.transport.write(request + fastcgi.encode_record(fastcgi.ABORT, 2))
            await asyncio.wait_for(call.answered.wait(), 3)
            await asyncio.sleep(0.1)
            assert call.ends == 1

    asyncio.run(play())


async def reuse_id(dispatcher: LiveDispatcher, method: str, leaves_by: str, seed: int) -> str:
    """Send a request, leave, and let its id come again on another connection. Returns the id."""
    chance = random.Random(seed)
    call_id = new_id()
    more = KEY if method == "publish" else {}
    first, second = await dispatcher.connect(), await dispatcher.connect()
    first.request(call_id, method=method, **more)
    await asyncio.sleep(0.1)
    if leaves_by == "close":
        first.transport.close()
    else:
        first.abort(1)
    await asyncio.sleep(chance.uniform(0.0, 1.0))
    call = second.request(call_id, method=method, **more)
    await asyncio.wait_for(call.answered.wait(), 4)
    for client in (first, second):
        client.transport.close()
    return call_id


@pytest.mark.parametrize("leaves_by", ["close", "abort"])
@pytest.mark.parametrize("method", ["bill", "publish"])
def test_an_id_that_may_have_run_does_not_run_again_when_it_comes_again(
    method: str, leaves_by: str, tmp_path: Path
) -> None:
    """Guards against an id being free again as soon as its last attempt has ended."""

    async def play() -> list[Run]:
        async with live(tmp_path, runners=4, work=0.3) as dispatcher:
            await asyncio.gather(*(reuse_id(dispatcher, method, leaves_by, seed) for seed in range(24)))
            return dispatcher.runs

    runs = Counter(run.id for run in asyncio.run(play()))
    assert runs and max(runs.values()) == 1


def write_all_that_fits(sock: socket.socket, data: bytes) -> None:
    """Write until the kernel takes no more."""
    at, refusals = 0, 0
    while refusals < 3 and at < len(data):
        try:
            at += sock.send(data[at : at + 65_536])
            refusals = 0
        except BlockingIOError:
            refusals += 1
            time.sleep(0.001)


def client_that_closes(port: int, number: int, method: str) -> socket.socket:
    """Write as many requests as fit, and end; the socket stays open, so that no answer resets the rest."""
    ids = (f"{number:08x}{i:08x}" for i in range(20_000))
    data = b"".join(encode_request(i % 60_000 + 1, call_id, method=method) for i, call_id in enumerate(ids))
    sock = socket.create_connection((HOST, port))
    sock.setblocking(False)
    write_all_that_fits(sock, data)
    sock.shutdown(socket.SHUT_WR)
    return sock


@pytest.mark.parametrize("method", ["search", "bill"])
def test_nothing_is_sent_on_for_clients_that_closed_with_much_unread(method: str, tmp_path: Path) -> None:
    """Guards against seeing a close only behind all that lies unread in front of it."""

    async def play() -> tuple[float, list[Run]]:
        async with live(tmp_path, runners=4, work=0.01) as dispatcher, AsyncExitStack() as sockets:
            dispatcher.process.send_signal(signal.SIGSTOP)
            for number in range(CLOSING_CLIENTS):
                sockets.enter_context(client_that_closes(dispatcher.port, number, method))
            left_at = time.monotonic()
            dispatcher.process.send_signal(signal.SIGCONT)
            await asyncio.sleep(4.0)
            return left_at, dispatcher.runs

    left_at, runs = asyncio.run(play())
    assert [run.id for run in runs if run.at > left_at + GONE_AFTER] == []


def test_nothing_is_sent_on_for_clients_that_close_behind_half_a_megabyte(tmp_path: Path) -> None:
    """The same for clients that write all at once and close; the first requests may be begun before."""

    async def play() -> int:
        async with live(tmp_path, runners=4) as dispatcher:
            await write_and_close(
                dispatcher,
                2.0,
                lambda: b"".join(encode_request(number, new_id(), body=b"") for number in range(1, 2_000)),
                at_once=4,
            )
            left_at = time.monotonic()
            await asyncio.sleep(0.5)
            return sum(run.at > left_at + GONE_AFTER for run in dispatcher.runs)

    assert asyncio.run(play()) == 0


BEGINS = b"".join(begin_request(number) for number in range(1, 1_000))
FLOODS = {
    "health checks": lambda: b"".join(ANSWERED_AT_ONCE["health check"](n) for n in range(1, 200)),
    "unknown classes": lambda: b"".join(encode_request(n, new_id(), method=new_id()) for n in range(1, 200)),
    "no fields": lambda: b"".join(
        begin_request(n) + fastcgi.encode_record(fastcgi.PARAMS, n) + fastcgi.encode_record(fastcgi.STDIN, n)
        for n in range(1, 200)
    ),
    "begins beyond the open ones": lambda: BEGINS,
    "questions for values": lambda: fastcgi.encode_record(fastcgi.GET_VALUES, 0) * 2_000,
    "unknown records": lambda: fastcgi.encode_record(99, 0) * 2_000,
    "aborts": lambda: b"".join(
        encode_request(n, new_id(), function=new_id()) + fastcgi.encode_record(fastcgi.ABORT, n)
        for n in range(1, 200)
    ),
}


@pytest.mark.parametrize("kind", FLOODS)
def test_usual_requests_are_in_time_beside_clients_that_send_small_records_at_full_speed(
    kind: str, tmp_path: Path
) -> None:
    """Guards against reading as many bytes of each connection in each poll, whatever they cost."""

    async def play() -> None:
        async with live(tmp_path) as dispatcher:
            usual = asyncio.ensure_future(dispatcher.traffic(4.0))
            await asyncio.gather(*(flood(dispatcher, 4.0, FLOODS[kind]) for _ in range(16)))
            traffic = await usual
            latencies = traffic.latencies()
            assert traffic.unanswered() == 0 and len(latencies) == len(traffic.calls)
            assert latencies[len(latencies) * 9 // 10] <= LATENCY_OBJECTIVE

    asyncio.run(play())

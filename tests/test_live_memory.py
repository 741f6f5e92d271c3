"""A dispatcher with the least memory keeps its limit beside hundreds of clients, and serves usual requests.

The dispatcher is a process of its own with 32 MB and 1,024 descriptors.
"""

import asyncio
import os
from collections.abc import Callable
from pathlib import Path

import pytest
from live_dispatcher import (
    LiveDispatcher,
    Traffic,
    body_base64,
    crowd,
    encode_request,
    flood,
    live,
    write_and_close,
)

from lapistrestle.node import fastcgi
from lapistrestle.standins.platform import begin_request

MEMORY_MB, SOCKETS = 32, 1024  # the least memory that the pages name
CLIENTS = 300
SECONDS = 5.0
SERVED = 0.5  # of the usual requests: the gate's share
REQUESTS = fastcgi.MAX_OPEN_REQUESTS  # on one connection
SHORT_FIELDS = b"".join(fastcgi.encode_pair(b"%x" % i, b"") for i in range(2_900))
ATTRIBUTES = ";".join(f"{i:x}:" for i in range(2_500))

Disturbance = Callable[[LiveDispatcher], object]


def new_id() -> str:
    return os.urandom(8).hex()


def head(number: int, fields: bytes) -> bytes:
    """The head of a request with these fields, ended; no body follows."""
    params = fastcgi.encode_record(fastcgi.PARAMS, number, fields)
    return begin_request(number) + params + fastcgi.encode_record(fastcgi.PARAMS, number)


def requests(count: int, body: int, is_whole: bool = True) -> bytes:
    """So many requests with bodies of this size."""
    return b"".join(
        encode_request(number, new_id(), body=bytes(body), is_whole=is_whole)
        for number in range(1, count + 1)
    )


async def heads_of_short_fields(dispatcher: LiveDispatcher) -> None:
    """Heads of some thousand short fields on each connection, ended, without a body."""
    data = b"".join(head(number, SHORT_FIELDS) for number in range(1, REQUESTS + 1))
    await crowd(dispatcher, CLIENTS, SECONDS, lambda: data)


async def heads_with_long_known_fields(dispatcher: LiveDispatcher) -> None:
    """Heads whose known fields are as long as a head may be."""
    fields = fastcgi.encode_pair(b"HTTP_X_ATTRS", ATTRIBUTES.encode())
    data = b"".join(head(number, fields) for number in range(1, REQUESTS + 1))
    await crowd(dispatcher, CLIENTS, SECONDS, lambda: data)


async def unfinished_heads(dispatcher: LiveDispatcher) -> None:
    """Heads that are not ended."""
    piece = b"".join(
        begin_request(number) + fastcgi.encode_record(fastcgi.PARAMS, number, SHORT_FIELDS)
        for number in range(1, REQUESTS + 1)
    )
    await crowd(dispatcher, CLIENTS, SECONDS, lambda: piece)


async def unfinished_bodies(dispatcher: LiveDispatcher) -> None:
    """Requests that stop half way through a large body."""
    await crowd(dispatcher, CLIENTS, SECONDS, lambda: requests(REQUESTS, 15_000, is_whole=False))


async def bodies_written_slowly(dispatcher: LiveDispatcher) -> None:
    """Requests whose body comes a kilobyte at a time, and never whole."""
    data = requests(4, 1_000, is_whole=False)
    piece = b"".join(fastcgi.encode_record(fastcgi.STDIN, number, bytes(1_000)) for number in range(1, 5))

    async def write_slowly() -> None:
        pieces = [piece] * 20 + [data]
        await flood(dispatcher, SECONDS, lambda: pieces.pop() if pieces else data)

    await asyncio.gather(*(write_slowly() for _ in range(CLIENTS)))


async def requests_of_clients_that_close(dispatcher: LiveDispatcher) -> None:
    """512 KB of requests, and a close behind them."""
    await write_and_close(dispatcher, SECONDS, lambda: requests(REQUESTS, 16_000), at_once=8)


async def small_requests_of_clients_that_close(dispatcher: LiveDispatcher) -> None:
    """Half a megabyte of small requests, and a close behind them."""
    await write_and_close(dispatcher, SECONDS, lambda: requests(2_000, 0), at_once=8)


async def requests_taken_back(dispatcher: LiveDispatcher) -> None:
    """Requests of ever new functions, each aborted at once, from many clients at full speed."""

    def taken_back() -> bytes:
        return b"".join(
            encode_request(number, new_id(), function=new_id()) + fastcgi.encode_record(fastcgi.ABORT, number)
            for number in range(1, 100)
        )

    await asyncio.gather(*(flood(dispatcher, SECONDS, taken_back) for _ in range(40)))


async def numbers_of_refused_requests(dispatcher: LiveDispatcher) -> None:
    """A thousand begins beyond the open ones, each under another number, and silence."""
    beyond = b"".join(begin_request(number) for number in range(1_000, 2_000))
    open_ones = b"".join(begin_request(number) for number in range(1, REQUESTS + 1))
    await crowd(dispatcher, CLIENTS, SECONDS, lambda: open_ones + beyond)


DISTURBANCES = [
    numbers_of_refused_requests,
    heads_of_short_fields,
    heads_with_long_known_fields,
    unfinished_heads,
    unfinished_bodies,
    bodies_written_slowly,
    requests_of_clients_that_close,
    small_requests_of_clients_that_close,
    requests_taken_back,
]


async def play(
    folder: Path, disturb: Disturbance, work: float = 0.05, answer: int = 0
) -> tuple[LiveDispatcher, Traffic]:
    """Usual requests beside a disturbance; `answer` is the size of the runners' answers, 0: the call's."""
    async with live(folder, memory_mb=MEMORY_MB, sockets=SOCKETS, work=work) as dispatcher:
        for runner in dispatcher.runners:
            runner.body = body_base64(answer) if answer else None
        usual = asyncio.ensure_future(dispatcher.traffic(SECONDS))
        await disturb(dispatcher)  # type: ignore[misc]
        traffic = await usual
        assert dispatcher.process.poll() is None, dispatcher.log()[-2_000:]
        assert dispatcher.peak_mb <= MEMORY_MB
        return dispatcher, traffic


@pytest.mark.parametrize("disturb", DISTURBANCES)
def test_memory_stays_in_its_limit_and_usual_requests_are_served_beside(
    disturb: Disturbance, tmp_path: Path
) -> None:
    """Guards against limits for each connection, times hundreds of connections."""
    _, traffic = asyncio.run(play(tmp_path, disturb))
    assert traffic.unanswered() == 0
    assert traffic.served() >= SERVED * len(traffic.calls)


def test_memory_stays_in_its_limit_while_whole_requests_are_held_at_the_runners(tmp_path: Path) -> None:
    """Guards against bodies of open requests beside one another; it is an overload, so some are refused."""

    async def whole_requests(dispatcher: LiveDispatcher) -> None:
        await crowd(dispatcher, CLIENTS, SECONDS, lambda: requests(REQUESTS, 16_384))

    _, traffic = asyncio.run(play(tmp_path, whole_requests, work=2.0))
    assert traffic.unanswered() == 0


@pytest.mark.parametrize("size", [16_384, 60_000])
def test_memory_stays_in_its_limit_while_answers_are_not_read(tmp_path: Path, size: int) -> None:
    """Guards against a limit of unsent bytes for each connection, times hundreds of them."""

    async def unread(dispatcher: LiveDispatcher) -> None:
        async def ask_without_reading() -> None:
            await flood(dispatcher, SECONDS, lambda: requests(REQUESTS, 100), reads=False)

        await asyncio.gather(*(ask_without_reading() for _ in range(CLIENTS)))

    _, traffic = asyncio.run(play(tmp_path, unread, answer=size))
    assert traffic.unanswered() == 0

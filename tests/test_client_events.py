"""The log tells why a client's request was refused and why its connection was closed, with their ids."""

from typing import Any

import pytest
from node_harness import harnesses

__all__ = ["harnesses"]  # the fixture
CALL_ID = "9b1f03aa5c7e2d41"


@pytest.fixture
def harness(harnesses: Any) -> Any:
    return harnesses(runners=1)


def logged(harness: Any, event: str) -> list[Any]:
    return [figures for what, figures in harness.logs if what == event]


def test_a_refused_request_is_logged_with_its_id_and_the_reason(harness: Any) -> None:
    harness.runners[0].on_run = lambda line, message: None
    client, other = harness.connect_client(), harness.connect_client()
    client.send_request(id=CALL_ID)
    harness.reactor.quiet()
    number = other.send_request(id=CALL_ID)
    harness.reactor.until(lambda: other.status(number))
    (line,) = logged(harness, "request refused")
    assert line["id"] == CALL_ID and line["request"] == number and line["status"] == 409
    assert line["reason"] == "X-Call-Id is in use" and line["connection"] == 2


def test_a_connection_that_ends_with_an_open_request_is_logged_with_the_reason(harness: Any) -> None:
    harness.runners[0].on_run = lambda line, message: None
    client, idle = harness.connect_client(), harness.connect_client()
    client.send_request()
    harness.reactor.quiet()
    client.drop("over")
    idle.drop("over")
    harness.reactor.quiet()
    (line,) = logged(harness, "client connection closed")
    assert (line["connection"], line["requests"], line["reason"]) == (1, 1, "closed by the peer")


def test_memory_is_logged_as_it_grows_over_half_of_the_limit(harness: Any) -> None:
    monitor, limit = harness.node.memory, harness.node.memory.limit
    harness.logs.clear()
    monitor.next_logged = 0.5 * limit
    for share in (0.4, 0.5, 0.52, 0.6, 0.3):
        monitor.measure = lambda share=share: int(share * limit)
        monitor.report(None)
    lines = logged(harness, "memory")
    assert [round(line["used"] / limit, 2) for line in lines] == [0.5, 0.6]
    assert lines[0]["connections"] == 0 and lines[0]["limit"] == limit

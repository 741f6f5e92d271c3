"""Ids of requests that may have run: how long they are remembered, and which are."""

from typing import Any

import pytest
from node_harness import harnesses

from lapistrestle.node.used_ids import GENERATIONS, UsedIds
from lapistrestle.policy.request_state import EVENT_OF_OUTCOME, RequestEvent
from lapistrestle.policy.types import Outcome

__all__ = ["harnesses"]  # the fixture
RETENTION, CAPACITY = 1_600, 100
USED, REFUSED = 409, 503
CALL_ID = "9b1f03aa5c7e2d41"


def test_an_id_is_remembered_for_the_retention_and_not_much_longer() -> None:
    ids = UsedIds(RETENTION, CAPACITY)
    ids.add("0a", 0)
    assert ids.contains("0a", RETENTION) and not ids.contains("0b", RETENTION)
    assert not ids.contains("0a", RETENTION + 2 * RETENTION // GENERATIONS)
    assert not ids.count and not ids.generations


def test_beyond_the_capacity_the_older_ids_are_dropped_first() -> None:
    ids = UsedIds(RETENTION, CAPACITY)
    for number in range(3 * CAPACITY):
        ids.add(f"{number:x}", number)
    assert ids.count <= CAPACITY and ids.dropped_early + ids.count == 3 * CAPACITY
    assert ids.contains(f"{3 * CAPACITY - 1:x}", 3 * CAPACITY) and not ids.contains("0", 3 * CAPACITY)


def test_an_id_that_is_added_again_counts_once() -> None:
    ids = UsedIds(RETENTION, CAPACITY)
    for _ in range(5):
        ids.add("0a", 0)
    assert ids.count == 1


def test_the_outcomes_that_prove_that_nothing_ran_are_those_of_the_decisions() -> None:
    never = {outcome for outcome, event in EVENT_OF_OUTCOME.items() if event is RequestEvent.NEVER_RAN}
    assert {outcome for outcome in Outcome if outcome.proves_never_ran} == never | {Outcome.NOT_LOADED}


@pytest.mark.parametrize(
    ("method", "reply", "status"),
    [("bill", "200", USED), ("bill", "500", USED), ("bill", "503", 200), ("search", "200", 200)],
)
def test_an_id_comes_again_after_its_answer(harnesses: Any, method: str, reply: str, status: int) -> None:
    """It is refused where it may have run and its effect must not happen twice."""
    harness = harnesses(runners=1)
    runner, client = harness.runners[0], harness.connect_client()
    runner.on_run = lambda line, message: line.send_message(reply, message["rid"], b"")
    first = client.send_request(method=method, id=CALL_ID)
    harness.reactor.until(lambda: client.status(first) is not None)
    client.drop("over")
    runner.on_run = None
    harness.reactor.run(2.0)
    other = harness.connect_client()
    again = other.send_request(method=method, id=CALL_ID)
    harness.reactor.until(lambda: other.status(again) is not None)
    assert other.status(again) == status

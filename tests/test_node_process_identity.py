"""A call that may have run is repeated only at processes that are known to be of the same cell.

The list may tell late that another process has a worker's address. On connections and a clock of the test.
"""

from typing import Any

import pytest
from node_harness import SETTINGS, harnesses

from lapistrestle.policy.types import Attempt
from lapistrestle.standins.platform import RunnerStub, board_row

__all__ = ["harnesses"]  # the fixture
CHANGES, GONE = 2, 2  # kind of an event, state of a worker
KEYED = {"method": "publish", "HTTP_X_DEDUPE_KEY": "5c0f6e1a"}
OTHER_CELL = 7
SERVED, FAILED = 200, 500
LONG = 6.0  # seconds after which the list would have told of another process


def settings(scope: str) -> dict[str, Any]:
    """The harness's, with this scope of deduplication, and a repeat window that outlasts the test."""
    profiles: Any = SETTINGS["profiles"]
    keyed = profiles[1] | {"dedup-scope": scope, "repeat-window": 30_000_000}
    return {"profiles": [profiles[0], keyed]}


class Pair:
    """A dispatcher with two runners of one cell and zone; calls go to the first, repeats to the second."""

    def __init__(self, harnesses: Any, scope: str) -> None:
        self.harness = harnesses(runners=2, **settings(scope))
        module = self.harness.module
        module.orders.function_order = lambda function: sorted(
            module.endpoints.ring, key=lambda worker: worker.name
        )
        self.client = self.harness.connect_client()

    def connect_both(self) -> None:
        """Have a connection to each runner, which have served."""
        for runner in (0, 1):
            self.harness.runners[1 - runner].on_run = lambda line, message: line.send_message(
                "503", message["rid"]
            )
            self.harness.runners[runner].on_run = None
            self.call()
        for runner in (0, 1):
            self.harness.runners[runner].on_run = None
            self.harness.runners[runner].runs.clear()

    def reset_first(self) -> None:
        """The first runner resets each call's connection."""
        self.harness.runners[0].on_run = lambda line, message: line.reset()

    def replace_second(self) -> None:
        """The second runner dies; another process, of another cell, has its address at once."""
        old = self.harness.runners[1]
        old.stop()
        self.harness.runners[1] = RunnerStub(self.harness.reactor, port=old.port)

    def call(self) -> int:
        """Send a call, and return the status of its answer."""
        number = self.client.send_request(**KEYED)
        self.harness.reactor.until(lambda: self.client.status(number) is not None)
        status: int = self.client.status(number)
        return status

    def runs(self) -> list[int]:
        """How many calls each runner has got."""
        return [len(runner.runs) for runner in self.harness.runners]


@pytest.mark.parametrize("scope", ["cell", "zone"])
def test_a_call_that_may_have_run_is_not_repeated_at_a_process_that_was_just_replaced(
    harnesses: Any, scope: str
) -> None:
    """Guards against taking whoever listens at an address for the process that the list names."""
    pair = Pair(harnesses, scope)
    pair.connect_both()
    pair.harness.reactor.run(LONG)
    pair.reset_first()
    pair.replace_second()
    pair.harness.reactor.run(0.05)
    assert pair.call() == FAILED
    assert pair.runs() == [1, 0]


@pytest.mark.parametrize("scope", ["cell", "zone"])
def test_a_call_that_may_have_run_is_not_repeated_over_the_first_connection_to_an_address(
    harnesses: Any, scope: str
) -> None:
    pair = Pair(harnesses, scope)
    pair.reset_first()
    assert pair.call() == FAILED
    assert pair.runs() == [1, 0]


def test_a_call_is_not_repeated_in_the_listed_cell_if_it_may_have_run_at_another_process(
    harnesses: Any,
) -> None:
    """The first attempt may itself have reached a process that the list does not name yet."""
    pair = Pair(harnesses, "cell")
    pair.connect_both()
    pair.harness.reactor.run(LONG)
    old = pair.harness.runners[0]
    old.stop()
    pair.harness.runners[0] = RunnerStub(pair.harness.reactor, port=old.port)
    pair.harness.reactor.run(0.05)
    pair.reset_first()
    assert pair.call() == FAILED
    assert pair.runs() == [1, 0]


@pytest.mark.parametrize("scope", ["cell", "zone", "all"])
def test_a_call_that_may_have_run_is_repeated_where_the_processes_are_known(
    harnesses: Any, scope: str
) -> None:
    pair = Pair(harnesses, scope)
    pair.connect_both()
    pair.harness.reactor.run(LONG)
    pair.reset_first()
    assert pair.call() == SERVED
    assert pair.runs() == [1, 1]


def test_a_call_that_any_runner_may_repeat_does_not_wait_for_a_known_process(harnesses: Any) -> None:
    pair = Pair(harnesses, "all")
    pair.reset_first()
    assert pair.call() == SERVED


def test_a_connection_is_not_known_by_its_age_while_events_of_the_board_are_missing(harnesses: Any) -> None:
    pair = Pair(harnesses, "cell")
    pair.harness.board.drop("gone")
    pair.harness.reactor.run(0.05)
    pair.connect_both()
    pair.harness.reactor.run(2.5)  # the list is still used, for its grace
    pair.reset_first()
    assert pair.call() in (FAILED, 503)
    assert sum(pair.runs()) <= 1


def test_a_process_that_the_list_names_anew_is_known_after_a_while(harnesses: Any) -> None:
    pair = Pair(harnesses, "cell")
    pair.connect_both()
    pair.replace_second()
    harness = pair.harness
    harness.board.publish(
        2, CHANGES, board_row(2, 1, state=GONE), board_row(9, harness.runners[1].port, cell=0)
    )
    harness.reactor.run(0.1)
    pair.connect_both()
    harness.reactor.run(LONG)
    pair.reset_first()
    assert pair.call() == SERVED


def test_a_call_is_not_repeated_over_a_connection_that_is_opened_for_it(harnesses: Any) -> None:
    """Guards against a new connection to a worker whose known one has the first attempt."""
    pair = Pair(harnesses, "cell")
    harness = pair.harness
    pair.connect_both()
    harness.reactor.run(LONG)
    harness.runners[0].on_run = lambda line, message: None  # it hangs
    pair.client.send_request(**KEYED)
    harness.reactor.until(harness.run_messages)
    (worker_call,) = harness.host.worker_calls.values()
    request, worker = worker_call.pending, worker_call.worker
    request.may_have_run_on, request.may_have_run_at = worker, harness.module.now
    repeat = Attempt(request, worker, harness.module.now, concurrency=2)
    request.attempts.append(repeat)
    request.function.replica(worker).start(repeat)
    harness.host.send_attempt(repeat, 10_000)
    harness.reactor.run(0.1)
    assert pair.runs()[0] == 1  # the other runner is known, and may get it

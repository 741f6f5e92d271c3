"""The account of memory, and the allowance for input that leads to nothing."""

from typing import Any

import pytest
from node_harness import harnesses

from lapistrestle.node.memory_account import (
    FULL_FRACTION,
    GUARANTEED_FRACTION,
    SHARE_DIVISOR,
    SHORT_FRACTION,
    USABLE_FRACTION,
    MemoryAccount,
)
from lapistrestle.node.read_turns import ALLOWANCE, ALLOWANCE_RATE, MIN_READ_SIZE, WORK_PER_REQUEST, ReadCost
from lapistrestle.node.streams import READ_SIZE

__all__ = ["harnesses"]  # the fixture
LIMIT, IDLE = 32e6, 23_000_000


def account() -> MemoryAccount:
    made = MemoryAccount(LIMIT)
    made.measured(IDLE)
    return made


def test_the_budget_is_what_the_idle_process_leaves_of_the_limit() -> None:
    assert account().budget == USABLE_FRACTION * LIMIT - IDLE


def test_what_clients_held_at_most_is_not_taken_for_the_process_itself() -> None:
    made = account()
    made.add(3_000_000)
    made.add(-3_000_000)
    made.measured(IDLE + 3_000_000)  # freed memory stays with the process
    assert made.budget == USABLE_FRACTION * LIMIT - IDLE


def test_what_else_the_process_holds_is_taken_off_the_budget() -> None:
    made = account()
    made.measured(IDLE + 1_000_000)
    assert made.budget == USABLE_FRACTION * LIMIT - IDLE - 1_000_000


def test_a_part_is_for_clients_whatever_the_process_holds() -> None:
    made = account()
    made.measured(int(2 * LIMIT))
    assert made.budget == GUARANTEED_FRACTION * LIMIT


@pytest.mark.parametrize("connections", [1, 10, 300])
def test_connections_that_hold_their_share_leave_room_for_others(connections: int) -> None:
    made = account()
    for _ in range(1_000):  # each takes its share as soon as it is under it
        held = made.held / connections
        if held >= made.share:
            break
        made.add(int(connections * max(1.0, (made.share - held) / SHARE_DIVISOR)))
    assert made.held <= made.budget * connections / (connections + SHARE_DIVISOR) + connections
    assert made.share > 0


def test_incomplete_requests_are_refused_before_complete_ones() -> None:
    made = account()
    made.add(int(SHORT_FRACTION * made.budget) + 1)
    assert made.is_short and made.has_room(1)
    made.add(int((FULL_FRACTION - SHORT_FRACTION) * made.budget))
    assert not made.has_room(1)


def test_usual_requests_never_exceed_the_allowance_and_useless_input_does() -> None:
    usual, useless = ReadCost(), ReadCost()
    for second in range(100):
        usual.add(READ_SIZE, 60 * WORK_PER_REQUEST, 60, second)
        useless.add(READ_SIZE, 60 * WORK_PER_REQUEST, 0, second)
    assert not usual.is_exceeded() and useless.is_exceeded()


def test_the_allowance_grows_again_with_time() -> None:
    cost = ReadCost()
    cost.add(READ_SIZE, 2 * ALLOWANCE, 0, 0.0)
    assert cost.is_exceeded()
    cost.add(1, 0, 0, 2 * ALLOWANCE / ALLOWANCE_RATE)
    assert not cost.is_exceeded()


def test_less_is_read_at_once_of_a_client_whose_bytes_cost_more() -> None:
    cost = ReadCost()
    cost.add(READ_SIZE, READ_SIZE / 8, 0, 0.0)
    assert MIN_READ_SIZE <= cost.next_read_size < READ_SIZE
    cost.add(READ_SIZE, 10, 2, 1.0)
    assert cost.next_read_size == READ_SIZE


class Turn:
    """A connection that notes when it is read."""

    def __init__(self, order: list[str], name: str) -> None:
        self.order, self.name = order, name

    def read_in_turn(self) -> None:
        self.order.append(self.name)


def test_new_connections_are_read_before_those_whose_input_led_to_nothing(harnesses: Any) -> None:
    """Guards against a usual client whose first request waits behind all that flood."""
    harness, order = harnesses(), list[str]()
    turns = harness.node.front.read_turns
    for name in ("costly 1", "costly 2"):
        turns.defer(Turn(order, name), is_costly=True)
    turns.defer(Turn(order, "new"), is_costly=False)
    harness.reactor.run(0.1)
    assert order == ["new", "costly 1", "costly 2"]


def test_a_slice_that_took_long_is_not_followed_by_a_pause_as_long(harnesses: Any) -> None:
    """Guards against turns that stand still after the process did."""
    harness, order = harnesses(), list[str]()
    turns, reactor = harness.node.front.read_turns, harness.reactor

    class Preempted(Turn):
        def read_in_turn(self) -> None:
            reactor.rightNow += 2.0
            super().read_in_turn()

    turns.defer(Preempted(order, "first"), is_costly=True)
    turns.defer(Turn(order, "second"), is_costly=True)
    reactor.run(2.1)
    assert order == ["first", "second"]

"""Changes of a long list of workers, and what they cost."""

from functools import partial
from typing import Any

import pytest
from node_harness import harnesses
from test_node_drains import CHANGES, DRAINING, GONE, SERVING, WHOLE

from benchmarks.scale.measuring import count_steps
from lapistrestle.node.notices import Frame, decode_frame
from lapistrestle.standins.platform import board_frame, board_row

GENERATION = 100_000  # added to the id of a runner that takes over the address of another
FIRST_PORT = 10_000

__all__ = ["harnesses"]  # the fixture


def row(number: int, state: int = SERVING, generation: int = 0) -> Any:
    """The record of the first runner at an address, or of a later one."""
    return board_row(number + GENERATION * generation, FIRST_PORT + number, state=state)


def name(number: int, generation: int = 0) -> str:
    """The name of that runner."""
    return f"s-{number + GENERATION * generation:08x}"


def replacement_events(number: int, generation: int, revision: int) -> list[Frame]:
    """A runner drains, has gone, and another starts at its address."""
    old, new = (number, DRAINING, generation), (number, SERVING, generation + 1)
    rows = [row(*old), row(number, GONE, generation), row(*new)]
    return [decode_frame(board_frame(revision + i, CHANGES, changed)) for i, changed in enumerate(rows)]


def list_runners(harness: Any, count: int) -> None:
    """Have the board list so many runners."""
    harness.board.publish(1, WHOLE, *(row(number) for number in range(1, count + 1)))
    harness.reactor.until(lambda: harness.node.discovery.revision == 1)


def replace_runner(harness: Any, number: int, generation: int = 0) -> None:
    """Apply the events that replace a runner, each in a poll of its own."""
    discovery = harness.node.discovery
    for event in replacement_events(number, generation, discovery.revision + 1):
        with harness.host.batched():
            discovery.receive(event, harness.node.core.clock())


def test_the_cost_of_a_replaced_runner_does_not_depend_on_the_length_of_the_list(harnesses: Any) -> None:
    """Guards against passes over all workers for each event: while six in ten of 3,200 were replaced within
    7 s, the dispatcher answered nobody.
    """
    counted = []
    for runners in (100, 400):
        harness = harnesses(runners=0)
        list_runners(harness, runners)
        for number in range(1, 6):
            replace_runner(harness, number)
        counted.append(count_steps(partial(replace_runner, harness, 6)).instructions)
        assert len(harness.node.core.runners) == len(harness.module.endpoints.ring) == runners
    assert counted[1] < 1.1 * counted[0]


def test_the_cost_of_a_replaced_runner_does_not_grow_with_those_replaced_before(harnesses: Any) -> None:
    """Guards against names of removed workers that are kept, and looked up again at each event."""
    harness = harnesses(runners=0)
    list_runners(harness, 10)
    counted = []
    for generation in range(30):
        for number in range(1, 10):
            replace_runner(harness, number, generation)
        step = partial(replace_runner, harness, 10, generation)
        counted.append(count_steps(step).instructions)
    assert len(harness.host.registry.workers) <= 11
    assert counted[-1] < 1.1 * counted[1]


def test_nothing_is_kept_of_runners_that_were_replaced(harnesses: Any) -> None:
    """Guards against names of removed runners that stay for the life of the process."""
    harness = harnesses(runners=0)
    list_runners(harness, 10)
    for generation in range(20):
        for number in range(1, 11):
            replace_runner(harness, number, generation)
    listed = {name(number, generation=20) for number in range(1, 11)}
    assert set(harness.node.core.work_gate.states) == listed
    assert len(harness.node.discovery.addresses.names) == len(listed)
    assert len(harness.host.registry.workers) <= len(listed) + 1  # one waits for the next change
    assert len(harness.host.endpoint_updates.removed) <= 1


@pytest.mark.parametrize("number", [1, 3], ids=["the first", "the last"])
def test_the_runner_at_an_address_is_the_one_that_was_listed_last(harnesses: Any, number: int) -> None:
    """A runner whose address is taken over has gone, whether or not the board reports it."""
    harness = harnesses(runners=0)
    list_runners(harness, 3)
    others = {name(other) for other in (1, 2, 3) if other != number}
    for revision, generation in ((2, 1), (3, 0), (4, 2)):
        harness.board.publish(revision, CHANGES, row(number, SERVING, generation))
        harness.reactor.until(lambda latest=revision: harness.node.discovery.revision == latest)
        assert set(harness.node.core.runners) == others | {name(number, generation)}

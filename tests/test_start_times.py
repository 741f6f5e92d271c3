"""The starts of workers hold where the machine's wall clock is wrong by seconds or by an hour."""

import time
from typing import Any

import pytest
from node_harness import harnesses

from lapistrestle.node import discovery
from lapistrestle.node.process_identity import MAX_LIST_DELAY
from lapistrestle.node.start_times import MAX_WORKERS, StartTimes
from lapistrestle.policy.types import EndpointState
from lapistrestle.standins.platform import RunnerStub
from lapistrestle.ticks import MILLISECOND, SECOND

__all__ = ["harnesses"]  # the fixture
CHANGES = 2
HOUR = 3_600.0  # seconds
STEPS = [-HOUR, -7.0, 0.0, 7.0, HOUR]  # seconds by which the wall clock is wrong as the process starts
UNIX_OFFSET = 1_000 * SECOND
NOW = 500 * SECOND


def listed(tick: int) -> int:
    """The Unix millisecond of a tick."""
    return (tick + UNIX_OFFSET) // MILLISECOND


@pytest.mark.parametrize("step", STEPS)
def test_a_worker_that_the_list_tells_anew_is_cold_however_wrong_the_clock_was_at_the_start(
    harnesses: Any, step: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against slow start by a Unix time that this machine's clock was wrong about."""

    class SteppedClock:
        @staticmethod
        def time() -> float:
            return time.time() + step

    monkeypatch.setattr(discovery, "time", SteppedClock)
    harness = harnesses(runners=2)
    harness.runners.append(RunnerStub(harness.reactor))
    harness.reactor.run(30.0)
    before = harness.node.core.clock()
    unix_now = time.time() + (harness.reactor.rightNow - 1_000.0)  # the true time, on the test's clock
    harness.board.publish(2, CHANGES, harness.row(2, started=int(unix_now * 1000)))
    harness.reactor.until(lambda: len(harness.workers()) == 3)
    (booted_at,) = [w.booted_at for w in harness.workers().values() if w.booted_at is not None]
    assert before - MAX_LIST_DELAY - SECOND <= booted_at <= harness.node.core.clock()
    assert all(w.endpoint_state is EndpointState.SERVING for w in harness.workers().values())


def test_a_start_is_not_later_than_the_event_that_tells_it() -> None:
    assert StartTimes(UNIX_OFFSET).tick_of("s-1", listed(NOW + 60 * SECOND), NOW, None) == NOW


def test_a_start_in_the_first_list_is_taken_by_the_wall_clock() -> None:
    assert StartTimes(UNIX_OFFSET).tick_of("s-1", listed(NOW - 60 * SECOND), NOW, None) == NOW - 60 * SECOND


def test_a_worker_that_was_not_listed_before_started_no_longer_before_than_the_list_may_be_late() -> None:
    starts = StartTimes(UNIX_OFFSET)
    told = NOW - SECOND  # until which no event was missing
    assert starts.tick_of("s-1", listed(NOW - 60 * SECOND), NOW, told) == told - MAX_LIST_DELAY
    assert starts.tick_of("s-2", listed(NOW - 2 * SECOND), NOW, told) == NOW - 2 * SECOND


def test_a_worker_that_is_told_again_keeps_its_start_and_a_restarted_one_has_a_new_one() -> None:
    starts = StartTimes(UNIX_OFFSET)
    first = starts.tick_of("s-1", listed(NOW - 60 * SECOND), NOW, None)
    assert starts.tick_of("s-1", listed(NOW - 60 * SECOND), NOW + SECOND, NOW) == first
    assert starts.tick_of("s-1", listed(NOW), NOW + SECOND, NOW) == NOW
    assert starts.tick_of("s-1", 0, NOW + SECOND, NOW) is None


def test_the_starts_that_are_remembered_are_bounded() -> None:
    starts = StartTimes(UNIX_OFFSET)
    for number in range(MAX_WORKERS + 10):
        starts.tick_of(f"s-{number}", listed(NOW), NOW, NOW)
    assert len(starts.starts) == MAX_WORKERS

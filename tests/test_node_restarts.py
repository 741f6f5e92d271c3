"""While events of the board may be missing, a worker that may have restarted is not taken for warm."""

import os
from collections.abc import Callable
from typing import Any

import pytest
from node_harness import NodeHarness, harnesses

from lapistrestle.node.runner_connection import RunnerConnection
from lapistrestle.policy.slow_start import SlowStart
from lapistrestle.policy.types import EndpointGap
from lapistrestle.standins.platform import BoardStub, RunnerStub

RATE = 40  # requests a second
STEP = 1 / RATE  # seconds between two requests
WARM_UP = 12.0  # seconds of traffic before the fault; the ramp takes 10 s
ALLOWED_WINDOW = 2.0  # seconds, `rules.fall` of the harness's settings
COLD_SHARE, FALL_MULTIPLE = 0.2, 2.0  # `rules.cold-from` and `rules.fall-multiple`
SERVED = 200  # status
FUNCTIONS = 12

__all__ = ["harnesses"]  # the fixture


class Traffic:
    """Steady requests for some functions from one client."""

    def __init__(self, harness: Any) -> None:
        self.harness, self.client, self.sent = harness, harness.connect_client(), 0

    def run(self, seconds: float) -> float:
        """Send for so long. Returns the share that was served."""
        numbers = []
        for _ in range(round(seconds * RATE)):
            function = f"{self.sent % FUNCTIONS:016x}"
            numbers.append(self.client.send_request(function=function, id=os.urandom(8).hex()))
            self.sent += 1
            self.harness.reactor.run(STEP)
        return sum(self.client.status(number) == SERVED for number in numbers) / len(numbers)


def allowed(workers: int) -> float:
    """The requests that bring down a worker that has just started, if its capacity is its even share."""
    bears = FALL_MULTIPLE * COLD_SHARE * ALLOWED_WINDOW * RATE / workers
    return bears + 2 * bears**0.5 + 2


def restart(harness: Any, index: int) -> Any:
    """Restart a runner at its address: connections are reset, and nothing it was is left. Returns it."""
    old = harness.runners[index]
    old.stop()
    harness.reactor.run(0.02)
    harness.runners[index] = RunnerStub(harness.reactor, port=old.port)
    return harness.runners[index]


def busiest(harness: Any) -> int:
    """The index of the runner with the most calls."""
    return max(range(len(harness.runners)), key=lambda index: len(harness.runners[index].runs))


def fall_silent(harness: Any) -> None:
    """The board's connections stay open, new ones are accepted, and nothing is sent."""
    harness.board.sends_heartbeats = False
    harness.board.listener.on_connection = harness.board_sockets.append


def silent_and_asked_again(harness: Any, traffic: Traffic) -> None:
    """A silent board that was asked again: what is on it counts as notified."""
    fall_silent(harness)
    while not harness.board_sockets:
        traffic.run(STEP)


def broken_off(harness: Any, traffic: Traffic) -> None:
    """A board that broke off 2 s ago."""
    harness.board.drop("gone")
    traffic.run(2.0)


def moved_away(harness: Any, traffic: Traffic) -> None:
    """A configuration has named a board that was asked, and does not answer."""
    harness.node.discovery.move_to(f"127.0.0.1:{harness.silent_port}")
    while not harness.board_sockets:
        traffic.run(STEP)


Fault = Callable[[Any, Traffic], None]
FAULTS = [silent_and_asked_again, broken_off, moved_away]


@pytest.fixture
def fleet(harnesses: Any) -> Any:
    """A dispatcher with three runners, and the sockets that a silent board has accepted."""
    harness = harnesses(runners=3)
    harness.board_sockets = []
    silent = RunnerStub(harness.reactor)
    silent.listener.on_connection = harness.board_sockets.append
    harness.silent_port = silent.port
    yield harness
    silent.listener.close()
    for sock in harness.board_sockets:
        sock.close()


@pytest.mark.parametrize("fault", FAULTS)
def test_a_worker_that_restarts_while_events_are_missing_is_not_sent_a_full_load(
    fleet: Any, fault: Fault
) -> None:
    """Guards against a full load for a cold worker whose start counts as notified and was not received."""
    traffic = Traffic(fleet)
    traffic.run(WARM_UP)
    fault(fleet, traffic)
    runner = restart(fleet, busiest(fleet))
    traffic.run(ALLOWED_WINDOW)
    assert 0 < len(runner.runs) <= allowed(len(fleet.runners))


@pytest.mark.parametrize("fault", FAULTS)
def test_workers_that_stay_connected_keep_their_load_while_events_are_missing(
    fleet: Any, fault: Fault
) -> None:
    """Guards against an outage of the board that costs service although no worker has restarted."""
    traffic = Traffic(fleet)
    traffic.run(WARM_UP)
    fault(fleet, traffic)
    before = len(fleet.run_messages())
    assert traffic.run(1.5) == 1.0
    assert len(fleet.run_messages()) - before == round(1.5 * RATE)


def test_workers_connected_shortly_before_a_break_keep_their_load_until_it_counts(fleet: Any) -> None:
    """Guards against an outage that costs a young dispatcher its service before any event is notified."""
    traffic = Traffic(fleet)
    traffic.run(3.0)
    fleet.board.drop("gone")
    assert traffic.run(1.9) == 1.0


def test_a_restart_shortly_before_events_are_missing_counts_too(fleet: Any) -> None:
    """Guards against a board that tells of a start late: the event comes only after it has broken off."""
    traffic = Traffic(fleet)
    traffic.run(WARM_UP)
    runner = restart(fleet, busiest(fleet))
    traffic.run(1.0)
    broken_off(fleet, traffic)
    before = len(runner.runs)
    traffic.run(1.0)
    assert 0 < len(runner.runs) - before <= allowed(len(fleet.runners))


def test_the_list_decides_again_once_it_is_complete(fleet: Any) -> None:
    """A heartbeat says that no event is missing: a worker without a start on the list is warm."""
    traffic = Traffic(fleet)
    traffic.run(WARM_UP)
    broken_off(fleet, traffic)
    index = busiest(fleet)
    restart(fleet, index)
    traffic.run(1.0)
    worker = fleet.workers()[f"s-{index + 1:08x}"]
    assert fleet.module.slow_start.share(worker) < 1
    back = BoardStub(fleet.reactor, port=fleet.board.port)
    fleet.to_close.append(back)
    back.events = dict(fleet.board.events)
    fleet.reactor.run(1.5)  # its next heartbeat
    assert fleet.module.slow_start.share(worker) == 1
    assert traffic.run(1.0) == 1.0


def test_a_process_has_run_since_the_oldest_connection_that_still_delivers(fleet: Any) -> None:
    """A later connection reaches the same process if an earlier one delivers afterwards."""
    pool = fleet.node.core.runners["s-00000001"]
    assert pool.connected_since() is None
    oldest, newer, dialling = (RunnerConnection(pool) for _ in range(3))
    pool.connections = [oldest, newer, dialling]
    assert pool.connected_since() is None  # none is established
    oldest.established_at, oldest.last_received_at = 100, 150
    assert pool.connected_since() == 100
    newer.established_at = 200
    assert pool.connected_since() == 200  # the old one may be half open, and the new process another
    oldest.last_received_at = 201
    assert pool.connected_since() == 100
    dialling.established_at = 300
    assert pool.connected_since() == 300
    oldest.last_received_at = 301
    assert pool.connected_since() == 100
    pool.connections.clear()


NOW = 500_000  # ticks
GAP = EndpointGap(complete_until=NOW - 30_000, notified_at=NOW - 10_000)
COMING_GAP = EndpointGap(complete_until=NOW - 10_000, notified_at=NOW + 10_000)  # nothing is notified yet
JUST_BEFORE, SINCE, LONG_AGO = NOW - 35_000, NOW - 5_000, NOW - 70_000


@pytest.mark.parametrize(
    ("gap", "booted_at", "connected_since", "latest"),
    [
        (None, 9, NOW, 9),  # the list is complete
        (GAP, None, SINCE, SINCE),
        (GAP, None, None, NOW),  # it may start just now
        (GAP, SINCE + 1, SINCE, SINCE + 1),
        (GAP, 9, JUST_BEFORE, JUST_BEFORE),  # the board may tell late of a start before the gap
        (GAP, 9, LONG_AGO, 9),  # it would bear a full load by now
        (COMING_GAP, 9, JUST_BEFORE, 9),
        (COMING_GAP, 9, SINCE, SINCE),  # seen anew: before it counts as notified
    ],
)
def test_the_latest_start_that_list_and_connections_allow(
    fleet: Any, gap: EndpointGap | None, booted_at: int | None, connected_since: int | None, latest: int
) -> None:
    slow_start: SlowStart = fleet.module.slow_start
    worker = fleet.workers()["s-00000001"]
    worker.booted_at, slow_start.clock.now = booted_at, NOW
    host: Any = type("Host", (), {})()
    host.endpoint_gap, host.connected_since = lambda: gap, lambda worker: connected_since
    slow_start.host = host
    assert slow_start.latest_start(worker) == latest


def test_a_dispatcher_that_starts_without_its_board_sends_no_full_load(harnesses: Any) -> None:
    """Guards against a start by the file's list alone, after which any worker may have restarted."""
    harness: NodeHarness = harnesses(runners=3)
    harness.board.sends_heartbeats = harness.node.discovery.freshness.is_caught_up = False
    traffic = Traffic(harness)
    traffic.run(ALLOWED_WINDOW)
    assert all(len(runner.runs) <= allowed(len(harness.runners)) for runner in harness.runners)

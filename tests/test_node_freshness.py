"""How old the list of workers may be, and the last check before a line is sent."""

import json
import os
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from node_harness import SETTINGS, harnesses
from test_crossings import FullListener, connections, fill_connection, harness, queued_lines, stall
from test_node_drains import CHANGES, DRAINING, WHOLE

from lapistrestle.edge.connection_state import ConnectionState
from lapistrestle.node.configuration import ConfigurationError, read_configuration
from lapistrestle.node.freshness import ListFreshness
from lapistrestle.node.notices import Record, decode_frame
from lapistrestle.node.program import Node
from lapistrestle.policy.types import EndpointState
from lapistrestle.standins.platform import BoardStub, board_frame, board_row

SECOND = 10_000  # ticks
SILENT, BROKEN, MOVED = 4.0, 2.0, 4.0  # seconds after which undelivered events count as notified
SHORTENED = {
    "watch_broke": BROKEN,
    "board_moved": MOVED,
    "watch_started": 0,
    "event_missed": 0,
}  # seconds until undelivered events count as notified, by method
GRACE = 2.0  # seconds; the drain grace in the settings of `NodeHarness`
NOT_SENT_YET = b""  # an event that is on the board, and not sent by it yet


__all__ = ["harness", "harnesses"]  # the fixtures


def request_status(harness: Any, client: Any = None, **fields: Any) -> Any:
    """Send a request and return its status."""
    client = client or harness.connect_client()
    number = client.send_request(id=os.urandom(8).hex(), **fields)
    harness.reactor.until(lambda: client.status(number) is not None)
    return client.status(number)


def discovery_of(harness: Any) -> Any:
    return harness.node.discovery


# the decision


@settings(max_examples=300, deadline=None, derandomize=True)
@given(
    grace=st.integers(0, 3 * SECOND),
    calls=st.lists(
        st.tuples(
            st.sampled_from(["heartbeat_received", "event_received", *SHORTENED]),
            st.integers(0, 2 * SECOND),
        ),
        max_size=12,
    ),
)
def test_whatever_happened_the_list_is_never_used_past_what_counts_as_told_and_the_grace(
    grace: Any, calls: Any
) -> None:
    """Undelivered events count as notified 4 s after the last frame, 2 s after a break, at once
    when asked again. From then on an event does not show that no other one is undelivered; a heartbeat does.
    """
    freshness, now, notified_at, may_miss_events = ListFreshness(grace, usable_until=grace), 0, 0, True
    for method, pause in calls:
        now += pause
        getattr(freshness, method)(now)
        if method in SHORTENED:
            may_miss_events = True
            notified_at = min(notified_at, now + int(SHORTENED[method] * SECOND))
        elif method == "heartbeat_received" or not may_miss_events:
            may_miss_events = False
            notified_at = now + int(SILENT * SECOND)
        assert freshness.usable_until == notified_at + grace
        assert freshness.is_usable(notified_at + grace) and not freshness.is_usable(notified_at + grace + 1)


# the board and its silences


def seconds_usable(harness: Any, most: float = 12.0) -> Any:
    """For how many seconds requests, sent every 0.1 s, are served; None: all the time."""
    started_at = last = harness.reactor.rightNow
    while harness.reactor.rightNow < started_at + most:
        runs = len(harness.run_messages())
        status = request_status(harness)
        if status != 200:
            assert status == 503 and len(harness.run_messages()) == runs
            return last - started_at
        last = harness.reactor.rightNow
        harness.reactor.run(0.1)
    return None


def connect_for_longer_than_the_ramp(harness: Any) -> None:
    """Serve requests until the workers' connections are older than the ramp: during an outage the age of the
    list alone then decides, not slow start.
    """
    ramp = harness.node.core.settings.slow_start_duration / SECOND
    assert seconds_usable(harness, most=ramp + 1.0) is None


def test_a_board_silent_on_a_new_watch_stops_new_work_after_the_grace(harness: Any) -> None:
    """It accepts the new connection and sends nothing: its events count as notified from then on."""
    connect_for_longer_than_the_ramp(harness)
    harness.board.sends_heartbeats = False
    taken: list[Any] = []
    harness.board.listener.on_connection = taken.append
    lasted = seconds_usable(harness)
    assert taken and lasted is not None and lasted <= 2.6 + GRACE  # asked again after 2.2 to 2.5 s
    assert request_status(harness, script="/_health") == 503


def test_a_lost_board_stops_new_work_after_the_time_of_a_break_and_the_grace(harness: Any) -> None:
    connect_for_longer_than_the_ramp(harness)
    harness.board.drop("gone")
    lasted = seconds_usable(harness)
    assert lasted is not None and BROKEN + GRACE - 0.3 < lasted < BROKEN + GRACE + 0.001


def board_lost_for_long(harness: Any) -> Any:
    """Take the board away until the list is too old. Returns a board for its place, with the same events."""
    connect_for_longer_than_the_ramp(harness)
    harness.board.drop("gone")
    assert seconds_usable(harness) is not None
    back = BoardStub(harness.reactor, port=harness.board.port)
    harness.to_close.append(back)
    back.events = dict(harness.board.events)
    return back


def other_worker_drains(harness: Any) -> Any:
    """The record of a worker that is not the harness's, which drains."""
    return board_row(2, harness.runners[0].port + 1, state=DRAINING)


def test_work_continues_with_the_first_heartbeat_of_a_board_that_is_back(harness: Any) -> None:
    board_lost_for_long(harness)
    harness.reactor.run(1.5)  # its next heartbeat
    assert request_status(harness) == 200
    assert [what for what, _ in harness.logs if what.startswith("list")][-2:] == [
        "list too old for new work", "list usable",
    ]  # fmt: skip


@pytest.mark.parametrize("kind", [CHANGES, WHOLE], ids=["a change", "a whole list"])
def test_the_first_missed_event_of_a_board_that_is_back_does_not_permit_new_work(
    harness: Any, kind: Any
) -> None:
    """Guards against new work for a worker whose drain is on the board and still undelivered."""
    back = board_lost_for_long(harness)
    back.sends_heartbeats = False
    rows = [harness.row(0), other_worker_drains(harness)]
    back.events |= {2: board_frame(2, kind, *rows), 3: NOT_SENT_YET, 4: NOT_SENT_YET}
    harness.reactor.run(1.5)
    assert discovery_of(harness).revision == 2
    runs = len(harness.run_messages())
    assert request_status(harness) == 503 and len(harness.run_messages()) == runs
    back.publish(3, CHANGES, harness.row(0))
    assert request_status(harness) == 503 and len(harness.run_messages()) == runs
    back.publish(4, CHANGES, harness.row(0))
    back.sends_heartbeats = True
    harness.reactor.run(1.5)
    assert request_status(harness) == 200


def test_a_board_that_breaks_off_while_it_sends_the_missed_events_permits_no_new_work(harness: Any) -> None:
    """Guards against calls to a worker whose drain was missed, between two breaks of the board."""
    back = board_lost_for_long(harness)
    back.sends_heartbeats = False
    runs = len(harness.run_messages())
    second = board_frame(3, CHANGES, harness.row(0, state=DRAINING))
    back.events[2] = board_frame(2, CHANGES, other_worker_drains(harness))
    back.events[3] = second[: len(second) // 2]
    harness.reactor.run(0.5)
    assert discovery_of(harness).revision == 2
    back.drop("gone")
    statuses = set()
    for _ in range(10):
        statuses.add(request_status(harness))
        harness.reactor.run(0.1)
    assert statuses == {503} and len(harness.run_messages()) == runs


def test_a_board_that_has_sent_all_missed_events_is_asked_again_for_a_heartbeat(harness: Any) -> None:
    """Guards against rejecting all requests until the next regular heartbeat, up to a second later."""
    back = board_lost_for_long(harness)
    back.sends_heartbeats = False
    back.events[2] = board_frame(2, CHANGES, other_worker_drains(harness))
    harness.reactor.run(0.3)
    assert back.subscriptions == [1, 2]
    assert request_status(harness) == 200


def test_a_board_is_not_asked_again_while_the_list_is_usable(harness: Any) -> None:
    harness.board.events[2] = board_frame(2, CHANGES, other_worker_drains(harness))
    harness.board.drop_connections()
    harness.reactor.run(0.9)
    assert harness.board.subscriptions == [0, 1]
    assert request_status(harness) == 200


def test_events_on_a_watch_that_has_caught_up_keep_the_list_usable(harness: Any) -> None:
    harness.board.sends_heartbeats = False
    for number in range(2, 12):
        harness.board.publish(number, CHANGES, other_worker_drains(harness))
        harness.reactor.run(1.0)
        assert request_status(harness) == 200


def test_a_reconnect_without_delay_rejects_no_request(harness: Any) -> None:
    for _ in range(3):
        harness.board.drop_connections()
        harness.reactor.run(0.01)
        assert seconds_usable(harness, most=1.5) is None


def test_a_board_with_heartbeats_is_always_recent_enough(harness: Any) -> None:
    assert seconds_usable(harness, most=15.0) is None
    assert harness.board.subscriptions == [0]


# configurations


def write_configuration(harness: Any, tmp_path: Any, **more: Any) -> Any:
    """Write a configuration file."""
    path = tmp_path / "config.json"
    file = {"name": "n3", "listen": "127.0.0.1:0", "seed": "1", "settings": SETTINGS} | more
    path.write_text(json.dumps(file))
    return path


def server(harness: Any, state: str = "SERVING", number: int = 1) -> Any:
    return {
        "id": f"s-{number:08x}", "addr": f"127.0.0.1:{harness.runners[0].port}", "zone": "east",
        "kind": "std", "cell": 0, "state": state,
    }  # fmt: skip


@pytest.mark.parametrize("whole_after", [0.05, 0.65, 3.3, 3.9])
def test_a_file_completed_within_the_time_of_a_move_is_read_in_time(
    harness: Any, tmp_path: Any, whole_after: Any
) -> None:
    """Guards against retries at growing intervals (0.1 to 6.3 s), the last of which comes after 4 s
    and the grace.
    """
    started_at, second = harness.reactor.rightNow, BoardStub(harness.reactor)
    whole = read_configuration(str(write_configuration(harness, tmp_path, board=f"127.0.0.1:{second.port}")))

    def reading() -> Any:
        if harness.reactor.rightNow < started_at + whole_after:
            raise ConfigurationError("half of it")
        return whole

    harness.node.reload(reading)
    harness.reactor.run(whole_after + 0.15)
    harness.reactor.until(lambda: second.subscriptions)
    second.drop("gone")


def test_later_events_in_a_new_configuration_are_applied(harness: Any, tmp_path: Any) -> None:
    """Guards against ignoring a drain in the file until the new board sends it."""
    events = [{"rev": 2, "pool": {"full": False, "servers": [server(harness, "DRAINING")]}}]
    path = write_configuration(harness, tmp_path, known={"rev": 2, "notices": events})
    harness.node.apply_configuration(read_configuration(str(path)))
    assert (
        harness.workers()["s-00000001"].endpoint_state is EndpointState.DRAINING
        and discovery_of(harness).revision == 2
    )


def test_events_in_a_configuration_after_a_gap_are_not_applied(harness: Any, tmp_path: Any) -> None:
    events = [{"rev": 3, "pool": {"full": False, "servers": [server(harness, "DRAINING")]}}]
    harness.node.apply_configuration(
        read_configuration(str(write_configuration(harness, tmp_path, known={"rev": 3, "notices": events})))
    )
    assert (
        discovery_of(harness).revision == 1
        and harness.workers()["s-00000001"].endpoint_state is EndpointState.SERVING
    )


@pytest.mark.parametrize(("behind", "age"), [(0.0, 0), (1.5, 15_000), (-1.0, None)])
def test_the_age_of_the_list_is_that_of_its_file(harness: Any, tmp_path: Any, behind: Any, age: Any) -> None:
    configuration = read_configuration(str(write_configuration(harness, tmp_path)))
    assert configuration.age(configuration.written + behind) == age


def test_a_file_replaced_while_it_is_read_is_as_old_as_the_one_before(
    harness: Any, tmp_path: Any, monkeypatch: Any
) -> None:
    """Guards against taking the age after reading: an older list would get the newer file's age."""
    path, read_bytes = write_configuration(harness, tmp_path), Path.read_bytes

    def replaced(self: Path) -> bytes:
        raw = read_bytes(self)
        os.utime(path, (2_000, 2_000))
        return raw

    os.utime(path, (1_000, 1_000))
    monkeypatch.setattr(Path, "read_bytes", replaced)
    assert read_configuration(str(path)).written == 1_000


def test_without_a_board_the_list_of_the_file_holds(harness: Any, tmp_path: Any) -> None:
    """Without a board there are no events to miss."""
    known = {"rev": 1, "notices": [{"rev": 1, "pool": {"full": True, "servers": [server(harness)]}}]}
    configuration = read_configuration(str(write_configuration(harness, tmp_path, known=known)))
    node = Node(harness.reactor, configuration, lambda what, **figures: None)
    node.discovery.start()
    harness.reactor.run(60.0)
    assert node.discovery.ready()


# the content of frames


def test_an_invalid_record_does_not_affect_the_others_of_its_event(harnesses: Any) -> None:
    """Guards against requesting an event with an invalid record again forever, so that no later
    drain arrives.
    """
    harness = harnesses()
    harness.board.publish(2, 2, harness.row(0, state=7), board_row(9, 0), harness.row(1, state=DRAINING))
    harness.board.publish(3, 2, board_row(8, 1234, zone=200, kind=200, state=2))
    harness.reactor.until(lambda: discovery_of(harness).revision == 3)
    listings = {name: worker.endpoint_state for name, worker in harness.workers().items()}
    assert set(listings.values()) == {EndpointState.DRAINING} and harness.board.subscriptions == [0]
    assert request_status(harness) == 503 and harness.run_messages() == []


@given(state=st.integers(0, 255), port=st.integers(0, 65_535))
def test_only_the_state_zero_with_a_port_reads_as_ready(state: Any, port: Any) -> None:
    (record,) = decode_frame(board_frame(1, 1, board_row(1, port, state=state))).records
    assert isinstance(record, Record)
    assert (record.listing is EndpointState.SERVING) == (state == 0 and port > 0)


# just before the first byte


def stall_between_decision_and_write(harness: Any, meanwhile: Any) -> None:
    """Stall the process after the module has decided and before anything is written."""
    sent = harness.node.core.send_call

    def run(worker_call: Any) -> None:
        harness.node.core.send_call = sent
        meanwhile()
        stall(harness, 0.3)
        sent(worker_call)

    harness.node.core.send_call = run


@pytest.mark.parametrize("state", [1, 2], ids=["drains", "is gone"])
def test_after_a_stall_between_decision_and_write_nothing_is_sent_to_a_draining_worker(
    harness: Any, state: Any
) -> None:
    assert request_status(harness) == 200
    stall_between_decision_and_write(
        harness, lambda: harness.board.publish(2, 2, harness.row(0, state=state))
    )
    assert request_status(harness) == 503 and len(harness.run_messages()) == 1
    assert harness.node.core.counts["not begun"] == 1
    assert [figures["listing"] for what, figures in harness.logs if what == "not begun"] != []


@pytest.mark.parametrize("how", ["aborts", "closes"])
def test_after_a_stall_between_decision_and_write_nothing_is_sent_for_a_disconnected_client(
    harness: Any, how: Any
) -> None:
    assert request_status(harness) == 200
    client = harness.connect_client()

    def leaves() -> None:
        if how == "aborts":
            client.give_up(1)
        else:
            client.drop("gone")

    stall_between_decision_and_write(harness, leaves)
    client.send_request(id=os.urandom(8).hex())
    harness.reactor.until(lambda: harness.host.counts["left"])
    harness.reactor.quiet()
    assert len(harness.run_messages()) == 1 and not harness.host.worker_calls


def test_none_of_many_requests_is_started_for_a_client_that_closed_behind_them(harness: Any) -> None:
    """Guards against reading only 64 KiB after a stall, and the close behind them some polls later."""
    client = harness.connect_client()
    assert request_status(harness, client) == 200
    harness.reactor.readers.pop(next(iter(harness.node.front.connections)))
    for _ in range(8):
        client.send_request(body=b"x" * 16_000, id=os.urandom(8).hex())
    harness.reactor.until(lambda: not client.unsent)
    client.drop("gone")
    stall(harness, 0.3)
    for connection in harness.node.front.connections:
        harness.reactor.readers[connection] = None
    harness.reactor.quiet()
    assert len(harness.run_messages()) == 1 and harness.host.open_requests == 0


def test_nothing_is_sent_to_a_draining_worker_on_a_socket_writable_after_a_stall(harness: Any) -> None:
    """Guards against sending queued lines once there is room, before the event of the same poll is read."""
    client, line, connection = fill_connection(harness)
    before = len(harness.run_messages())
    client.send_request(method="bill", patience="3000")
    harness.reactor.until(lambda: connection.state_machine.state is ConnectionState.SLOW)
    watch = discovery_of(harness).watch
    harness.reactor.readers.pop(watch)  # the reactor reads it last
    harness.board.publish(2, 2, harness.row(0, state=DRAINING))
    stall(harness, 0.3)
    harness.reactor.addReader(line)
    harness.reactor.until(lambda: connection.state_machine.state is not ConnectionState.SLOW)
    harness.reactor.addReader(watch)
    harness.reactor.quiet()
    assert len(harness.run_messages()) == before and not harness.host.worker_calls


def test_nothing_is_sent_to_a_draining_worker_on_a_connection_made_during_a_stall(harness: Any) -> None:
    closed, client = FullListener(harness), harness.connect_client()
    client.send_request(method="bill", patience="3000")
    harness.reactor.until(lambda: queued_lines(harness))
    watch = discovery_of(harness).watch
    harness.reactor.readers.pop(watch)
    harness.board.publish(2, 2, harness.row(0, state=DRAINING))
    stall(harness, 0.1)
    closed.open()
    harness.reactor.until(lambda: not queued_lines(harness))
    harness.reactor.addReader(watch)
    harness.reactor.quiet()
    assert harness.run_messages() == [] and not harness.host.worker_calls


def test_no_preload_is_sent_to_a_draining_worker_after_a_stall(harness: Any) -> None:
    """Guards against a preload after a miss, sent before the event is read."""
    harness.runners[0].loaded, received = {}, []
    harness.runners[0].on_run = lambda line, message: received.append((line, message))
    client = harness.connect_client()
    number = client.send_request()
    harness.reactor.until(lambda: received)
    line, message = received[0]
    line.send_message("404", message["rid"])
    watch = discovery_of(harness).watch
    harness.reactor.readers.pop(watch)
    harness.reactor.readers[watch] = None  # read last in the poll that brings both
    harness.board.publish(2, 2, harness.row(0, state=DRAINING))
    stall(harness, 3.0)
    harness.reactor.until(lambda: client.status(number) is not None)
    assert [message for message in harness.runners[0].others if message["verb"] == "HOLD"] == []


# the time left that is sent to runners


def test_the_budget_sent_is_the_time_left_when_the_line_is_written(harness: Any) -> None:
    """Guards against encoding the time left before the connection is established, here 0.2 s later."""
    closed, client = FullListener(harness), harness.connect_client()
    client.send_request(patience="1000")
    harness.reactor.until(lambda: queued_lines(harness))
    harness.reactor.run(0.2)
    closed.open()
    harness.reactor.until(harness.run_messages)
    (message,) = harness.run_messages()
    assert 0 < message["attrs"]["budget"] <= 800


def test_a_call_without_time_left_when_the_connection_is_made_is_not_sent(harnesses: Any) -> None:
    defaults: Any = SETTINGS["limits"]
    harness = harnesses(runners=1, limits=defaults | {"dial-timeout": 5_000_000})
    closed, client = FullListener(harness), harness.connect_client()
    number = client.send_request(patience="400")
    harness.reactor.until(lambda: queued_lines(harness))
    stall(harness, 0.41)
    closed.open()
    harness.reactor.until(lambda: client.status(number) is not None)
    harness.reactor.until(
        lambda: all(c.state_machine.state is ConnectionState.OPEN for c in connections(harness))
    )
    assert harness.run_messages() == []


def test_each_of_many_requests_on_a_connection_has_its_own_time_left(harness: Any) -> None:
    """Guards against counting older unread requests as recent as the last one."""
    client = harness.connect_client()
    assert request_status(harness, client) == 200
    connection = next(iter(harness.node.front.connections))
    harness.reactor.readers.pop(connection)
    client.send_request(method="bill", patience="1000", id=os.urandom(8).hex())
    stall(harness, 0.3)
    client.send_request(method="bill", patience="1000", id=os.urandom(8).hex())
    harness.reactor.unread_for = lambda sock: 0.0  # the kernel knows the age of the last bytes only
    harness.reactor.looked = (harness.reactor.rightNow - 0.3, harness.reactor.rightNow)
    harness.reactor.rightNow += 0.001
    connection.read(1)
    harness.reactor.quiet()
    first, second = [message["attrs"]["budget"] for message in harness.run_messages()[1:]]
    assert first <= 700 + 150 and second <= 1000

"""The state machine of a runner's connection: lines that were never sent and lines that may have run."""

import pytest

from lapistrestle.edge.connection_state import (
    MAX_QUEUED,
    PROMPT_WAIT,
    TRANSITIONS,
    ConnectionCallbacks,
    ConnectionEvent,
    ConnectionState,
    ConnectionStateMachine,
    Line,
)


class Recorder(ConnectionCallbacks):
    def __init__(self):
        self.acts = []

    def dial(self):
        self.acts.append("dial")

    def write(self, line, number=0):
        self.acts.append(line)
        return True

    def close(self):
        self.acts.append("close")

    def schedule_redial(self, delay):
        self.acts.append(("redial", delay))

    def report_unreachable(self, numbers):
        self.acts.append(("unreachable", numbers))

    def report_not_sent(self, numbers):
        self.acts.append(("not sent", numbers))

    def report_lost(self, numbers):
        self.acts.append(("lost", numbers))


def send(link, number, data, prompt=False, **more):
    return link.send(Line(number, lambda: data, **more), prompt)


link_clock = [0]


@pytest.fixture
def link():
    link_clock[0] = 1_000
    return ConnectionStateMachine("w", Recorder(), lambda text: None, lambda: link_clock[0])


@pytest.fixture
def open_link(link):
    link.step(ConnectionEvent.LISTED)
    link.step(ConnectionEvent.ESTABLISHED)
    link.callbacks.acts.clear()
    return link


def test_lines_are_queued_until_the_greeting_and_sent_in_order(link):
    assert send(link, 1, b"a") and send(link, 2, b"b")
    assert link.callbacks.acts == ["dial"] and link.state is ConnectionState.DIALING
    link.step(ConnectionEvent.ESTABLISHED)
    assert link.callbacks.acts == ["dial", b"a", b"b"] and list(link.in_flight) == [1, 2]


@pytest.mark.parametrize("why", [ConnectionEvent.DIAL_FAILED, ConnectionEvent.LOST])
def test_lines_queued_for_a_failed_connection_were_never_sent(link, why):
    send(link, 1, b"a")
    link.step(why)
    assert (
        ("unreachable", [1]) in link.callbacks.acts
        and not link.in_flight
        and link.state is ConnectionState.BACKOFF
    )


def test_written_lines_may_have_run_when_the_connection_breaks(open_link):
    send(open_link, 1, b"a")
    open_link.step(ConnectionEvent.WRITE_BLOCKED)
    send(open_link, 2, b"b")
    open_link.step(ConnectionEvent.LOST)
    assert [a for a in open_link.callbacks.acts if a[0] in ("unreachable", "lost")] == [
        ("unreachable", [2]),
        ("lost", [1]),
    ]


def test_a_removed_runner_keeps_its_connection_until_its_calls_end(open_link):
    send(open_link, 1, b"a")
    open_link.step(ConnectionEvent.REMOVED)
    assert open_link.state is ConnectionState.CLOSING and "close" not in open_link.callbacks.acts
    assert not send(open_link, 2, b"b")
    assert (
        open_link.finished(1)
        and open_link.state is ConnectionState.CLOSED
        and open_link.callbacks.acts[-1] == "close"
    )
    assert not open_link.finished(1)


def test_a_withdrawn_line_is_never_sent(link):
    send(link, 1, b"a")
    send(link, 2, b"b")
    assert link.withdraw(1) and not link.withdraw(1)
    link.step(ConnectionEvent.ESTABLISHED)
    assert link.callbacks.acts == ["dial", b"b"]
    assert not link.withdraw(2) and not link.in_flight


def test_a_full_queue_rejects_further_lines(link):
    assert all(send(link, n + 1, b"x") for n in range(MAX_QUEUED))
    assert not send(link, 0, b"y")


def test_backoff_grows_up_to_a_limit_and_ends_when_a_line_is_queued(link):
    link.step(ConnectionEvent.LISTED)
    rests = []
    for _ in range(9):
        link.step(ConnectionEvent.DIAL_FAILED)
        rests.append(link.callbacks.acts[-1][1])
        link.step(ConnectionEvent.BACKOFF_ELAPSED)
    assert rests[0] <= 1_000 and max(rests) <= 20_000 and max(rests) > 8_000
    link.step(ConnectionEvent.DIAL_FAILED)
    send(link, 1, b"a")
    assert link.state is ConnectionState.DIALING


def test_a_preload_queued_for_too_long_is_not_sent(link):
    send(link, 1, b"call")
    send(link, 2, b"order", prompt=True)
    link.step(ConnectionEvent.ESTABLISHED)
    assert link.callbacks.acts == ["dial", b"call", b"order"]
    link.step(ConnectionEvent.LOST)
    send(link, 3, b"call")
    send(link, 4, b"order", prompt=True)
    link_clock[0] += PROMPT_WAIT + 1
    link.callbacks.acts.clear()
    link.step(ConnectionEvent.ESTABLISHED)
    assert link.callbacks.acts == [b"call", ("not sent", [4])] and list(link.in_flight) == [3]
    link.step(ConnectionEvent.WRITE_BLOCKED)
    assert not send(link, 5, b"order", prompt=True) and send(link, 6, b"call")


def test_every_state_but_the_last_can_be_left_and_every_one_reached():
    states = {state for state, _ in TRANSITIONS}
    assert states == set(ConnectionState) - {ConnectionState.CLOSED}
    assert {after for after, _ in TRANSITIONS.values()} == set(ConnectionState) - {ConnectionState.IDLE}


def test_a_connection_that_breaks_during_a_write_reports_that_line_too(open_link):
    """Guards against counting a line as in flight only after the write, when its end is no longer
    reported.
    """
    open_link.callbacks.write = lambda line, number=0: open_link.step(ConnectionEvent.LOST) is None
    send(open_link, 1, b"a")
    assert ("lost", [1]) in open_link.callbacks.acts and not open_link.in_flight


def test_a_line_of_which_nothing_was_sent_is_queued_and_can_be_cancelled(open_link):
    """Guards against lines buffered by a full socket, where neither a drain nor a timeout can cancel them."""

    def full(line, number=0):
        open_link.step(ConnectionEvent.WRITE_BLOCKED)
        return False

    open_link.callbacks.write, wrote = full, open_link.callbacks.write
    assert send(open_link, 1, b"a") and send(open_link, 2, b"b")
    assert not open_link.in_flight and open_link.cancel_unsent(1) and not open_link.cancel_unsent(1)
    open_link.callbacks.write = wrote
    open_link.step(ConnectionEvent.WRITABLE)
    assert open_link.callbacks.acts == [b"b"] and list(open_link.in_flight) == [2]


def test_a_line_is_not_sent_after_its_latest_time(link):
    send(link, 1, b"repeat", send_by=link_clock[0] + 500)
    send(link, 2, b"first")
    link_clock[0] += 501
    link.step(ConnectionEvent.ESTABLISHED)
    assert link.callbacks.acts == ["dial", b"first", ("not sent", [1])]

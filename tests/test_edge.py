"""The edge on a virtual network: how it handles messages of clients, runners and the roster."""

from pathlib import Path

import msgspec
import pytest
from twisted.internet.protocol import ClientFactory, Protocol, ServerFactory

from lapistrestle.deployment.load import load_deployment
from lapistrestle.edge.program import Edge
from lapistrestle.standins.virtual import VirtualProcess, VirtualReactor

EXAMPLES = Path(__file__).parent.parent / "examples"


class Peer(Protocol):
    """The test's end of a connection to the edge: sends JSON lines and collects the received ones."""

    def __init__(self, connections):
        self.connections, self.received, self.buffer, self.closed = connections, [], b"", False
        connections.append(self)

    def dataReceived(self, data):
        *lines, self.buffer = (self.buffer + data).split(b"\n")
        self.received += [msgspec.json.decode(line) for line in lines]

    def connectionLost(self, reason=None):
        self.closed = True

    def send(self, **message):
        self.send_raw(msgspec.json.encode(message) + b"\n")

    def send_raw(self, data):
        self.transport.write(data)

    def messages(self, kind):
        """The received messages of one kind, as named in their field `is`."""
        return [message for message in self.received if message["is"] == kind]


class PeerDialer(ClientFactory):
    def __init__(self, connections):
        self.connections = connections

    def buildProtocol(self, addr):
        return Peer(self.connections)


class PeerAcceptor(ServerFactory):
    def __init__(self, connections):
        self.connections = connections

    def buildProtocol(self, addr):
        return Peer(self.connections)


class EdgeHarness:
    """An edge on a virtual network; the test acts as its roster, runners and clients."""

    def __init__(self, example="thumbs", runners=2, roster=None, methods=None, **listen):
        self.reactor = VirtualReactor()
        self.test_process = VirtualProcess(self.reactor, "test")
        self.edge_process = VirtualProcess(self.reactor, "edge")
        self.logs = []
        deployment = load_deployment(EXAMPLES / f"{example}.json5")
        deployment.listen = msgspec.structs.replace(deployment.listen, port=0, **listen)
        deployment.methods |= methods or {}
        deployment.roster = msgspec.structs.replace(deployment.roster, **roster or {})
        self.rosters, self.clients = [], []
        deployment.roster.port = self.test_process.listenTCP(0, PeerAcceptor(self.rosters)).port
        self.edge = Edge(
            self.edge_process, deployment, lambda what, **figures: self.logs.append((what, figures))
        )
        self.port = self.edge.start()
        self.run()
        self.roster.send(**{"is": "hello", "protocol": "lapistrestle.roster", "version": 1})
        self.run()
        self.runners = {f"r{i}": [] for i in range(runners)}
        self.ports = {
            n: self.test_process.listenTCP(0, PeerAcceptor(p)).port for n, p in self.runners.items()
        }
        self.send_list()
        self.run()
        for name in self.runners:
            self.send_hello(name)
        self.run()

    @property
    def roster(self):
        return self.rosters[-1]

    def send_list(self, number=1, **more):
        entries = [self.entry(name) for name in self.runners]
        self.roster.send(**{"is": "whole", "number": number, "epoch": "e", "workers": entries, **more})

    def entry(self, name, **more):
        return {"name": name, "port": self.ports[name], "start": f"{name}#0", "up_for": 3_600_000, **more}

    def send_change(self, number, *entries):
        self.roster.send(**{"is": "change", "number": number, "epoch": "e", "workers": list(entries)})

    def send_hello(self, name, start="#0"):
        hello = {"is": "hello", "protocol": "lapistrestle.runner", "version": 1, "name": name}
        self.runners[name][-1].send(**hello, start=f"{name}{start}", up_for=3_600_000)

    def run(self, seconds=0.01):
        self.reactor.run(self.reactor.seconds() + seconds)

    def connect_client(self):
        self.test_process.connectTCP("127.0.0.1", self.port, PeerDialer(self.clients))
        self.run()
        self.clients[-1].send(**{"is": "hello", "protocol": "lapistrestle.client", "version": 1})
        self.run()
        return self.clients[-1]

    def run_messages(self):
        """The `run` messages sent to runners so far, each with its connection."""
        return [
            (peer, run) for peers in self.runners.values() for peer in peers for run in peer.messages("run")
        ]

    def nothing_open(self):
        """Whether the edge has neither open requests nor calls in flight at runners."""
        return (self.edge.host.open_requests, self.edge.host.worker_calls) == (0, {})


CALL = {"is": "call", "fn": "f", "method": "preview", "left": 2000, "customer": "news", "memory": 100}


@pytest.fixture
def harness():
    return EdgeHarness()


def send_ended(peer, run, outcome="ok", **more):
    """Report the outcome of the call that `run` started."""
    peer.send(**{"is": "ended", "call": run["call"], "outcome": outcome, **more})


def test_a_call_runs_and_its_body_passes_through_untouched(harness):
    client = harness.connect_client()
    client.send(**CALL, id="1", body={"a": [1, "ü"]}, key="k")
    harness.run()
    ((peer, run),) = harness.run_messages()
    assert run["body"] == {"a": [1, "ü"]} and run["key"] == "k" and run["rpc"] == "c1/1"
    assert 0 < run["within"] <= 2000
    send_ended(peer, run, body={"b": 2})
    harness.run()
    (answer,) = client.messages("answer")
    assert (answer["id"], answer["verdict"], answer["body"]) == ("1", "ok", {"b": 2})
    assert harness.nothing_open()


def test_a_hello_has_protocol_and_version_and_a_wrong_one_is_rejected(harness):
    client = harness.connect_client()
    assert client.received[0]["protocol"] == "lapistrestle.client" and client.received[0]["you"] == "c1"
    for hello in ({"protocol": "other", "version": 1}, {"protocol": "lapistrestle.client", "version": 9}):
        harness.test_process.connectTCP("127.0.0.1", harness.port, PeerDialer(harness.clients))
        harness.run()
        harness.clients[-1].send(**{"is": "hello", **hello})
        harness.run()
        assert "spoken here" in harness.clients[-1].messages("bye")[0]["why"] and harness.clients[-1].closed


def test_duplicate_and_unexpected_replies_of_a_runner_are_ignored(harness):
    client = harness.connect_client()
    client.send(**CALL, id="1")
    harness.run()
    ((peer, run),) = harness.run_messages()
    send_ended(peer, run)
    send_ended(peer, run, "error")
    peer.send(**{"is": "begun", "call": run["call"]})
    send_ended(peer, {"call": 12345})
    peer.send(**{"is": "held", "order": 777, "outcome": "ok", "count": 1})
    harness.run()
    assert [a["verdict"] for a in client.messages("answer")] == ["ok"]
    assert harness.edge.host.counts["stray"] == 4 and harness.nothing_open()


def test_another_runner_cannot_end_a_call_that_is_not_its_own(harness):
    client = harness.connect_client()
    client.send(**CALL, id="1")
    harness.run()
    ((peer, run),) = harness.run_messages()
    other = next(p[-1] for p in harness.runners.values() if p[-1] is not peer)
    send_ended(other, run)
    harness.run()
    assert client.messages("answer") == [] and harness.edge.host.counts["stray"] == 1


@pytest.mark.parametrize(("method", "verdict"), [("charge", "aborted"), ("preview", "ok")])
def test_a_connection_lost_during_a_call_aborts_or_retries_by_its_idempotency(harness, method, verdict):
    client = harness.connect_client()
    client.send(**CALL | {"method": method}, id="1")
    harness.run()
    ((peer, run),) = harness.run_messages()
    peer.transport.abortConnection()
    harness.run()
    for again, second in harness.run_messages():
        if again is not peer:
            send_ended(again, second)
    send_ended(peer, run)  # too late: the connection was lost
    harness.run()
    assert [a["verdict"] for a in client.messages("answer")] == [verdict] and harness.nothing_open()


def test_a_call_received_together_with_the_close_of_its_client(harness):
    """The call is read before the close, so it runs, and nobody is left to get its answer."""
    client = harness.connect_client()
    client.send(**CALL, id="1")
    client.transport.loseConnection()
    harness.run()
    ((peer, run),) = harness.run_messages()
    assert harness.edge.host.open_requests == 0
    send_ended(peer, run)
    harness.run()
    assert harness.nothing_open() and harness.edge.host.counts["left"] == 1


def test_an_answer_at_the_deadline_is_sent_once(harness):
    client = harness.connect_client()
    client.send(**CALL | {"method": "charge", "left": 500}, id="1")
    harness.run()
    ((peer, run),) = harness.run_messages()
    started_at = harness.reactor.seconds()
    harness.reactor.run(started_at + 0.48 - 0.01)
    send_ended(peer, run)
    harness.run(0.5)
    assert len(client.messages("answer")) == 1 and harness.nothing_open()


def test_a_call_without_time_left_is_denied_at_once(harness):
    client = harness.connect_client()
    client.send(**CALL | {"left": 0}, id="1")
    harness.run()
    assert client.messages("answer")[0]["verdict"] == "denied" and not harness.run_messages()


@pytest.mark.parametrize(
    ("line", "why"),
    [
        (b"{}\n", "missing required field `is`"), (b"nonsense\n", "JSON is malformed"),
        (b'{"is":"call","id":"7"}\n', "missing required field `fn`"),
        (b'{"is":"fly","id":"7"}\n', "Invalid value 'fly'"),
        (b'\xff\xfe\n', "JSON is malformed"), (b"[" * 5000 + b"\n", ""),
        (msgspec.json.encode(CALL | {"id": "7", "method": "dance"}) + b"\n", "dance is not known;"),
        (msgspec.json.encode(CALL | {"id": "7", "customer": "x"}) + b"\n", 'customer "x" is not known'),
        (msgspec.json.encode(CALL | {"id": "7", "left": -1}) + b"\n", "Expected `float` >= 0.0"),
    ],
)  # fmt: skip
def test_an_invalid_line_gets_a_fault_and_does_not_affect_other_calls(harness, line, why):
    client = harness.connect_client()
    client.send(**CALL, id="before")
    client.send_raw(line)
    client.send(**CALL, id="after")
    harness.run()
    (fault,) = client.messages("fault")
    assert why in fault["why"] and (b'"7"' not in line or fault["id"] == "7")
    for peer, run in harness.run_messages():
        send_ended(peer, run)
    harness.run()
    assert {a["id"] for a in client.messages("answer")} == {"before", "after"} and harness.nothing_open()


def test_the_same_id_twice_has_one_answer_and_one_fault(harness):
    client = harness.connect_client()
    client.send(**CALL, id="1")
    client.send(**CALL, id="1")
    harness.run()
    ((peer, run),) = harness.run_messages()
    send_ended(peer, run)
    harness.run()
    assert len(client.messages("answer")) == 1 and "is open" in client.messages("fault")[0]["why"]
    client.send(**CALL, id="1")  # the id may be used again
    harness.run()
    assert len(harness.run_messages()) == 2


def test_a_line_of_ten_megabytes_closes_only_its_connection(harness):
    client, other = harness.connect_client(), harness.connect_client()
    other.send(**CALL, id="1")
    for _ in range(160):
        client.send_raw(b"x" * 65_536)
    harness.run(0.1)
    assert "longer than" in client.messages("bye")[0]["why"] and client.closed and not other.closed
    assert len(harness.run_messages()) == 1


def test_ten_thousand_calls_at_once_are_each_answered(harness):
    client = harness.connect_client()
    for number in range(10_000):
        client.send_raw(msgspec.json.encode(CALL | {"id": str(number)}) + b"\n")
    harness.run(3.0)
    verdicts = [a["verdict"] for a in client.messages("answer")]
    assert len(verdicts) == len({a["id"] for a in client.messages("answer")}) == 10_000
    assert harness.nothing_open() and harness.edge.host.counts["taken"] <= 10_000


def test_calls_beyond_the_limit_of_a_connection_are_denied_at_once():
    harness = EdgeHarness(open_calls=3)
    client = harness.connect_client()
    for number in range(5):
        client.send(**CALL, id=str(number))
    harness.run()
    denied = [a["id"] for a in client.messages("answer") if a["verdict"] == "denied"]
    assert denied[-2:] == ["3", "4"] and harness.edge.counts["turned away"] >= 2 - len(denied[:-2])


def test_a_client_that_stops_reading_has_bounded_unsent_bytes_and_is_cut():
    harness = EdgeHarness(unsent=100_000)
    client = harness.connect_client()
    client.transport.pauseProducing()
    big = "x" * 20_000
    for number in range(60):
        client.send(**CALL, id=str(number))
    harness.run()
    answered = 0
    for _ in range(20):
        for peer, run in harness.run_messages()[answered:]:
            answered += 1
            send_ended(peer, run, body=big)
        harness.run()
    unsent = [connection.unsent_bytes for connection in harness.edge.client_connections]
    assert not unsent or max(unsent) <= 100_000
    client.transport.resumeProducing()
    harness.run(3.0)
    assert harness.nothing_open()


def test_a_removed_runner_may_still_finish_its_calls(harness):
    client = harness.connect_client()
    client.send(**CALL, id="1")
    harness.run()
    ((peer, run),) = harness.run_messages()
    name = next(n for n, peers in harness.runners.items() if peer in peers)
    harness.send_change(2, harness.entry(name, listing="gone"))
    harness.run(0.2)
    assert not peer.closed
    send_ended(peer, run)
    harness.run()
    assert client.messages("answer")[0]["verdict"] == "ok" and peer.closed
    client.send(**CALL, id="2")
    harness.run()
    assert all(other is not peer for other, r in harness.run_messages() if r["rpc"] == "c1/2")


def test_the_same_name_on_another_port_is_another_process(harness):
    for name in list(harness.runners):
        old = harness.runners[name][-1]
        harness.ports[name] = harness.test_process.listenTCP(0, PeerAcceptor(harness.runners[name])).port
        harness.send_change(
            2 + list(harness.runners).index(name), harness.entry(name, start=f"{name}#1", up_for=0)
        )
        harness.run()
        assert old.closed
        harness.send_hello(name, "#1")
        harness.run()
    assert {worker.booted_at is not None for worker in harness.edge.host.module.endpoints.workers} == {True}
    assert all(
        harness.edge.clock() - worker.booted_at < 1_000
        for worker in harness.edge.host.module.endpoints.workers
    )


def test_a_port_at_which_another_runner_answers_is_not_used(harness):
    peers = harness.runners["x"] = []
    harness.ports["x"] = harness.test_process.listenTCP(0, PeerAcceptor(peers)).port
    harness.send_change(2, harness.entry("x"))
    harness.run()
    hello = {"is": "hello", "protocol": "lapistrestle.runner", "version": 1, "name": "somebody else"}
    peers[-1].send(**hello)
    harness.run()
    assert peers[-1].closed and "was expected" in peers[-1].messages("bye")[0]["why"]


def test_a_gap_in_the_list_or_a_garbled_line_requests_the_whole_list(harness):
    harness.send_change(5, harness.entry("r0"))
    harness.run()
    assert len(harness.roster.messages("ask")) == 1
    harness.roster.send_raw(b"\xff{\n")
    harness.run()
    assert len(harness.roster.messages("ask")) == 2
    harness.send_list(9)
    harness.run()
    assert harness.edge.known_workers.number == 9


def test_an_empty_list_denies_at_once_and_a_stalled_one_changes_nothing(harness):
    """After 30 s without a message of the roster the last list still applies."""
    client = harness.connect_client()
    harness.run(30.0)
    client.send(**CALL, id="1")
    harness.run()
    assert len(harness.run_messages()) == 1
    harness.roster.send(**{"is": "whole", "number": 2, "epoch": "e", "workers": []})
    harness.run()
    client.send(**CALL, id="2")
    harness.run()
    assert [a["verdict"] for a in client.messages("answer") if a["id"] == "2"] == ["denied"]


def test_the_roster_is_dialled_again_when_its_connection_breaks(harness):
    harness.roster.transport.abortConnection()
    harness.run(0.3)
    assert len(harness.rosters) == 2
    harness.roster.send(**{"is": "hello", "protocol": "lapistrestle.roster", "version": 1})
    harness.run()
    assert harness.roster.messages("follow")


def test_a_runner_that_never_sends_hello_is_unreachable(harness):
    harness = EdgeHarness(runners=1)
    old = harness.runners["r0"][-1]
    old.transport.abortConnection()
    harness.run(0.2)
    client = harness.connect_client()
    client.send(**CALL | {"method": "charge"}, id="1")
    harness.run(1.7)
    assert client.messages("answer")[0]["verdict"] == "denied" and not harness.run_messages()


def test_input_of_a_stall_is_processed_before_the_timers_due_in_it(harness):
    """Guards against a timeout for a call whose answer arrived in time but was not read until after."""
    client = harness.connect_client()
    client.send(**CALL | {"method": "charge", "left": 2000}, id="1")
    harness.run()
    ((peer, run),) = harness.run_messages()
    harness.edge_process.stall()
    harness.run(1.0)
    send_ended(peer, run)
    harness.run(2.0)
    harness.edge_process.resume()
    harness.run()
    assert [a["verdict"] for a in client.messages("answer")] == ["ok"] and harness.nothing_open()


def test_the_first_stop_finishes_open_calls_and_the_second_aborts_them(harness):
    client, stopped = harness.connect_client(), []
    client.send(**CALL, id="1")
    client.send(**CALL, id="2")
    harness.run()
    runs = harness.run_messages()
    harness.edge.stop(lambda: stopped.append(1))
    harness.run(0.1)
    client.send(**CALL, id="3")
    harness.run()
    assert [(a["id"], a["verdict"]) for a in client.messages("answer")] == [("3", "denied")]
    send_ended(*runs[0])
    harness.run(0.05)
    assert not stopped
    harness.edge.stop(lambda: None)
    harness.run()
    verdicts = sorted(a["verdict"] for a in client.messages("answer"))
    assert stopped == [1] and verdicts == ["aborted", "denied", "ok"]


def test_queued_lines_are_not_sent_once_the_runner_drains(harness):
    """A runner reads slowly and then drains: the lines queued meanwhile must never be sent."""
    harness = EdgeHarness(runners=1)
    link = harness.edge.runners["r0"].state_machine
    harness.edge.runners["r0"].connection.write_blocked(True)
    client = harness.connect_client()
    client.send(**CALL | {"method": "charge"}, id="1")
    harness.run()
    assert len(link.queued) == 1 and not harness.run_messages()
    harness.send_change(2, harness.entry("r0", listing="draining"))
    harness.run()
    assert not link.queued and client.messages("answer")[0]["verdict"] == "denied"
    harness.edge.runners["r0"].connection.write_blocked(False)
    harness.run(1.0)
    assert not harness.run_messages()


def deliver_unread(connection, read):
    """Have the connection's transport deliver unread data by `read`."""
    connection.transport.doRead = read


def test_an_unread_drain_is_processed_before_a_call_is_sent(harness):
    """Guards against sending to a draining runner after a stall, when the call is read before the drain."""
    harness = EdgeHarness(runners=1)
    connection, client = harness.edge.roster_source.connection, harness.connect_client()
    change = {"is": "change", "number": 2, "epoch": "e", "workers": [harness.entry("r0", listing="draining")]}
    deliver_unread(connection, lambda: connection.dataReceived(msgspec.json.encode(change) + b"\n"))
    harness.run(0.1)
    client.send(**CALL, id="1")
    harness.run()
    assert not harness.run_messages() and client.messages("answer")[0]["verdict"] == "denied"
    assert harness.edge.counts["not begun"] == 1


def test_no_retry_is_sent_for_a_client_whose_close_is_unread(harness):
    """Guards against a retry for a client that has gone, when the runner's rejection is read first."""
    client = harness.connect_client()
    client.send(**CALL, id="1")
    harness.run()
    ((peer, run),) = harness.run_messages()
    (connection,) = harness.edge.client_connections
    deliver_unread(connection, lambda: "closed")
    harness.run(0.1)
    send_ended(peer, run, "full")
    harness.run()
    assert (
        len(harness.run_messages()) == 1 and harness.nothing_open() and harness.edge.host.counts["left"] == 1
    )


def test_a_streamed_answer_has_no_deadline_once_it_has_begun(harness):
    streamed = msgspec.structs.replace(harness.edge.deployment.methods["preview"], streamed=True)
    harness = EdgeHarness(methods={"preview": streamed})
    client = harness.connect_client()
    client.send(**CALL | {"left": 500}, id="1")
    harness.run()
    ((peer, run),) = harness.run_messages()
    peer.send(**{"is": "begun", "call": run["call"]})
    peer.send(**{"is": "begun", "call": run["call"]})
    harness.run(5.0)
    assert len(client.messages("begun")) == 1 and client.messages("answer") == []
    send_ended(peer, run)
    peer.send(**{"is": "begun", "call": run["call"]})
    harness.run()
    assert [a["verdict"] for a in client.messages("answer")] == ["ok"] and harness.nothing_open()


def test_edges_receive_gossip_and_ignore_invalid_datagrams():
    harness = EdgeHarness()
    received = []
    harness.edge.host.module.on_gossip = lambda peer, text: received.append((peer, text))
    other = VirtualProcess(harness.reactor, "other")
    sender = Peer([])
    other.listenUDP(7202, sender)
    wrong = (b"noise", b"\xff", b'{"is":"peer","sender":-1,"text":""}')
    for line in (b'{"is":"peer","sender":1,"text":"hi"}', *wrong):
        sender.transport.write(line, ("127.0.0.1", 7201))
    harness.run()
    assert received == [(1, "hi")] and harness.edge.counts["passed over"] == 3
    sent = []
    sender.datagramReceived = lambda data, address: sent.append(msgspec.json.decode(data))
    harness.edge.host.send_gossip(1, "x" * 300)
    harness.edge.host.send_gossip(None, "to all")
    harness.run()
    assert [message["text"] for message in sent] == ["x" * 256, "to all"] and sent[0]["sender"] == 0


def test_a_polled_list_is_requested_again_in_time():
    harness = EdgeHarness(roster={"mode": "asked", "ask_within": 100_000})
    assert harness.rosters[-1].messages("follow")
    before = len(harness.roster.messages("follow"))
    harness.run(16.0)
    assert len(harness.roster.messages("follow")) - before in (3, 4)


def test_probes_and_unloads_reach_the_runner_and_their_results_the_module(harness):
    probed, host = [], harness.edge.host
    host.module.on_health_check = lambda worker, outcome, took, report: probed.append(
        (worker.name, outcome.name, report)
    )
    peer = harness.runners["r0"][-1]
    host.health_check(host.registry.worker("r0"))
    host.unload(host.registry.worker("r0"), host.registry.function("f", 0, 1.0, 1))
    host.health_check(host.registry.worker("nobody"))
    harness.run()
    assert peer.messages("unload")[0]["fn"] == "f"
    peer.send(**{"is": "probed", "probe": peer.messages("probe")[0]["probe"], "report": {"backlog": 2}})
    host.health_check(host.registry.worker("r1"))
    harness.run(1.0)
    assert probed == [("nobody", "UNREACHABLE", {}), ("r0", "OK", {"backlog": 2.0}), ("r1", "TIMED_OUT", {})]


def test_a_burst_after_a_lull_is_not_rejected_as_overload():
    """Guards against rejections because the estimated queueing time is minutes on an idle fleet.

    It arises from dividing the calls in flight by the rate of the last answers, which is low after a lull.
    """
    harness = EdgeHarness(runners=6)
    client = harness.connect_client()
    client.send(**CALL, id="first")
    harness.run()
    send_ended(*harness.run_messages()[0])
    harness.run(9.0)
    for number in range(3):
        client.send(**CALL, id=str(number))
    harness.run()
    assert [a["id"] for a in client.messages("answer") if a["verdict"] == "denied"] == []

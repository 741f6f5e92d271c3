"""The edge on a virtual network: edge cases of clients, runners and roster, message by message."""

from pathlib import Path

import msgspec
import pytest
from twisted.internet.protocol import ClientFactory, Protocol, ServerFactory

from lapistrestle.deployment.load import load_deployment
from lapistrestle.edge.program import Edge
from lapistrestle.standins.virtual import VirtualProcess, VirtualReactor

EXAMPLES = Path(__file__).parent.parent / "examples"


class Peer(Protocol):
    """The other end of a connection, played by the test."""

    def __init__(self, made):
        self.made, self.got, self.rest, self.closed = made, [], b"", False
        made.append(self)

    def dataReceived(self, data):
        *lines, self.rest = (self.rest + data).split(b"\n")
        self.got += [msgspec.json.decode(line) for line in lines]

    def connectionLost(self, reason=None):
        self.closed = True

    def say(self, **message):
        self.raw(msgspec.json.encode(message) + b"\n")

    def raw(self, data):
        self.transport.write(data)

    def heard(self, what):
        return [message for message in self.got if message["is"] == what]


class PeerDialer(ClientFactory):
    def __init__(self, made):
        self.made = made

    def buildProtocol(self, addr):
        return Peer(self.made)


class PeerAcceptor(ServerFactory):
    def __init__(self, made):
        self.made = made

    def buildProtocol(self, addr):
        return Peer(self.made)


class Stage:
    """An edge with a roster and runners that the test plays."""

    def __init__(self, like="thumbs", runners=2, roster=None, methods=None, **listen):
        self.reactor = VirtualReactor()
        self.outside = VirtualProcess(self.reactor, "test")
        self.process = VirtualProcess(self.reactor, "edge")
        self.logs = []
        deployment = load_deployment(EXAMPLES / f"{like}.json5")
        deployment.listen = msgspec.structs.replace(deployment.listen, port=0, **listen)
        deployment.methods |= methods or {}
        deployment.roster = msgspec.structs.replace(deployment.roster, **roster or {})
        self.rosters, self.clients = [], []
        deployment.roster.port = self.outside.listenTCP(0, PeerAcceptor(self.rosters)).port
        self.edge = Edge(self.process, deployment, lambda what, **figures: self.logs.append((what, figures)))
        self.port = self.edge.start()
        self.run()
        self.roster.say(**{"is": "hello", "protocol": "lapistrestle.roster", "version": 1})
        self.run()
        self.runners = {f"r{i}": [] for i in range(runners)}
        self.ports = {n: self.outside.listenTCP(0, PeerAcceptor(p)).port for n, p in self.runners.items()}
        self.list_()
        self.run()
        for name in self.runners:
            self.greet(name)
        self.run()

    @property
    def roster(self):
        return self.rosters[-1]

    def list_(self, number=1, **more):
        entries = [self.entry(name) for name in self.runners]
        self.roster.say(**{"is": "whole", "number": number, "epoch": "e", "workers": entries, **more})

    def entry(self, name, **more):
        return {"name": name, "port": self.ports[name], "start": f"{name}#0", "up_for": 3_600_000, **more}

    def change(self, number, *entries):
        self.roster.say(**{"is": "change", "number": number, "epoch": "e", "workers": list(entries)})

    def greet(self, name, start="#0"):
        hello = {"is": "hello", "protocol": "lapistrestle.runner", "version": 1, "name": name}
        self.runners[name][-1].say(**hello, start=f"{name}{start}", up_for=3_600_000)

    def run(self, seconds=0.01):
        self.reactor.run(self.reactor.seconds() + seconds)

    def client(self):
        self.outside.connectTCP("127.0.0.1", self.port, PeerDialer(self.clients))
        self.run()
        self.clients[-1].say(**{"is": "hello", "protocol": "lapistrestle.client", "version": 1})
        self.run()
        return self.clients[-1]

    def runs(self):
        """The calls that were sent to runners: connection and message."""
        return [(peer, run) for peers in self.runners.values() for peer in peers for run in peer.heard("run")]

    def clean(self):
        return (self.edge.host.open_requests, self.edge.host.worker_calls) == (0, {})


CALL = {"is": "call", "fn": "f", "method": "preview", "left": 2000, "customer": "news", "memory": 100}


@pytest.fixture
def stage():
    return Stage()


def end(peer, run, outcome="ok", **more):
    peer.say(**{"is": "ended", "call": run["call"], "outcome": outcome, **more})


def test_a_call_runs_and_its_body_passes_through_untouched(stage):
    client = stage.client()
    client.say(**CALL, id="1", body={"a": [1, "ü"]}, key="k")
    stage.run()
    ((peer, run),) = stage.runs()
    assert run["body"] == {"a": [1, "ü"]} and run["key"] == "k" and run["rpc"] == "c1/1"
    assert 0 < run["within"] <= 2000
    end(peer, run, body={"b": 2})
    stage.run()
    (answer,) = client.heard("answer")
    assert (answer["id"], answer["verdict"], answer["body"]) == ("1", "ok", {"b": 2})
    assert stage.clean()


def test_the_greeting_has_protocol_and_version_and_a_wrong_one_is_rejected(stage):
    client = stage.client()
    assert client.got[0]["protocol"] == "lapistrestle.client" and client.got[0]["you"] == "c1"
    for hello in ({"protocol": "other", "version": 1}, {"protocol": "lapistrestle.client", "version": 9}):
        stage.outside.connectTCP("127.0.0.1", stage.port, PeerDialer(stage.clients))
        stage.run()
        stage.clients[-1].say(**{"is": "hello", **hello})
        stage.run()
        assert "spoken here" in stage.clients[-1].heard("bye")[0]["why"] and stage.clients[-1].closed


def test_duplicate_and_unexpected_replies_of_a_runner_are_ignored(stage):
    client = stage.client()
    client.say(**CALL, id="1")
    stage.run()
    ((peer, run),) = stage.runs()
    end(peer, run)
    end(peer, run, "error")
    peer.say(**{"is": "begun", "call": run["call"]})
    end(peer, {"call": 12345})
    peer.say(**{"is": "held", "order": 777, "outcome": "ok", "count": 1})
    stage.run()
    assert [a["verdict"] for a in client.heard("answer")] == ["ok"]
    assert stage.edge.host.counts["stray"] == 4 and stage.clean()


def test_another_runner_cannot_end_a_call_that_is_not_its_own(stage):
    client = stage.client()
    client.say(**CALL, id="1")
    stage.run()
    ((peer, run),) = stage.runs()
    other = next(p[-1] for p in stage.runners.values() if p[-1] is not peer)
    end(other, run)
    stage.run()
    assert client.heard("answer") == [] and stage.edge.host.counts["stray"] == 1


@pytest.mark.parametrize(("method", "verdict"), [("charge", "aborted"), ("preview", "ok")])
def test_a_connection_lost_during_a_call_aborts_or_retries_by_its_idempotency(stage, method, verdict):
    client = stage.client()
    client.say(**CALL | {"method": method}, id="1")
    stage.run()
    ((peer, run),) = stage.runs()
    peer.transport.abortConnection()
    stage.run()
    for again, second in stage.runs():
        if again is not peer:
            end(again, second)
    end(peer, run)  # too late: the connection was lost
    stage.run()
    assert [a["verdict"] for a in client.heard("answer")] == [verdict] and stage.clean()


def test_a_call_received_together_with_the_close_of_its_client(stage):
    client = stage.client()
    client.say(**CALL, id="1")
    client.transport.loseConnection()
    stage.run()
    ((peer, run),) = stage.runs()
    assert stage.edge.host.open_requests == 0
    end(peer, run)
    stage.run()
    assert stage.clean() and stage.edge.host.counts["left"] == 1


def test_an_answer_at_the_deadline_is_sent_once(stage):
    client = stage.client()
    client.say(**CALL | {"method": "charge", "left": 500}, id="1")
    stage.run()
    ((peer, run),) = stage.runs()
    began = stage.reactor.seconds()
    stage.reactor.run(began + 0.48 - 0.01)
    end(peer, run)
    stage.run(0.5)
    assert len(client.heard("answer")) == 1 and stage.clean()


def test_a_call_without_time_left_is_denied_at_once(stage):
    client = stage.client()
    client.say(**CALL | {"left": 0}, id="1")
    stage.run()
    assert client.heard("answer")[0]["verdict"] == "denied" and not stage.runs()


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
def test_an_invalid_line_gets_a_fault_and_does_not_affect_other_calls(stage, line, why):
    client = stage.client()
    client.say(**CALL, id="before")
    client.raw(line)
    client.say(**CALL, id="after")
    stage.run()
    (fault,) = client.heard("fault")
    assert why in fault["why"] and (b'"7"' not in line or fault["id"] == "7")
    for peer, run in stage.runs():
        end(peer, run)
    stage.run()
    assert {a["id"] for a in client.heard("answer")} == {"before", "after"} and stage.clean()


def test_the_same_id_twice_has_one_answer_and_one_fault(stage):
    client = stage.client()
    client.say(**CALL, id="1")
    client.say(**CALL, id="1")
    stage.run()
    ((peer, run),) = stage.runs()
    end(peer, run)
    stage.run()
    assert len(client.heard("answer")) == 1 and "is open" in client.heard("fault")[0]["why"]
    client.say(**CALL, id="1")  # the id may be used again
    stage.run()
    assert len(stage.runs()) == 2


def test_a_line_of_ten_megabytes_closes_only_its_connection(stage):
    client, other = stage.client(), stage.client()
    other.say(**CALL, id="1")
    for _ in range(160):
        client.raw(b"x" * 65_536)
    stage.run(0.1)
    assert "longer than" in client.heard("bye")[0]["why"] and client.closed and not other.closed
    assert len(stage.runs()) == 1


def test_ten_thousand_calls_at_once_are_each_answered(stage):
    client = stage.client()
    for number in range(10_000):
        client.raw(msgspec.json.encode(CALL | {"id": str(number)}) + b"\n")
    stage.run(3.0)
    verdicts = [a["verdict"] for a in client.heard("answer")]
    assert len(verdicts) == len({a["id"] for a in client.heard("answer")}) == 10_000
    assert stage.clean() and stage.edge.host.counts["taken"] <= 10_000


def test_calls_beyond_the_limit_of_a_connection_are_denied_at_once():
    stage = Stage(open_calls=3)
    client = stage.client()
    for number in range(5):
        client.say(**CALL, id=str(number))
    stage.run()
    denied = [a["id"] for a in client.heard("answer") if a["verdict"] == "denied"]
    assert denied[-2:] == ["3", "4"] and stage.edge.counts["turned away"] >= 2 - len(denied[:-2])


def test_a_client_that_stops_reading_has_bounded_unsent_bytes_and_is_cut():
    stage = Stage(unsent=100_000)
    client = stage.client()
    client.transport.pauseProducing()
    big = "x" * 20_000
    for number in range(60):
        client.say(**CALL, id=str(number))
    stage.run()
    seen = 0
    for _ in range(20):
        for peer, run in stage.runs()[seen:]:
            seen += 1
            end(peer, run, body=big)
        stage.run()
    waits = [seat.unsent_bytes for seat in stage.edge.client_connections]
    assert not waits or max(waits) <= 100_000
    client.transport.resumeProducing()
    stage.run(3.0)
    assert stage.clean()


def test_a_removed_runner_may_still_finish_its_calls(stage):
    client = stage.client()
    client.say(**CALL, id="1")
    stage.run()
    ((peer, run),) = stage.runs()
    name = next(n for n, peers in stage.runners.items() if peer in peers)
    stage.change(2, stage.entry(name, listing="gone"))
    stage.run(0.2)
    assert not peer.closed
    end(peer, run)
    stage.run()
    assert client.heard("answer")[0]["verdict"] == "ok" and peer.closed
    client.say(**CALL, id="2")
    stage.run()
    assert all(other is not peer for other, r in stage.runs() if r["rpc"] == "c1/2")


def test_the_same_name_on_another_port_is_another_process(stage):
    for name in list(stage.runners):
        old = stage.runners[name][-1]
        stage.ports[name] = stage.outside.listenTCP(0, PeerAcceptor(stage.runners[name])).port
        stage.change(2 + list(stage.runners).index(name), stage.entry(name, start=f"{name}#1", up_for=0))
        stage.run()
        assert old.closed
        stage.greet(name, "#1")
        stage.run()
    assert {worker.booted_at is not None for worker in stage.edge.host.module.endpoints.workers} == {True}
    assert all(
        stage.edge.clock() - worker.booted_at < 1_000 for worker in stage.edge.host.module.endpoints.workers
    )


def test_a_port_at_which_another_runner_answers_is_not_used(stage):
    peers = stage.runners["x"] = []
    stage.ports["x"] = stage.outside.listenTCP(0, PeerAcceptor(peers)).port
    stage.change(2, stage.entry("x"))
    stage.run()
    hello = {"is": "hello", "protocol": "lapistrestle.runner", "version": 1, "name": "somebody else"}
    peers[-1].say(**hello)
    stage.run()
    assert peers[-1].closed and "was expected" in peers[-1].heard("bye")[0]["why"]


def test_a_gap_in_the_list_or_a_garbled_line_requests_the_whole_list(stage):
    stage.change(5, stage.entry("r0"))
    stage.run()
    assert len(stage.roster.heard("ask")) == 1
    stage.roster.raw(b"\xff{\n")
    stage.run()
    assert len(stage.roster.heard("ask")) == 2
    stage.list_(9)
    stage.run()
    assert stage.edge.known_workers.number == 9


def test_an_empty_list_denies_at_once_and_a_stalled_one_changes_nothing(stage):
    client = stage.client()
    stage.run(30.0)
    client.say(**CALL, id="1")
    stage.run()
    assert len(stage.runs()) == 1
    stage.roster.say(**{"is": "whole", "number": 2, "epoch": "e", "workers": []})
    stage.run()
    client.say(**CALL, id="2")
    stage.run()
    assert [a["verdict"] for a in client.heard("answer") if a["id"] == "2"] == ["denied"]


def test_the_roster_is_dialled_again_when_its_connection_breaks(stage):
    stage.roster.transport.abortConnection()
    stage.run(0.3)
    assert len(stage.rosters) == 2
    stage.roster.say(**{"is": "hello", "protocol": "lapistrestle.roster", "version": 1})
    stage.run()
    assert stage.roster.heard("follow")


def test_a_runner_that_never_greets_is_unreachable(stage):
    stage = Stage(runners=1)
    old = stage.runners["r0"][-1]
    old.transport.abortConnection()
    stage.run(0.2)
    client = stage.client()
    client.say(**CALL | {"method": "charge"}, id="1")
    stage.run(1.7)
    assert client.heard("answer")[0]["verdict"] == "denied" and not stage.runs()


def test_input_of_a_stall_is_processed_before_the_timers_due_in_it(stage):
    client = stage.client()
    client.say(**CALL | {"method": "charge", "left": 2000}, id="1")
    stage.run()
    ((peer, run),) = stage.runs()
    stage.process.stall()
    stage.run(1.0)
    end(peer, run)
    stage.run(2.0)
    stage.process.resume()
    stage.run()
    assert [a["verdict"] for a in client.heard("answer")] == ["ok"] and stage.clean()


def test_the_first_stop_finishes_open_calls_and_the_second_aborts_them(stage):
    client, stopped = stage.client(), []
    client.say(**CALL, id="1")
    client.say(**CALL, id="2")
    stage.run()
    runs = stage.runs()
    stage.edge.stop(lambda: stopped.append(1))
    stage.run(0.1)
    client.say(**CALL, id="3")
    stage.run()
    assert [(a["id"], a["verdict"]) for a in client.heard("answer")] == [("3", "denied")]
    end(*runs[0])
    stage.run(0.05)
    assert not stopped
    stage.edge.stop(lambda: None)
    stage.run()
    verdicts = sorted(a["verdict"] for a in client.heard("answer"))
    assert stopped == [1] and verdicts == ["aborted", "denied", "ok"]


def test_queued_lines_are_not_sent_once_the_runner_drains(stage):
    """A runner reads slowly and then drains: the lines queued meanwhile must never be sent."""
    stage = Stage(runners=1)
    link = stage.edge.runners["r0"].state_machine
    stage.edge.runners["r0"].connection.write_blocked(True)
    client = stage.client()
    client.say(**CALL | {"method": "charge"}, id="1")
    stage.run()
    assert len(link.queued) == 1 and not stage.runs()
    stage.change(2, stage.entry("r0", listing="draining"))
    stage.run()
    assert not link.queued and client.heard("answer")[0]["verdict"] == "denied"
    stage.edge.runners["r0"].connection.write_blocked(False)
    stage.run(1.0)
    assert not stage.runs()


def deliver_unread(connection, read):
    """Have the connection's transport deliver unread data by `read`."""
    connection.transport.doRead = read


def test_an_unread_drain_is_processed_before_a_call_is_sent(stage):
    """Guards against sending to a draining runner after a stall, when the call is read before the drain."""
    stage = Stage(runners=1)
    connection, client = stage.edge.roster_source.connection, stage.client()
    change = {"is": "change", "number": 2, "epoch": "e", "workers": [stage.entry("r0", listing="draining")]}
    deliver_unread(connection, lambda: connection.dataReceived(msgspec.json.encode(change) + b"\n"))
    stage.run(0.1)
    client.say(**CALL, id="1")
    stage.run()
    assert not stage.runs() and client.heard("answer")[0]["verdict"] == "denied"
    assert stage.edge.counts["not begun"] == 1


def test_no_retry_is_sent_for_a_client_whose_close_is_unread(stage):
    """Guards against a retry for a client that has gone, when the runner's rejection is read first."""
    client = stage.client()
    client.say(**CALL, id="1")
    stage.run()
    ((peer, run),) = stage.runs()
    (seat,) = stage.edge.client_connections
    deliver_unread(seat, lambda: "closed")
    stage.run(0.1)
    end(peer, run, "full")
    stage.run()
    assert len(stage.runs()) == 1 and stage.clean() and stage.edge.host.counts["left"] == 1


def test_a_streamed_answer_has_no_deadline_once_it_has_begun(stage):
    streamed = msgspec.structs.replace(stage.edge.deployment.methods["preview"], streamed=True)
    stage = Stage(methods={"preview": streamed})
    client = stage.client()
    client.say(**CALL | {"left": 500}, id="1")
    stage.run()
    ((peer, run),) = stage.runs()
    peer.say(**{"is": "begun", "call": run["call"]})
    peer.say(**{"is": "begun", "call": run["call"]})
    stage.run(5.0)
    assert len(client.heard("begun")) == 1 and client.heard("answer") == []
    end(peer, run)
    peer.say(**{"is": "begun", "call": run["call"]})
    stage.run()
    assert [a["verdict"] for a in client.heard("answer")] == ["ok"] and stage.clean()


def test_edges_receive_gossip_and_ignore_invalid_datagrams():
    stage = Stage()
    received = []
    stage.edge.host.module.on_gossip = lambda peer, text: received.append((peer, text))
    other = VirtualProcess(stage.reactor, "other")
    sender = Peer([])
    other.listenUDP(7202, sender)
    wrong = (b"noise", b"\xff", b'{"is":"peer","sender":-1,"text":""}')
    for line in (b'{"is":"peer","sender":1,"text":"hi"}', *wrong):
        sender.transport.write(line, ("127.0.0.1", 7201))
    stage.run()
    assert received == [(1, "hi")] and stage.edge.counts["passed over"] == 3
    heard = []
    sender.datagramReceived = lambda data, address: heard.append(msgspec.json.decode(data))
    stage.edge.host.send_gossip(1, "x" * 300)
    stage.edge.host.send_gossip(None, "to all")
    stage.run()
    assert [h["text"] for h in heard] == ["x" * 256, "to all"] and heard[0]["sender"] == 0


def test_a_polled_list_is_requested_again_in_time():
    stage = Stage(roster={"mode": "asked", "ask_within": 100_000})
    assert stage.rosters[-1].heard("follow")
    before = len(stage.roster.heard("follow"))
    stage.run(16.0)
    assert len(stage.roster.heard("follow")) - before in (3, 4)


def test_probes_and_unloads_reach_the_runner_and_their_results_the_module(stage):
    probed, host = [], stage.edge.host
    host.module.on_health_check = lambda worker, outcome, took, report: probed.append(
        (worker.name, outcome.name, report)
    )
    peer = stage.runners["r0"][-1]
    host.health_check(host.registry.worker("r0"))
    host.unload(host.registry.worker("r0"), host.registry.function("f", 0, 1.0, 1))
    host.health_check(host.registry.worker("nobody"))
    stage.run()
    assert peer.heard("unload")[0]["fn"] == "f"
    peer.say(**{"is": "probed", "probe": peer.heard("probe")[0]["probe"], "report": {"backlog": 2}})
    host.health_check(host.registry.worker("r1"))
    stage.run(1.0)
    assert probed == [("nobody", "UNREACHABLE", {}), ("r0", "OK", {"backlog": 2.0}), ("r1", "TIMED_OUT", {})]


def test_a_burst_after_a_lull_is_not_rejected_as_overload():
    """Guards against an estimate of minutes of queueing on an idle fleet.

    It arises from dividing the calls in flight by the rate of the last answers, which is low after a lull.
    """
    stage = Stage(runners=6)
    client = stage.client()
    client.say(**CALL, id="first")
    stage.run()
    end(*stage.runs()[0])
    stage.run(9.0)
    for number in range(3):
        client.say(**CALL, id=str(number))
    stage.run()
    assert [a["id"] for a in client.heard("answer") if a["verdict"] == "denied"] == []

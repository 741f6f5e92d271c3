"""An edge with a directory on a virtual network: look-ups, waiting requests, drains and removals."""

import subprocess
import sys

import msgspec
import pytest
from test_edge import CALL, EXAMPLES, EdgeHarness, PeerAcceptor, send_ended

from lapistrestle.deployment.load import load_deployment
from lapistrestle.deployment.schema import Directory, DirectoryCopy
from lapistrestle.edge.program import Edge
from lapistrestle.policy.types import EndpointState
from lapistrestle.standins.virtual import VirtualProcess, VirtualReactor
from lapistrestle.wire import directory as wire
from lapistrestle.wire.messages import RosterEntry, encode

HELLO = {"is": "hello", "protocol": "lapistrestle.directory", "version": 1, "name": "holder"}
LEASE = 30_000  # ticks of 0.1 ms
LOOKUP = 0.25  # seconds, the default timeout of a look-up
UPTIME = 3_600  # seconds


class DirectoryHarness(EdgeHarness):
    """An edge with a directory of one shard; the test acts as its replicas, runners and clients."""

    def __init__(self, example="thumbs", runners=3, replicas=2, allowed=None, **directory):
        self.reactor = VirtualReactor()
        self.test_process = VirtualProcess(self.reactor, "test")
        self.edge_process = VirtualProcess(self.reactor, "edge")
        self.logs = []
        deployment = load_deployment(EXAMPLES / f"{example}.json5")
        deployment.listen = msgspec.structs.replace(deployment.listen, port=0)
        deployment.allowed = msgspec.structs.replace(deployment.allowed, **allowed or {})
        self.rosters, self.clients = [], []
        deployment.roster.port = self.test_process.listenTCP(0, PeerAcceptor(self.rosters)).port
        self.replicas = [[] for _ in range(replicas)]  # connections to each replica
        ports = [
            self.test_process.listenTCP(0, PeerAcceptor(connections)).port for connections in self.replicas
        ]
        shards = [[DirectoryCopy(port=port) for port in ports]]
        deployment.directory = Directory(shards=shards, **directory)
        self.edge = Edge(
            self.edge_process, deployment, lambda what, **figures: self.logs.append((what, figures))
        )
        self.port = self.edge.start()
        self.runners = {f"r{i}": [] for i in range(runners)}
        self.ports = {
            n: self.test_process.listenTCP(0, PeerAcceptor(p)).port for n, p in self.runners.items()
        }
        self.number, self.sequence, self.snapshots = 1, {}, 0
        self.run()

    @property
    def holders(self):
        """Open connections to holders."""
        return [peer for connections in self.replicas for peer in connections if not peer.closed]

    def entry(self, name, **more):
        fields = {"port": self.ports[name], "start": f"{name}#0", "up_for": UPTIME * 1000.0, **more}
        return wire.compact(RosterEntry(name, **fields))

    def send_holder_hellos(self):
        for peer in self.holders:
            if peer not in self.sequence:
                peer.send(**HELLO)
                self.sequence[peer] = 0
        self.run(0.002)

    def watch_messages(self):
        """The `watch` messages received on open connections, each with its connection."""
        return [(peer, watch) for peer in self.holders for watch in peer.messages("watch")]

    def revision(self):
        return wire.Revision("e1", self.number)

    def next_sequence(self, peer):
        self.sequence[peer] += 1
        return self.sequence[peer]

    def send(self, peer, message):
        peer.send_raw(encode(message) + b"\n")

    def snapshot(self, peer, watch, *entries, complete=True):
        sequence = self.next_sequence(peer)
        message = wire.Snapshot(watch["id"], 1, self.revision(), sequence, list(entries), complete, LEASE)
        self.send(peer, message)

    def update(self, peer, *entries, gone=(), changes=()):
        self.number += 1
        sequence = self.next_sequence(peer)
        message = wire.Update(sequence, self.revision(), list(entries), list(gone), list(changes))
        self.send(peer, message)

    def answer_renewal(self, peer, **sums):
        """Answer the latest renewal."""
        if renewals := peer.messages("renew"):
            fields = wire.RegionSums(**sums) if sums else None
            sequence = self.sequence[peer]
            self.send(
                peer, wire.Renewed(renewals[-1]["asked"], LEASE, sequence, self.revision(), sums=fields)
            )

    def send_call(self, client, id="1", **more):
        client.send(**CALL | {"id": id, **more})
        self.run(0.002)

    def answer_watch(self, *names, **more):
        self.send_holder_hellos()
        peer, watch = self.watch_messages()[-1]
        self.snapshot(peer, watch, *[self.entry(n) for n in names or self.runners], **more)
        self.run(0.002)
        return peer, watch

    def look_up(self, client, *names, **more):
        """Send a call and answer the watch that it leads to. Returns the connection to the holder."""
        self.send_call(client, **more)
        peer, _ = self.answer_watch(*names)
        for name in names or self.runners:
            if self.runners[name]:
                self.send_hello(name)
        self.run(0.002)
        return peer


@pytest.fixture
def harness():
    return DirectoryHarness()


def verdicts(client):
    return [(a["id"], a["verdict"]) for a in client.messages("answer")]


def test_no_holder_is_asked_before_the_first_call_and_the_roster_never(harness):
    harness.run(5.0)
    assert not harness.rosters and not any(harness.replicas)


def test_the_first_call_waits_for_its_prefix_and_is_placed_on_the_first(harness):
    client = harness.connect_client()
    harness.send_call(client)
    assert not harness.run_messages() and not verdicts(client)
    peer = harness.look_up(client, "r1", "r0", id="2")
    ((_, first), (_, second)) = harness.run_messages()
    assert {first["rpc"], second["rpc"]} == {"c1/1", "c1/2"}
    assert harness.runners["r1"] and [w["function"] for w in peer.messages("watch")] == ["f"]
    for runner, run in harness.run_messages():
        send_ended(runner, run)
    harness.run()
    assert verdicts(client) == [("1", "ok"), ("2", "ok")] and harness.nothing_open()
    assert set(harness.edge.known_workers.known) == {"r0", "r1"}


def test_many_calls_of_one_function_share_one_look_up(harness):
    client = harness.connect_client()
    for number in range(20):
        harness.send_call(client, id=str(number))
    harness.answer_watch()
    assert len(harness.watch_messages()) == 1 and not harness.edge.directory.waiting_requests
    assert harness.edge.host.open_requests == 20
    harness.send_call(client, id="again")
    assert len(harness.watch_messages()) == 1


def test_a_look_up_without_answer_denies_the_call_within_its_timeout():
    harness = DirectoryHarness(allowed={"retry_after": 20_000})
    client = harness.connect_client()
    harness.send_call(client)
    harness.send_holder_hellos()
    harness.run(LOOKUP + 0.05)
    (answer,) = client.messages("answer")
    assert answer["verdict"] == "denied" and 0 < answer["come_back"] <= 2_000
    assert harness.nothing_open() and not harness.edge.directory.waiting_requests


def test_a_call_is_denied_at_once_if_no_holder_can_be_reached():
    harness = DirectoryHarness(replicas=1)
    client = harness.connect_client()
    harness.test_process.listeners[1].close()  # the holder's
    harness.send_call(client)
    harness.run(LOOKUP + 0.05)
    assert verdicts(client) == [("1", "denied")]
    harness.send_call(client, id="2")
    assert verdicts(client) == [("1", "denied"), ("2", "denied")] and harness.nothing_open()


def test_an_rpc_does_not_wait_past_its_own_deadline(harness):
    client = harness.connect_client()
    harness.send_call(client, left=120)
    harness.send_holder_hellos()
    harness.run(0.12)
    assert verdicts(client) == [("1", "denied")] and harness.nothing_open()


def test_the_waiting_calls_of_a_disconnected_client_are_dropped(harness):
    client, other = harness.connect_client(), harness.connect_client()
    harness.send_call(client, id="1")
    harness.send_call(other, id="1")
    harness.send_call(other, id="2")
    client.transport.loseConnection()
    other.send(**{"is": "leave", "id": "2"})
    harness.run(0.002)
    assert len(harness.edge.directory.waiting_requests) == 1
    harness.answer_watch()
    harness.run(0.01)
    for name in harness.runners:
        if harness.runners[name]:
            harness.send_hello(name)
    harness.run()
    ((_, run),) = harness.run_messages()
    assert run["rpc"] == "c2/1"


def test_a_drain_reported_by_the_holder_stops_new_work_and_discards_queued_lines(harness):
    client = harness.connect_client()
    harness.send_call(client)
    peer, _ = harness.answer_watch("r0", "r1")
    assert harness.edge.host.worker_calls  # the line is queued until the runner sends hello
    harness.update(peer, harness.entry("r0", listing="draining"))
    harness.run(0.002)
    for name in ("r0", "r1"):
        if harness.runners[name]:
            harness.send_hello(name)
    harness.run()
    assert [run["rpc"] for p, run in harness.run_messages() if p in harness.runners["r1"]] == ["c1/1"]
    assert not [run for p, run in harness.run_messages() if p in harness.runners["r0"]]


def test_a_removed_instance_gets_nothing_new_and_may_finish_its_calls(harness):
    client = harness.connect_client()
    peer = harness.look_up(client, "r0", "r1")
    ((runner, run),) = harness.run_messages()
    harness.update(peer, gone=["r0"], changes=[wire.PrefixChange(1, 1, ["r0"])])
    harness.run(0.002)
    assert "r0" not in harness.edge.known_workers.known
    send_ended(runner, run)
    harness.run()
    assert verdicts(client) == [("1", "ok")]
    harness.send_call(client, id="2")
    harness.send_hello("r1")
    harness.run()
    assert [run["rpc"] for p, run in harness.run_messages() if p in harness.runners["r1"]] == ["c1/2"]


def test_a_runner_s_own_notice_of_a_drain_counts(harness):
    client = harness.connect_client()
    harness.look_up(client, "r0", "r1")
    harness.runners["r0"][-1].send(**{"is": "draining"})
    harness.run(0.002)
    assert harness.edge.host.registry.workers["r0"].endpoint_state is EndpointState.DRAINING


def test_an_instance_replaced_at_its_address_is_another_process(harness):
    client = harness.connect_client()
    peer = harness.look_up(client, "r0", "r1")
    before = harness.edge.host.registry.workers["r0"].booted_at
    harness.update(peer, harness.entry("r0", start="r0#1", up_for=100))
    harness.run(0.002)
    worker = harness.edge.host.registry.workers["r0"]
    assert worker.booted_at > before and harness.edge.known_workers.known["r0"].start == "r0#1"


def test_an_instance_that_comes_back_is_in_the_prefix_again(harness):
    client = harness.connect_client()
    peer = harness.look_up(client, "r0", "r1")
    for runner, run in harness.run_messages():
        send_ended(runner, run)
    harness.run()
    harness.update(peer, gone=["r0"])
    harness.run(0.002)
    harness.update(peer, harness.entry("r0", start="r0#1", up_for=100))
    harness.run(0.002)
    workers = harness.edge.host.registry.workers
    assert harness.edge.host.registry.functions["f"].prefix == [workers["r0"], workers["r1"]]
    assert workers["r0"].endpoint_state is EndpointState.SERVING


def test_the_watch_of_an_unused_function_ends_and_its_instances_are_dropped():
    harness = DirectoryHarness(idle=40_000)
    client = harness.connect_client()
    harness.look_up(client, "r0", "r1")
    for runner, run in harness.run_messages():
        send_ended(runner, run)
    for _ in range(60):
        harness.run(0.1)
        for peer in harness.holders:
            harness.answer_renewal(peer)
    assert not harness.edge.known_workers.known and not harness.edge.runners
    harness.send_call(client, id="2")
    assert harness.edge.directory.waiting_requests
    harness.answer_watch("r0", "r1")
    assert set(harness.edge.known_workers.known) == {"r0", "r1"}


def test_an_instance_in_slow_start_stays_in_the_module_without_a_prefix(harness):
    """Otherwise it would be sent more than it can take in slow start, once it is in a prefix again."""
    client, ramp = harness.connect_client(), harness.edge.settings.slow_start_duration
    assert ramp
    harness.send_call(client)
    harness.send_holder_hellos()
    peer, watch = harness.watch_messages()[-1]
    harness.snapshot(peer, watch, harness.entry("r0"), harness.entry("r1", up_for=10))
    harness.run(0.002)
    cold = harness.edge.host.registry.workers["r1"]
    cold.sent_in_slow_start.append((harness.edge.clock(), 5.0))
    harness.update(peer, changes=[wire.PrefixChange(1, 1, ["r1"])])
    harness.run(0.002)
    assert "r1" not in harness.edge.known_workers.known and "r1" not in harness.edge.runners
    assert cold.endpoint_state is EndpointState.DRAINING
    changes = [wire.PrefixChange(1, 2, inserted=[wire.PlacedInstance(1, "r1")])]
    harness.update(peer, harness.entry("r1", up_for=20), changes=changes)
    harness.run(0.002)
    assert (
        harness.edge.host.registry.workers["r1"] is cold
        and cold.sent_in_slow_start
        and cold.endpoint_state is EndpointState.SERVING
    )
    harness.update(peer, changes=[wire.PrefixChange(1, 1, ["r1"])])
    for _ in range(ramp // 1_000 + 2):
        harness.run(0.1)
        harness.answer_renewal(peer)
    assert "r1" not in harness.edge.host.registry.workers or cold.endpoint_state is EndpointState.REMOVED


def test_a_longer_prefix_is_requested_when_the_known_one_is_used_up(harness):
    client = harness.connect_client()
    harness.send_call(client)
    harness.answer_watch("r0", complete=False)
    function = harness.edge.host.registry.functions["f"]
    harness.edge.extend_prefix(function)
    harness.run(0.01)
    counts = [watch["count"] for _, watch in harness.watch_messages()]
    assert len(counts) == 2 and counts[1] > counts[0]
    peer, watch = harness.watch_messages()[-1]
    harness.snapshot(peer, watch, *[harness.entry(name) for name in harness.runners])
    harness.run(0.002)
    assert [worker.name for worker in function.prefix] == list(harness.runners)


def test_a_worker_is_dialled_on_first_use_and_closed_with_its_prefix(harness):
    """Guards against dialling every worker of every prefix: seven connections for a function called once."""
    client = harness.connect_client()
    peer = harness.look_up(client, "r0", "r1", "r2")
    ((_, run),) = harness.run_messages()
    (used,) = (name for name, connections in harness.runners.items() if connections)
    assert set(harness.edge.runners) == {used} and len(harness.edge.known_workers.known) == 3
    send_ended(harness.run_messages()[0][0], run)
    harness.run()
    assert verdicts(client) == [("1", "ok")]
    harness.update(peer, changes=[wire.PrefixChange(1, 2, [used])])
    harness.run()
    assert not harness.edge.runners and harness.runners[used][-1].closed


def test_a_drain_in_the_hello_comes_before_the_first_line_is_sent(harness):
    client = harness.connect_client()
    harness.send_call(client)
    harness.answer_watch()
    (first,) = (name for name, connections in harness.runners.items() if connections)
    hello = {"is": "hello", "protocol": "lapistrestle.runner", "version": 1, "name": first}
    harness.runners[first][-1].send(**hello, start=f"{first}#0", up_for=UPTIME * 1000.0, draining=True)
    harness.run(0.002)
    assert not harness.run_messages()
    (other,) = (name for name, peers in harness.runners.items() if peers and name != first)
    harness.send_hello(other)
    harness.run(0.002)
    ((peer, run),) = harness.run_messages()
    assert peer is harness.runners[other][-1]
    send_ended(peer, run)
    harness.run()
    assert verdicts(client) == [("1", "ok")] and harness.nothing_open()


def test_a_further_extension_of_the_prefix_waits_for_the_previous_one(harness):
    client = harness.connect_client()
    harness.send_call(client)
    harness.answer_watch("r0", complete=False)
    function = harness.edge.host.registry.functions["f"]

    def ask_for_more():
        harness.edge.extend_prefix(function)
        harness.run(0.01)
        peer, watch = harness.watch_messages()[-1]
        return peer, watch

    peer, watch = ask_for_more()
    harness.snapshot(peer, watch, harness.entry("r0"), harness.entry("r1"), complete=False)
    harness.run(0.01)
    assert ask_for_more()[1] == watch  # 0.02 s after the first
    harness.run(0.2)
    harness.answer_renewal(peer)
    harness.run(0.2)
    harness.answer_renewal(peer)
    harness.run(0.1)
    assert ask_for_more()[1]["count"] == 2 * watch["count"]


def test_the_module_receives_the_region_s_sums(harness):
    client = harness.connect_client()
    peer = harness.look_up(client, "r0")
    harness.run(0.25)
    harness.answer_renewal(peer, size=400.0, warm=300.0, serving=100, instances=110)
    harness.run(0.002)
    module = harness.edge.host.module
    assert (module.fleet.region.size, module.fleet.region.count) == (400.0, 110)
    assert 300.0 <= module.slow_start.warm_size() < 310.0


def test_an_operator_can_query_the_state_of_the_directory(harness):
    client = harness.connect_client()
    harness.look_up(client, "r0", "r1")
    client.send(**{"is": "look", "what": "directory"})
    harness.run()
    (shown,) = client.messages("shown")
    assert shown["body"]["instances"] == 2 and shown["body"]["shards reached"] == 1


def test_an_edge_without_a_directory_answers_with_a_fault():
    harness = EdgeHarness()
    client = harness.connect_client()
    client.send(**{"is": "look", "what": "directory"})
    harness.run()
    assert "directory" in client.messages("fault")[0]["why"]


def test_stopping_answers_waiting_calls(harness):
    client = harness.connect_client()
    harness.send_call(client)
    stopped = []
    harness.edge.stop(lambda: stopped.append(True))
    harness.run(LOOKUP + 0.1)
    assert verdicts(client) == [("1", "denied")] and stopped and not harness.holders


IMPORT_CHECK = """
import sys
{imports}
wrong = [name for name in sys.modules if name.startswith("lapistrestle.directory")
         or name in ("lapistrestle.edge.directory", "lapistrestle.wire.directory")]
assert not wrong, wrong
"""


@pytest.mark.parametrize(
    "imports",
    [
        "import lapistrestle.edge.program",
        "import lapistrestle.node.program, lapistrestle.node.__main__",
        "from test_edge import EdgeHarness; EdgeHarness()",
    ],
)
def test_without_a_directory_nothing_of_it_is_imported(imports):
    """Runs in a process of its own, as this one has imported the directory already."""
    done = subprocess.run(
        [sys.executable, "-c", IMPORT_CHECK.format(imports=imports)],
        cwd=EXAMPLES.parent / "tests",
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    assert done.returncode == 0, done.stderr


def test_a_call_that_waited_counts_from_its_arrival(harness):
    """The time of arrival counts for the soft deadline and for the preload budget, not that of the
    look-up's end.
    """
    client, module = harness.connect_client(), harness.edge.host.module
    harness.look_up(client, fn="known")
    module.preload_budget.requests.clear()
    arrived_at = harness.edge.clock()
    harness.send_call(client, id="2", fn="f")
    harness.run(0.2)
    harness.send_call(client, id="3", fn="known")
    peer, watch = harness.watch_messages()[-1]
    harness.snapshot(peer, watch, harness.entry("r0"))
    harness.run(0.002)
    first, second = module.preload_budget.requests
    assert arrived_at <= first < arrived_at + 20 and second - first >= 1_900
    (waited,) = [p for p in harness.edge.front.open_requests() if p.function.name == "f"]
    assert waited.accepted_at == first and waited.attempts

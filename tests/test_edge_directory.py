"""An edge with a directory on a virtual network: look-ups, waiting requests, drains and removals."""

import subprocess
import sys

import msgspec
import pytest
from test_edge import CALL, EXAMPLES, PeerAcceptor, Stage, end

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
SECONDS_UP = 3_600


class DirectoryStage(Stage):
    """An edge, two replicas of its directory's only shard, and runners; the test plays all but the edge."""

    def __init__(self, like="thumbs", runners=3, copies=2, allowed=None, **directory):
        self.reactor = VirtualReactor()
        self.outside = VirtualProcess(self.reactor, "test")
        self.process = VirtualProcess(self.reactor, "edge")
        self.logs = []
        deployment = load_deployment(EXAMPLES / f"{like}.json5")
        deployment.listen = msgspec.structs.replace(deployment.listen, port=0)
        deployment.allowed = msgspec.structs.replace(deployment.allowed, **allowed or {})
        self.rosters, self.clients = [], []
        deployment.roster.port = self.outside.listenTCP(0, PeerAcceptor(self.rosters)).port
        self.copies = [[] for _ in range(copies)]  # connections to each replica
        ports = [self.outside.listenTCP(0, PeerAcceptor(made)).port for made in self.copies]
        shards = [[DirectoryCopy(port=port) for port in ports]]
        deployment.directory = Directory(shards=shards, **directory)
        self.edge = Edge(self.process, deployment, lambda what, **figures: self.logs.append((what, figures)))
        self.port = self.edge.start()
        self.runners = {f"r{i}": [] for i in range(runners)}
        self.ports = {n: self.outside.listenTCP(0, PeerAcceptor(p)).port for n, p in self.runners.items()}
        self.number, self.sequence, self.snapshots = 1, {}, 0
        self.run()

    @property
    def holders(self):
        """Open connections to holders."""
        return [peer for made in self.copies for peer in made if not peer.closed]

    def entry(self, name, **more):
        fields = {"port": self.ports[name], "start": f"{name}#0", "up_for": SECONDS_UP * 1000.0, **more}
        return wire.compact(RosterEntry(name, **fields))

    def greet_holders(self):
        for peer in self.holders:
            if peer not in self.sequence:
                peer.say(**HELLO)
                self.sequence[peer] = 0
        self.run(0.002)

    def watches(self):
        """The watches on open connections: connection and message."""
        return [(peer, watch) for peer in self.holders for watch in peer.heard("watch")]

    def revision(self):
        return wire.Revision("e1", self.number)

    def next_sequence(self, peer):
        self.sequence[peer] += 1
        return self.sequence[peer]

    def send(self, peer, message):
        peer.raw(encode(message) + b"\n")

    def snapshot(self, peer, watch, *entries, complete=True):
        sequence = self.next_sequence(peer)
        made = wire.Snapshot(watch["id"], 1, self.revision(), sequence, list(entries), complete, LEASE)
        self.send(peer, made)

    def update(self, peer, *entries, gone=(), changes=()):
        self.number += 1
        sequence = self.next_sequence(peer)
        made = wire.Update(sequence, self.revision(), list(entries), list(gone), list(changes))
        self.send(peer, made)

    def renew(self, peer, **sums):
        """Answer the latest renewal."""
        if asked := peer.heard("renew"):
            fields = wire.RegionSums(**sums) if sums else None
            sequence = self.sequence[peer]
            self.send(peer, wire.Renewed(asked[-1]["asked"], LEASE, sequence, self.revision(), sums=fields))

    def call(self, client, id="1", **more):
        client.say(**CALL | {"id": id, **more})
        self.run(0.002)

    def answer_watch(self, *names, **more):
        self.greet_holders()
        peer, watch = self.watches()[-1]
        self.snapshot(peer, watch, *[self.entry(n) for n in names or self.runners], **more)
        self.run(0.002)
        return peer, watch

    def look_up(self, client, *names, **more):
        """Make a first call and answer its look-up. Returns the connection to the holder."""
        self.call(client, **more)
        peer, _ = self.answer_watch(*names)
        for name in names or self.runners:
            if self.runners[name]:
                self.greet(name)
        self.run(0.002)
        return peer


@pytest.fixture
def stage():
    return DirectoryStage()


def verdicts(client):
    return [(a["id"], a["verdict"]) for a in client.heard("answer")]


def test_no_holder_is_asked_before_the_first_call_and_the_roster_never(stage):
    stage.run(5.0)
    assert not stage.rosters and not any(stage.copies)


def test_the_first_call_waits_for_its_prefix_and_is_placed_on_the_first(stage):
    client = stage.client()
    stage.call(client)
    assert not stage.runs() and not verdicts(client)
    peer = stage.look_up(client, "r1", "r0", id="2")
    ((_, first), (_, second)) = stage.runs()
    assert {first["rpc"], second["rpc"]} == {"c1/1", "c1/2"}
    assert stage.runners["r1"] and [w["function"] for w in peer.heard("watch")] == ["f"]
    for runner, run in stage.runs():
        end(runner, run)
    stage.run()
    assert verdicts(client) == [("1", "ok"), ("2", "ok")] and stage.clean()
    assert set(stage.edge.known_workers.known) == {"r0", "r1"}


def test_many_calls_of_one_function_share_one_look_up(stage):
    client = stage.client()
    for number in range(20):
        stage.call(client, id=str(number))
    stage.answer_watch()
    assert len(stage.watches()) == 1 and not stage.edge.directory.waiting_requests
    assert stage.edge.host.open_requests == 20
    stage.call(client, id="again")
    assert len(stage.watches()) == 1


def test_a_look_up_without_answer_denies_the_call_within_its_timeout():
    stage = DirectoryStage(allowed={"retry_after": 20_000})
    client = stage.client()
    stage.call(client)
    stage.greet_holders()
    stage.run(LOOKUP + 0.05)
    (answer,) = client.heard("answer")
    assert answer["verdict"] == "denied" and 0 < answer["come_back"] <= 2_000
    assert stage.clean() and not stage.edge.directory.waiting_requests


def test_a_call_is_denied_at_once_if_no_holder_can_be_reached():
    stage = DirectoryStage(copies=1)
    client = stage.client()
    stage.outside.listeners[1].close()  # the holder's
    stage.call(client)
    stage.run(LOOKUP + 0.05)
    assert verdicts(client) == [("1", "denied")]
    stage.call(client, id="2")
    assert verdicts(client) == [("1", "denied"), ("2", "denied")] and stage.clean()


def test_an_rpc_does_not_wait_past_its_own_deadline(stage):
    client = stage.client()
    stage.call(client, left=120)
    stage.greet_holders()
    stage.run(0.12)
    assert verdicts(client) == [("1", "denied")] and stage.clean()


def test_the_waiting_calls_of_a_disconnected_client_are_dropped(stage):
    client, other = stage.client(), stage.client()
    stage.call(client, id="1")
    stage.call(other, id="1")
    stage.call(other, id="2")
    client.transport.loseConnection()
    other.say(**{"is": "leave", "id": "2"})
    stage.run(0.002)
    assert len(stage.edge.directory.waiting_requests) == 1
    stage.answer_watch()
    stage.run(0.01)
    for name in stage.runners:
        if stage.runners[name]:
            stage.greet(name)
    stage.run()
    ((_, run),) = stage.runs()
    assert run["rpc"] == "c2/1"


def test_a_drain_reported_by_the_holder_stops_new_work_and_discards_queued_lines(stage):
    client = stage.client()
    stage.call(client)
    peer, _ = stage.answer_watch("r0", "r1")
    assert stage.edge.host.worker_calls  # the line is queued until the runner greets
    stage.update(peer, stage.entry("r0", listing="draining"))
    stage.run(0.002)
    for name in ("r0", "r1"):
        if stage.runners[name]:
            stage.greet(name)
    stage.run()
    assert [run["rpc"] for p, run in stage.runs() if p in stage.runners["r1"]] == ["c1/1"]
    assert not [run for p, run in stage.runs() if p in stage.runners["r0"]]


def test_a_removed_instance_gets_nothing_new_and_may_finish_its_calls(stage):
    client = stage.client()
    peer = stage.look_up(client, "r0", "r1")
    ((runner, run),) = stage.runs()
    stage.update(peer, gone=["r0"], changes=[wire.PrefixChange(1, 1, ["r0"])])
    stage.run(0.002)
    assert "r0" not in stage.edge.known_workers.known
    end(runner, run)
    stage.run()
    assert verdicts(client) == [("1", "ok")]
    stage.call(client, id="2")
    stage.greet("r1")
    stage.run()
    assert [run["rpc"] for p, run in stage.runs() if p in stage.runners["r1"]] == ["c1/2"]


def test_a_runner_s_own_notice_of_a_drain_counts(stage):
    client = stage.client()
    stage.look_up(client, "r0", "r1")
    stage.runners["r0"][-1].say(**{"is": "draining"})
    stage.run(0.002)
    assert stage.edge.host.registry.workers["r0"].endpoint_state is EndpointState.DRAINING


def test_an_instance_replaced_at_its_address_is_another_process(stage):
    client = stage.client()
    peer = stage.look_up(client, "r0", "r1")
    before = stage.edge.host.registry.workers["r0"].booted_at
    stage.update(peer, stage.entry("r0", start="r0#1", up_for=100))
    stage.run(0.002)
    worker = stage.edge.host.registry.workers["r0"]
    assert worker.booted_at > before and stage.edge.known_workers.known["r0"].start == "r0#1"


def test_an_instance_that_comes_back_is_in_the_prefix_again(stage):
    client = stage.client()
    peer = stage.look_up(client, "r0", "r1")
    for runner, run in stage.runs():
        end(runner, run)
    stage.run()
    stage.update(peer, gone=["r0"])
    stage.run(0.002)
    stage.update(peer, stage.entry("r0", start="r0#1", up_for=100))
    stage.run(0.002)
    workers = stage.edge.host.registry.workers
    assert stage.edge.host.registry.functions["f"].prefix == [workers["r0"], workers["r1"]]
    assert workers["r0"].endpoint_state is EndpointState.SERVING


def test_the_watch_of_an_unused_function_ends_and_its_instances_are_dropped():
    stage = DirectoryStage(idle=40_000)
    client = stage.client()
    stage.look_up(client, "r0", "r1")
    for runner, run in stage.runs():
        end(runner, run)
    for _ in range(60):
        stage.run(0.1)
        for peer in stage.holders:
            stage.renew(peer)
    assert not stage.edge.known_workers.known and not stage.edge.runners
    stage.call(client, id="2")
    assert stage.edge.directory.waiting_requests
    stage.answer_watch("r0", "r1")
    assert set(stage.edge.known_workers.known) == {"r0", "r1"}


def test_an_instance_in_slow_start_stays_in_the_module_without_a_prefix(stage):
    """Otherwise it would be sent more than it can take in slow start, once it is in a prefix again."""
    client, ramp = stage.client(), stage.edge.settings.slow_start_duration
    assert ramp
    stage.call(client)
    stage.greet_holders()
    peer, watch = stage.watches()[-1]
    stage.snapshot(peer, watch, stage.entry("r0"), stage.entry("r1", up_for=10))
    stage.run(0.002)
    cold = stage.edge.host.registry.workers["r1"]
    cold.sent_in_slow_start.append((stage.edge.clock(), 5.0))
    stage.update(peer, changes=[wire.PrefixChange(1, 1, ["r1"])])
    stage.run(0.002)
    assert "r1" not in stage.edge.known_workers.known and "r1" not in stage.edge.runners
    assert cold.endpoint_state is EndpointState.DRAINING
    changes = [wire.PrefixChange(1, 2, inserted=[wire.PlacedInstance(1, "r1")])]
    stage.update(peer, stage.entry("r1", up_for=20), changes=changes)
    stage.run(0.002)
    assert (
        stage.edge.host.registry.workers["r1"] is cold
        and cold.sent_in_slow_start
        and cold.endpoint_state is EndpointState.SERVING
    )
    stage.update(peer, changes=[wire.PrefixChange(1, 1, ["r1"])])
    for _ in range(ramp // 1_000 + 2):
        stage.run(0.1)
        stage.renew(peer)
    assert "r1" not in stage.edge.host.registry.workers or cold.endpoint_state is EndpointState.REMOVED


def test_a_longer_prefix_is_requested_when_the_known_one_is_used_up(stage):
    client = stage.client()
    stage.call(client)
    stage.answer_watch("r0", complete=False)
    function = stage.edge.host.registry.functions["f"]
    stage.edge.extend_prefix(function)
    stage.run(0.01)
    counts = [watch["count"] for _, watch in stage.watches()]
    assert len(counts) == 2 and counts[1] > counts[0]
    peer, watch = stage.watches()[-1]
    stage.snapshot(peer, watch, *[stage.entry(name) for name in stage.runners])
    stage.run(0.002)
    assert [worker.name for worker in function.prefix] == list(stage.runners)


def test_a_worker_is_dialled_on_first_use_and_closed_with_its_prefix(stage):
    """Guards against dialling every worker of every prefix: seven connections for a function called once."""
    client = stage.client()
    peer = stage.look_up(client, "r0", "r1", "r2")
    ((_, run),) = stage.runs()
    (used,) = (name for name, connections in stage.runners.items() if connections)
    assert set(stage.edge.runners) == {used} and len(stage.edge.known_workers.known) == 3
    end(stage.runs()[0][0], run)
    stage.run()
    assert verdicts(client) == [("1", "ok")]
    stage.update(peer, changes=[wire.PrefixChange(1, 2, [used])])
    stage.run()
    assert not stage.edge.runners and stage.runners[used][-1].closed


def test_a_drain_in_the_greeting_comes_before_the_first_line_is_sent(stage):
    client = stage.client()
    stage.call(client)
    stage.answer_watch()
    (first,) = (name for name, connections in stage.runners.items() if connections)
    hello = {"is": "hello", "protocol": "lapistrestle.runner", "version": 1, "name": first}
    stage.runners[first][-1].say(**hello, start=f"{first}#0", up_for=SECONDS_UP * 1000.0, draining=True)
    stage.run(0.002)
    assert not stage.runs()
    (other,) = (name for name, peers in stage.runners.items() if peers and name != first)
    stage.greet(other)
    stage.run(0.002)
    ((peer, run),) = stage.runs()
    assert peer is stage.runners[other][-1]
    end(peer, run)
    stage.run()
    assert verdicts(client) == [("1", "ok")] and stage.clean()


def test_a_further_extension_of_the_prefix_waits_for_the_previous_one(stage):
    client = stage.client()
    stage.call(client)
    stage.answer_watch("r0", complete=False)
    function = stage.edge.host.registry.functions["f"]

    def ask_for_more():
        stage.edge.extend_prefix(function)
        stage.run(0.01)
        peer, watch = stage.watches()[-1]
        return peer, watch

    peer, watch = ask_for_more()
    stage.snapshot(peer, watch, stage.entry("r0"), stage.entry("r1"), complete=False)
    stage.run(0.01)
    assert ask_for_more()[1] == watch  # 0.02 s after the first
    stage.run(0.2)
    stage.renew(peer)
    stage.run(0.2)
    stage.renew(peer)
    stage.run(0.1)
    assert ask_for_more()[1]["count"] == 2 * watch["count"]


def test_the_module_receives_the_region_s_sums(stage):
    client = stage.client()
    peer = stage.look_up(client, "r0")
    stage.run(0.25)
    stage.renew(peer, size=400.0, warm=300.0, serving=100, instances=110)
    stage.run(0.002)
    module = stage.edge.host.module
    assert (module.fleet.region.size, module.fleet.region.count) == (400.0, 110)
    assert 300.0 <= module.slow_start.warm_size() < 310.0


def test_an_operator_can_query_the_state_of_the_directory(stage):
    client = stage.client()
    stage.look_up(client, "r0", "r1")
    client.say(**{"is": "look", "what": "directory"})
    stage.run()
    (shown,) = client.heard("shown")
    assert shown["body"]["instances"] == 2 and shown["body"]["shards reached"] == 1


def test_an_edge_without_a_directory_answers_with_a_fault():
    stage = Stage()
    client = stage.client()
    client.say(**{"is": "look", "what": "directory"})
    stage.run()
    assert "directory" in client.heard("fault")[0]["why"]


def test_stopping_answers_waiting_calls(stage):
    client = stage.client()
    stage.call(client)
    stopped = []
    stage.edge.stop(lambda: stopped.append(True))
    stage.run(LOOKUP + 0.1)
    assert verdicts(client) == [("1", "denied")] and stopped and not stage.holders


LAZY = """
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
        "from test_edge import Stage; Stage()",
    ],
)
def test_without_a_directory_nothing_of_it_is_imported(imports):
    """In a process of its own, as this process has imported it."""
    done = subprocess.run(
        [sys.executable, "-c", LAZY.format(imports=imports)],
        cwd=EXAMPLES.parent / "tests",
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    assert done.returncode == 0, done.stderr


def test_a_call_that_waited_counts_from_its_arrival(stage):
    """The time of arrival counts for the soft deadline and for the preload budget, not that of the
    look-up's end.
    """
    client, module = stage.client(), stage.edge.host.module
    stage.look_up(client, fn="known")
    module.preload_budget.requests.clear()
    came = stage.edge.clock()
    stage.call(client, id="2", fn="f")
    stage.run(0.2)
    stage.call(client, id="3", fn="known")
    peer, watch = stage.watches()[-1]
    stage.snapshot(peer, watch, stage.entry("r0"))
    stage.run(0.002)
    first, second = module.preload_budget.requests
    assert came <= first < came + 20 and second - first >= 1_900
    (waited,) = [p for p in stage.edge.front.open_requests() if p.function.name == "f"]
    assert waited.accepted_at == first and waited.attempts

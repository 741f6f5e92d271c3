"""A holder's process on in-memory connections: its messages to scripted watchers, and its limits."""

import pytest
from twisted.internet.protocol import ClientFactory

from lapistrestle.deployment.load import validate_holder
from lapistrestle.deployment.schema import (
    Directory,
    DirectoryCopy,
    DirectoryServe,
    Duration,
    HolderDeployment,
    Roster,
)
from lapistrestle.directory.byte_rate import ByteRateMeter
from lapistrestle.directory.server import HolderProgram
from lapistrestle.standins.roster import RosterStandIn
from lapistrestle.standins.virtual import VirtualProcess, VirtualReactor
from lapistrestle.wire import directory as wire
from lapistrestle.wire.json_lines import LineConnection, LineLimits, message_decoder
from lapistrestle.wire.messages import ROSTER, Hello, RosterEntry, RosterSnapshot, RosterUpdate, encode

PORT = 7200


def entry(name, start=0, **more):
    return RosterEntry(name, 9000 + start, "north", start=f"{name}#{start}", **more)


class Watcher(ClientFactory):
    """A scripted watcher that stores received messages."""

    noisy = False

    def __init__(self, rig, name):
        self.process = VirtualProcess(rig.reactor, name)
        self.name, self.received, self.goodbye, self.is_closed = name, [], "", False
        self.connection = None
        self.process.connectTCP("127.0.0.1", PORT, self)

    def buildProtocol(self, addr):
        self.connection = WatcherConnection(self)
        return self.connection

    def send(self, message):
        self.connection.send_message(message)

    def watch(self, id=1, function="f", count=4, epoch=1, shard=0):
        self.send(wire.Watch(id, shard, epoch, function, count))

    def messages(self, kind):
        return [message for message in self.received if isinstance(message, kind)]

    def names(self):
        return [e.name for e in self.messages(wire.Snapshot)[-1].entries]


class WatcherConnection(LineConnection):
    protocol = wire.DIRECTORY
    decoder = message_decoder(wire.FromHolder)

    def __init__(self, watcher):
        super().__init__(LineLimits())
        self.watcher = watcher

    def greeting(self):
        return Hello(self.protocol, 1, self.watcher.name)

    def message_received(self, message):
        self.watcher.received.append(message)

    def goodbye_received(self, why):
        self.watcher.goodbye = why

    def connection_lost(self):
        self.watcher.is_closed = True


class HolderRig:
    """A roster, a holder and watchers in virtual time."""

    def __init__(self, count=12, directory=None, **serve):
        self.reactor = VirtualReactor()
        self.outside = VirtualProcess(self.reactor, "outside")
        self.roster = RosterStandIn(self.outside, 0.0)
        for number in range(count):
            self.roster.record(entry(f"w{number}"), self.reactor.seconds() - 100, now=True)
        shards = [[DirectoryCopy(port=PORT, zone="north")]]
        settings = HolderDeployment(
            directory=Directory(shards=shards, **(directory or {})),
            serve=DirectoryServe(name="holder-0", port=PORT, zone="north", **serve),
            roster=Roster(port=self.roster.port),
        )
        validate_holder(settings)
        self.logs = []
        self.process = VirtualProcess(self.reactor, "holder-0")
        self.program = HolderProgram(
            self.process, settings, lambda what, **more: self.logs.append((what, more))
        )
        self.program.start()
        self.run(0.1)

    def run(self, seconds):
        self.reactor.run(self.reactor.seconds() + seconds)

    def watcher(self, name="edge-0"):
        made = Watcher(self, name)
        self.run(0.01)
        return made

    def set_entry(self, changed):
        self.roster.record(changed, self.reactor.seconds(), now=True)

    def restart_all(self, start):
        """Restart all instances, reported in one list."""
        booted = self.reactor.seconds()
        self.roster.published = {name: (entry(name, start), booted) for name in self.roster.published}
        self.roster.number += 1
        self.roster.send_to_all(self.roster.snapshot())

    def run_with_renewals(self, watchers, seconds, every=0.2):
        """Run for some time while these watchers renew their leases."""
        until = self.reactor.seconds() + seconds
        while self.reactor.seconds() < until:
            for watcher in watchers:
                if not watcher.is_closed:
                    watcher.send(wire.Renew(round(self.reactor.seconds() * 1e4)))
            self.run(every)

    def log_entries(self, event):
        return [more for name, more in self.logs if name == event]


def test_a_watch_is_answered_by_a_snapshot_and_then_numbered_batches():
    rig = HolderRig()
    edge = rig.watcher()
    edge.watch()
    rig.run(0.01)
    (snapshot,) = edge.messages(wire.Snapshot)
    assert len(snapshot.entries) == 4 and not snapshot.complete and snapshot.lease == 30_000
    first, second = edge.names()[:2]
    rig.set_entry(entry(first, listing="draining"))
    rig.run(0.1)  # a drain is sent ahead of the next batch
    (update,) = edge.messages(wire.Update)
    assert update.sequence == snapshot.sequence + 1 and update.revision.number == 13
    listings = {e.name: e.listing for e in update.entries}
    assert listings.pop(first) == "draining"  # a serving instance is added to the prefix
    assert len(listings) == 1 and not set(listings) & set(edge.names())
    rig.set_entry(entry(second, listing="gone"))
    rig.run(1.0)
    updates = edge.messages(wire.Update)
    assert [u.sequence for u in updates] == list(range(2, 2 + len(updates)))
    assert second in [name for u in updates for name in u.gone]
    names = list(edge.names())
    for change in (c for u in updates for c in u.changes):
        names = [n for n in names if n not in change.removed]
        for placed in change.inserted:
            names.insert(placed.position, placed.name)
    shown = rig.program.report("f")
    assert names == [e["name"] for e in shown["order"]][: len(names)] and shown["longest prefix"] == len(
        names
    )


def test_two_holders_have_the_same_order_independent_of_history():
    one, other = HolderRig(), HolderRig(count=0)
    for number in reversed(range(12)):
        other.set_entry(entry(f"w{number}"))
    other.run(0.1)
    for function in ("f", "g", "h"):
        orders = [[e["name"] for e in rig.program.report(function)["order"]] for rig in (one, other)]
        assert orders[0] == orders[1] and len(orders[0]) == 12


def test_a_flapping_instance_is_not_sent_each_time():
    rig = HolderRig()
    edge = rig.watcher()
    edge.watch()
    rig.run(0.01)
    first = edge.names()[0]
    for number in range(100):
        rig.set_entry(entry(first, listing="draining" if number % 2 else "serving"))
        rig.run(0.02)
    rig.run_with_renewals([edge], 1.0)
    assert len(edge.messages(wire.Update)) <= 8
    last = [e for u in edge.messages(wire.Update) for e in u.entries if e.name == first][-1]
    assert last.listing == "draining"


def test_an_old_or_new_epoch_and_another_shard_are_refused():
    rig = HolderRig(directory={"epoch": 5})
    edge = rig.watcher()
    for id, (epoch, shard) in enumerate([(4, 0), (6, 0), (5, 1)]):
        edge.watch(id=id, epoch=epoch, shard=shard)
    rig.run(0.01)
    assert [(r.id, r.reason, r.epoch) for r in edge.messages(wire.Refused)] == [
        (0, "old epoch", 5),
        (1, "new epoch", 5),
        (2, "shard", 5),
    ]
    assert not edge.messages(wire.Snapshot)


def test_a_lost_roster_shows_in_the_age_and_its_successor_in_the_source():
    rig = HolderRig()
    edge = rig.watcher()
    edge.watch()
    rig.run_with_renewals([edge], 1.0)
    assert edge.messages(wire.Renewed)[-1].age == 0 and edge.messages(wire.Renewed)[-1].sums is None
    assert any(r.sums is not None and r.sums.serving == 12 for r in edge.messages(wire.Renewed))
    rig.roster.network_faults.silent = True  # restarts, and doesn't answer for a second
    rig.roster.restart()
    rig.run_with_renewals([edge], 1.0)
    assert edge.messages(wire.Renewed)[-1].age > 5_000
    rig.roster.network_faults.silent = False
    rig.set_entry(entry("w0", listing="draining"))
    rig.run_with_renewals([edge], 2.0)
    last = edge.messages(wire.Renewed)[-1]
    assert last.age == 0 and last.revision.source == "e2"
    log_texts = [more["figures"] for more in rig.log_entries("directory")]
    assert any("knowledge cut" in text for text in log_texts) and "knowledge fresh" in log_texts[-1]


def test_a_stalled_holder_answers_only_after_catching_up():
    rig = HolderRig()
    edge = rig.watcher()
    edge.watch()
    rig.run(0.01)
    first = edge.names()[0]
    rig.process.stall()
    edge.watch(id=2, function="g")
    edge.send(wire.Renew(1))
    rig.run(1.0)
    rig.set_entry(entry(first, start=1))
    rig.run(1.0)
    received_before = len(edge.received)
    rig.process.resume()
    rig.run(0.0)
    assert not any(isinstance(m, wire.Snapshot | wire.Renewed) for m in edge.received[received_before:])
    rig.run(0.5)
    (changed,) = [e for u in edge.messages(wire.Update) for e in u.entries if e.name == first]
    assert changed.start == f"{first}#1"
    edge.watch(id=3, function="g")
    rig.run(0.1)
    assert edge.messages(wire.Snapshot)[-1].id == 3


def test_a_watcher_that_does_not_read_is_disconnected_without_delaying_others():
    lease, count, unsent = Duration(600_000), 300, 65_536
    rig = HolderRig(count, {"bytes_per_second": 10_000_000, "lease": lease}, unsent=unsent)
    slow, edge = rig.watcher("slow"), rig.watcher("edge-1")
    for watcher in (slow, edge):
        watcher.watch(count=count)
    rig.run(0.05)
    slow.process.stall()
    turns = 0
    while not rig.log_entries("watcher cut") and turns < 60:
        turns += 1
        rig.restart_all(turns)
        rig.run_with_renewals([edge], 0.6)
    (cut,) = rig.log_entries("watcher cut")
    assert cut["watcher"] == "slow" and unsent < cut["waiting"] < unsent + 40_000  # one batch over the limit
    assert rig.log_entries("watcher slow") == [{"watcher": "slow", "slow": 1, "sessions": 2}]
    assert rig.program.counts.slow_connections_cut == 1 and rig.program.sessions.slow == set()
    assert not edge.is_closed and rig.program.report("")["sessions"] == 1
    assert {e.start for e in edge.messages(wire.Update)[-1].entries} == {
        f"w{n}#{turns}" for n in range(count)
    }


def test_connections_over_the_limit_and_with_undecodable_lines_are_closed():
    rig = HolderRig(connections=2)
    edges = [rig.watcher(f"edge-{n}") for n in range(3)]
    rig.run(0.1)
    assert [e.is_closed for e in edges] == [False, False, True] and "2 watchers" in edges[2].goodbye
    edges[0].connection.transport.write(b'{"is": "watch"}\n')
    rig.run(0.1)
    assert (
        edges[0].is_closed and "unreadable" in edges[0].goodbye and rig.program.counts.unreadable_lines == 1
    )
    edges[1].watch()
    rig.run(0.1)
    assert edges[1].messages(wire.Snapshot)


def test_a_connection_with_another_protocol_is_closed():
    rig = HolderRig()
    edge = Watcher(rig, "edge-0")
    rig.reactor.run(rig.reactor.seconds() + 0.0004)
    edge.connection.transport.write(encode(Hello("lapistrestle.roster", 1)) + b"\n")
    rig.run(0.1)
    assert edge.is_closed and rig.program.report("")["sessions"] == 0


def test_an_unrenewed_watch_expires():
    rig = HolderRig()
    quiet, edge = rig.watcher("quiet"), rig.watcher("edge-1")
    for watcher in (quiet, edge):
        watcher.watch()
    rig.run_with_renewals([edge], 3.5)
    assert quiet.is_closed and "lease" in quiet.goodbye and not edge.is_closed


def test_all_watchers_at_once_are_admitted_at_the_configured_rate():
    rig = HolderRig(count=30, snapshots_per_second=200)
    edges = [Watcher(rig, f"edge-{n}") for n in range(100)]
    rig.run(0.01)
    asked = {(edge, n): 0.0 for edge in edges for n in range(10)}
    began, answered = rig.reactor.seconds(), []
    seen = dict.fromkeys(edges, 0)
    while asked and rig.reactor.seconds() < began + 10:
        now = rig.reactor.seconds()
        for (edge, number), at in asked.items():
            if at <= now:
                asked[edge, number] = float("inf")
                edge.watch(id=number, function=f"f{number}", count=8)
        rig.run(0.01)
        for edge in edges:
            for message in edge.received[seen[edge] :]:
                if isinstance(message, wire.Busy):
                    asked[edge, message.id] = rig.reactor.seconds() + message.retry_after / 1e4
                elif isinstance(message, wire.Snapshot):
                    del asked[edge, message.id]
                    answered.append(rig.reactor.seconds() - began)
            seen[edge] = len(edge.received)
    assert not asked and len(answered) == 1_000
    in_second = [sum(second <= at < second + 1 for at in answered) for second in range(10)]
    assert max(in_second) <= 200 + 50 and answered[-1] < 2 * 1_000 / 200
    assert rig.program.report("")["snapshots refused as busy"] > 0


def test_a_stopping_holder_notifies_all_watchers_and_ends():
    rig = HolderRig()
    edges = [rig.watcher(f"edge-{n}") for n in range(3)]
    ended = []
    rig.program.stop(lambda: ended.append(rig.reactor.seconds()))
    rig.run(0.1)
    assert all(edge.is_closed and edge.goodbye == "the holder stops" for edge in edges) and len(ended) == 1
    assert rig.log_entries("stopped")[0]["sessions"] == 3
    late = Watcher(rig, "late")
    rig.run(0.1)
    assert late.connection is None
    rig.run(5.0)
    assert len(ended) == 1


def test_a_stopping_holder_ends_even_if_its_watchers_do_not_read():
    rig = HolderRig()
    edge = rig.watcher()
    edge.process.stall()
    ended = []
    rig.program.stop(lambda: ended.append(True))
    rig.run(1.1)
    assert ended == [True]


@pytest.mark.parametrize("span", [1, 5, 10])
def test_the_meter_counts_whole_seconds(span):
    meter = ByteRateMeter(0)
    for at in range(0, span * 10_000, 1_000):
        meter.add(100, at)
    assert meter.rates(span * 10_000) == (1_000.0, 1_000) and meter.total == span * 1_000


def complete_list_of(program):
    listed = program.roster.list
    return RosterSnapshot(listed.number, [entry(f"w{number}") for number in range(12)], listed.epoch)


def stall(program):
    """Simulate a stall: the next event is a second late."""
    program.holder.message_received(0, wire.Renew(0), program.clock() + 10_000)
    program.perform_effects()


def test_a_list_requested_before_a_stall_does_not_end_it():
    program = HolderRig().program
    listed = program.roster.list
    program.roster.source.heard(
        RosterUpdate(listed.number + 2, [], listed.epoch)
    )  # a gap: the list is requested
    stall(program)  # the holder sends a request of its own
    program.roster.source.heard(complete_list_of(program))  # the answer to the first request
    assert not program.holder.freshness.may_answer
    program.roster.source.heard(complete_list_of(program))
    assert program.holder.freshness.may_answer


def test_a_list_requested_on_connecting_does_not_end_a_later_stall():
    program = HolderRig().program
    program.holder.roster_lost(program.clock())
    connection = program.roster.source.connection
    connection.greeting_received(
        Hello(ROSTER, 1, "roster")
    )  # the connection is established: the list is requested
    stall(program)
    program.roster.source.heard(complete_list_of(program))
    assert not program.holder.freshness.may_answer
    program.roster.source.heard(complete_list_of(program))
    assert program.holder.freshness.may_answer


def test_a_discarded_list_causes_another_request():
    program = HolderRig().program
    stall(program)
    listed, source = program.roster.list, program.roster.source
    before = listed.number
    source.heard(RosterSnapshot(before - 1, [], listed.epoch))  # a lower number, which has to be sent twice
    source.heard(RosterSnapshot(before - 2, [], listed.epoch))  # discarded
    assert program.holder.freshness.open_requests == 1
    program.roster.source.heard(complete_list_of(program))
    assert program.holder.freshness.may_answer


def test_an_undecodable_line_of_the_roster_causes_a_reconnect():
    rig = HolderRig()
    first = rig.program.roster.source.connection
    first.unreadable_line_received(b"{", "cut off")
    rig.run(2.0)
    assert rig.program.roster.source.connection is not first
    assert rig.program.counts.unreadable_lines == 1
    assert rig.program.holder.freshness.age(rig.program.clock()) == 0

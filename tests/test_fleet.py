"""Membership of dispatchers: properties of records, single decisions, and fleets in virtual time."""

from random import Random
from typing import Any, TypeVar

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lapistrestle.fleet.gossip_endpoint import GossipEndpoint
from lapistrestle.fleet.member_table import LocalState, Member
from lapistrestle.fleet.membership import Membership
from lapistrestle.fleet.settings import MembershipSettings
from lapistrestle.fleet.suspicion import MAX_LOCAL_HEALTH
from lapistrestle.standins.fleet import GossipCluster, VirtualRuntime
from lapistrestle.wire import fleet as wire
from lapistrestle.wire.fleet import MemberRecord, MemberStatus

SECOND = 10_000


M = TypeVar("M", bound=wire.Message)
Sent = tuple[int, wire.Message, tuple[MemberRecord, ...]]  # to which port, what, and what was piggybacked


def runtime_of(endpoint: GossipEndpoint) -> VirtualRuntime:
    assert isinstance(endpoint.runtime, VirtualRuntime)
    return endpoint.runtime


class RecordingTransport:
    """A transport that records messages and log lines."""

    def __init__(self) -> None:
        self.sent: list[Sent] = []
        self.logs: list[str] = []

    def send(self, host: str, port: int, message: wire.Message, records: tuple[MemberRecord, ...]) -> None:
        self.sent.append((port, message, records))

    def on_member_changed(self, member: Member) -> None: ...

    def log(self, text: str) -> None:
        self.logs.append(text)

    def messages(self, kind: type[M]) -> list[tuple[int, M]]:
        return [(port, message) for port, message, _ in self.sent if isinstance(message, kind)]


def record(
    name: str = "b",
    incarnation: int = 0,
    status: MemberStatus = MemberStatus.ALIVE,
    boot: int = 1,
    nonce: int = 1,
    port: int = 0,
    suspected_by: str = "",
) -> MemberRecord:
    number = int(name[1:] or 0) if name[1:].isdigit() else ord(name[0])
    return MemberRecord(
        name, boot, nonce, incarnation, status, "127.0.0.1", port or 1_000 + number, "", suspected_by
    )


Made = tuple[Membership, RecordingTransport]


@pytest.fixture
def made() -> Made:
    transport = RecordingTransport()
    members = Membership(transport, MembershipSettings(), record("a"), 1, 0)
    members.start(0)
    return members, transport


def join(members: Membership, *names: str) -> None:
    for name in names:
        members.on_message(record(name), wire.Ack(0), (), members.now)


records = st.builds(
    MemberRecord, st.sampled_from("bcd"), st.integers(1, 2), st.integers(1, 2), st.integers(0, 2),
    st.sampled_from(MemberStatus), st.just("127.0.0.1"), st.just(9), st.just(""),
    st.sampled_from(["", "x", "y"]),
)  # fmt: skip


def test_an_alive_record_does_not_count_as_a_suspicion() -> None:
    """A repeated alive record with a `suspected_by` counted as a confirmation of the next suspicion."""
    members = Membership(RecordingTransport(), MembershipSettings(), record("a"), 1, 0)
    for status, by in ((MemberStatus.ALIVE, "x"), (MemberStatus.ALIVE, "x"), (MemberStatus.SUSPECT, "y")):
        members.apply(MemberRecord("b", 1, 1, 1, status, "127.0.0.1", 9, "", by))
    assert members.members["b"].status is MemberStatus.SUSPECT and members.members["b"].suspected_by == {"y"}


@given(st.lists(records, max_size=12), st.randoms())
def test_records_in_any_order_lead_to_the_same_table(received: list[MemberRecord], random: Random) -> None:
    other = [*received, *random.sample(received, len(received) // 2)]
    random.shuffle(other)
    tables = []
    for sequence in (received, other):
        members = Membership(RecordingTransport(), MembershipSettings(), record("a"), 1, 0)
        for each in sequence:
            members.apply(each)
        known = members.members.values()
        held = {
            m.name: (m.record.precedence, m.status is MemberStatus.SUSPECT and m.suspected_by) for m in known
        }
        tables.append((held, {m.name for m in members.table.suspected}, [m.name for m in members.live()]))
    assert tables[0] == tables[1]


@given(st.lists(records, max_size=12))
def test_a_left_process_stays_left_and_only_members_raise_their_incarnation(
    received: list[MemberRecord],
) -> None:
    members = Membership(RecordingTransport(), MembershipSettings(), record("a"), 1, 0)
    left = set()
    for each in received:
        members.apply(each)
        left |= {each.process_id} if each.status is MemberStatus.LEFT else set()
        held = members.members[each.name].record
        assert held.process_id not in left or held.status is MemberStatus.LEFT
        assert held.incarnation in {c.incarnation for c in received if c.process_id == held.process_id}


def test_a_suspected_member_refutes_and_lowers_its_local_health(made: Made) -> None:
    members, _ = made
    join(members, "b")
    members.on_message(
        record("b"), wire.Ping(1), (record("a", 0, MemberStatus.SUSPECT, suspected_by="b"),), 10
    )
    assert members.me.incarnation == 1 and members.health.score == 1
    members.on_message(record("b"), wire.Ping(2), (record("a", 0, MemberStatus.DEAD),), 20)
    assert members.me.incarnation == 1  # refuted already


def test_confirmations_shorten_a_suspicion_and_poor_local_health_lengthens_it(made: Made) -> None:
    members, _ = made
    join(members, "b", "c", "d", "e", "f")
    members.apply(record("b", 0, MemberStatus.SUSPECT, suspected_by="c"))
    suspect = members.members["b"]
    alone = members.suspicion_deadline(suspect)
    members.apply(record("b", 0, MemberStatus.SUSPECT, suspected_by="d"))
    two = members.suspicion_deadline(suspect)
    for by in "ef":
        members.apply(record("b", 0, MemberStatus.SUSPECT, suspected_by=by))
    assert members.suspicion_deadline(suspect) < two < alone
    shortest = members.suspicion_deadline(suspect)
    members.apply(record("b", 0, MemberStatus.SUSPECT, suspected_by="e"))
    assert members.suspicion_deadline(suspect) == shortest  # a repeated suspicion by one member counts once
    members.health.score = 1
    assert members.suspicion_deadline(suspect) - suspect.status_since == 2 * (shortest - suspect.status_since)


def start_probe(members: Membership) -> tuple[Member, int]:
    """Start a probe. Returns its target and the time-out of the ping."""
    members.tick(members.next_period)
    assert members.detector.target is not None
    return members.detector.target, members.detector.ping_deadline


def test_indirect_probes_precede_a_suspicion(made: Made) -> None:
    members, transport = made
    join(members, "b", "c", "d")
    target, timeout_at = start_probe(members)
    members.tick(timeout_at)
    requests = transport.messages(wire.PingRequest)
    assert len(requests) == 2 and {message.name for _, message in requests} == {target.name}
    assert target.status is MemberStatus.ALIVE
    members.tick(members.next_period)
    assert target.record.status is MemberStatus.SUSPECT and target.suspected_by == {"a"}


def test_an_ack_by_a_relay_prevents_a_suspicion(made: Made) -> None:
    members, _ = made
    join(members, "b", "c", "d")
    target, timeout_at = start_probe(members)
    members.tick(timeout_at)
    score = members.health.score
    members.on_message(record(target.name), wire.Ack(members.detector.ping_number), (), timeout_at + 100)
    assert members.health.score == score - 1
    members.tick(members.next_period)
    assert target.status is MemberStatus.ALIVE


def test_an_ack_of_an_earlier_ping_does_not_prevent_a_suspicion(made: Made) -> None:
    members, _ = made
    join(members, "b", "c")
    target, timeout_at = start_probe(members)
    members.on_message(record(target.name), wire.Ack(members.detector.ping_number - 1), (), timeout_at - 1)
    members.tick(timeout_at)
    members.tick(members.next_period)
    assert target.status is MemberStatus.SUSPECT


def test_a_stalled_member_suspects_nobody_and_extends_suspicions(made: Made) -> None:
    members, _ = made
    join(members, "b", "c")
    members.apply(record("c", 0, MemberStatus.SUSPECT, suspected_by="b"))
    start_probe(members)
    members.tick(members.next_period + 60 * SECOND)
    assert {m.status for m in members.members.values()} == {MemberStatus.ALIVE, MemberStatus.SUSPECT}
    assert members.health.score >= 1 and "a" not in members.members["c"].suspected_by


def test_the_local_health_score_is_bounded(made: Made) -> None:
    members, _ = made
    for _ in range(20):
        members.health.worsen()
    assert members.health.score == MAX_LOCAL_HEALTH


def test_a_relay_pings_the_target_and_sends_a_nack_without_an_answer(made: Made) -> None:
    members, transport = made
    join(members, "b", "c")
    members.on_message(record("b"), wire.PingRequest(77, "c", "127.0.0.1", 1_099), (), 10)
    port, ping = transport.messages(wire.Ping)[-1]
    assert port == 1_099
    members.on_message(record("c"), wire.Ack(ping.seq), (), 20)
    assert (record("b").port, wire.Ack(77)) in transport.messages(wire.Ack)
    members.on_message(record("b"), wire.PingRequest(78, "c", "127.0.0.1", 1_099), (), 30)
    members.tick(30 + members.settings.ping_timeout)
    assert (record("b").port, wire.Nack(78)) in transport.messages(wire.Nack)


def test_an_ack_by_a_relay_counts_as_the_targets() -> None:
    """The relay sends the ack as itself, with the target's record piggybacked."""
    cluster = GossipCluster(3)
    a, b, c = cluster.many(3)
    assert cluster.until(cluster.agreed, 10) < 10
    cluster.links.sever([a.settings.port], [b.settings.port])
    cluster.run(60)
    assert cluster.agreed() and not any("dead" in line for t in (a, b, c) for line in runtime_of(t).logs)


def test_table_pages_fit_in_a_datagram_and_continue() -> None:
    transport = RecordingTransport()
    members = Membership(transport, MembershipSettings(), record("a"), 1, 0)
    names = [f"{i:03d}" + "x" * 60 for i in range(60)]
    for name in names:
        long = ("127.127.127.127", 65_535, "z" * 32, "y" * 64)
        members.apply(MemberRecord(name, 2**61, 2**61, 0, MemberStatus.ALIVE, *long))
    join(members, "b")
    read, after, more = list[str](), "", True
    while more:
        members.on_message(record("b"), wire.PageRequest(after), (), 10)
        _, page, page_records = transport.sent[-1]
        assert isinstance(page, wire.TablePage)
        data = wire.encode(wire.Datagram("f" * 64, 1, members.me, page, page_records))
        assert len(data) <= wire.MAX_DATAGRAM_BYTES and page_records
        read += [c.name for c in page_records]
        after, more = page_records[-1].name, page.more
    assert read == names


def test_of_two_processes_with_one_name_the_later_boot_keeps_it(made: Made) -> None:
    members, transport = made
    join(members, "b")
    members.on_message(record("a", boot=2, nonce=9), wire.Ping(1), (), 10)
    assert members.state is LocalState.DISPLACED and members.size == 0
    sent_before = len(transport.sent)
    members.on_message(record("b"), wire.Ping(5), (), 20)
    assert not transport.messages(wire.Ack)[sent_before:]  # a displaced process does not answer as a member
    transport2 = RecordingTransport()
    later = Membership(transport2, MembershipSettings(), record("a", boot=3), 1, 0)
    later.on_message(record("a", boot=2, nonce=9), wire.Ping(4), (), 10)
    assert later.state is LocalState.JOINING and transport2.messages(wire.Ack)  # the other is notified


def test_the_name_of_a_dead_process_is_taken_over_despite_a_clock_set_back(made: Made) -> None:
    members, _ = made
    join(members, "b")
    members.on_message(
        record("b"), wire.Ping(1), (record("a", status=MemberStatus.DEAD, boot=50, nonce=7),), 10
    )
    assert members.state is LocalState.MEMBER and members.me.boot == 51


# fleets in virtual time


@pytest.fixture
def twelve() -> GossipCluster:
    cluster = GossipCluster(5)
    cluster.many(12, zones=3)
    assert cluster.until(cluster.agreed, 20) < 10
    return cluster


def test_joining_from_any_seed(twelve: GossipCluster) -> None:
    cluster = twelve
    cluster.add("e-12", ("e-7",))
    assert cluster.until(cluster.agreed, 30) < 10
    assert {m.record.zone for m in cluster.endpoints["e-12"].membership.live()} == {"z0", "z1", "z2"}


def test_a_dead_member_is_detected_by_all_within_the_documented_time(twelve: GossipCluster) -> None:
    cluster = twelve
    cluster.kill("e-3")
    assert cluster.until(cluster.agreed, 60) < 25  # docs/operate/fleet.md


def test_a_leave_is_known_to_all_within_four_seconds(twelve: GossipCluster) -> None:
    cluster = twelve
    cluster.endpoints["e-4"].leave()
    cluster.run(0.1)
    cluster.kill("e-4")
    assert cluster.until(cluster.agreed, 30, 0.25) < 4


def test_the_halves_of_a_partition_rejoin(twelve: GossipCluster) -> None:
    cluster = twelve
    names = list(cluster.endpoints)
    ports = [cluster.endpoints[n].settings.port for n in names]
    halves = set(names[:5]), set(names[5:])
    cluster.links.sever(ports[:5], ports[5:])
    apart = lambda: all(cluster.view(n) == half - {n} for half in halves for n in half)  # noqa: E731
    assert cluster.until(apart, 60) < 40
    cluster.links.heal()
    assert cluster.until(cluster.agreed, 60) < 20


def test_a_restarted_process_takes_over_its_name(twelve: GossipCluster) -> None:
    cluster = twelve
    cluster.kill("e-5")
    cluster.add("e-5", ("e-0",))
    cluster.run(15)
    boots = {t.membership.members["e-5"].record.boot for n, t in cluster.endpoints.items() if n != "e-5"}
    assert cluster.agreed() and boots == {cluster.endpoints["e-5"].membership.me.boot}


def test_a_restarted_process_takes_over_its_name_despite_a_clock_set_back(twelve: GossipCluster) -> None:
    cluster = twelve
    cluster.kill("e-6")
    cluster.add("e-6", ("e-0",), boot=5)
    assert cluster.until(cluster.agreed, 120) < 60  # displaced by its own earlier record until that expires


def test_of_two_processes_with_one_name_one_is_displaced(twelve: GossipCluster) -> None:
    cluster = twelve
    old = cluster.endpoints["e-8"]
    new = cluster.add("e-8", ("e-0",), port=41_000)
    cluster.run(30)
    assert old.membership.state is LocalState.DISPLACED and new.membership.state is LocalState.MEMBER
    assert cluster.agreed() and not any("dead" in line for line in runtime_of(new).logs)
    new.runtime.reactor.kill()
    cluster.endpoints["e-8"] = old
    assert cluster.until(cluster.agreed, 120) < 90  # the process that still runs takes the name back


def test_loss_duplication_and_delay_of_datagrams_declare_nobody_dead() -> None:
    cluster = GossipCluster(7)
    cluster.links.loss, cluster.links.duplication, cluster.links.delays = 0.2, 0.2, (100, 60_000)
    cluster.many(8)
    assert cluster.until(cluster.agreed, 60) < 30
    cluster.run(120)
    assert not any(" dead" in line for t in cluster.endpoints.values() for line in runtime_of(t).logs)


def test_a_member_that_stalls_repeatedly_declares_nobody_dead_and_recovers() -> None:
    cluster = GossipCluster(9)
    cluster.many(8)
    cluster.run(10)
    process, absences = cluster.process("e-3"), 0.0
    for _ in range(30):
        process.stall()
        cluster.run(2)
        process.resume()
        cluster.run(2)
        absences += "e-3" not in cluster.view("e-0")
    assert not any(" dead" in line for line in runtime_of(cluster.endpoints["e-3"]).logs)
    assert cluster.until(cluster.agreed, 30) < 10
    assert absences <= 3


def test_a_member_that_can_not_send_is_declared_dead_by_all() -> None:
    cluster = GossipCluster(11)
    cluster.many(6)
    cluster.run(10)
    ports = {n: t.settings.port for n, t in cluster.endpoints.items()}
    severed = ports.pop("e-2")
    cluster.links.sever([severed], list(ports.values()), both=False)
    rest = lambda: all(cluster.view(n) == set(ports) - {n} for n in ports)  # noqa: E731
    assert cluster.until(rest, 90) < 60
    cluster.links.heal()
    assert cluster.until(cluster.agreed, 60) < 20


def test_datagrams_of_another_fleet_or_version_are_rejected() -> None:
    cluster = GossipCluster(13)
    a = cluster.add("e-0")
    cluster.add("e-1", ("e-0",), fleet="other")
    cluster.run(5)
    assert cluster.view("e-0") == set() and 'of the fleet "other"' in runtime_of(a).over[0]
    newer = wire.encode(wire.Datagram("f", 2, record("b"), wire.Ping(1)))
    a.datagramReceived(newer, ("127.0.0.1", 9))
    a.datagramReceived(b"\xc1", ("127.0.0.1", 9))
    assert "of version 2" in runtime_of(a).over[-2] and "can't be read" in runtime_of(a).over[-1]


def traffic_per_member(count: int) -> tuple[float, float]:
    cluster = GossipCluster(15)
    endpoints = cluster.many(count)
    assert cluster.until(cluster.agreed, 60) < 30
    cluster.run(30)
    before: list[Any] = [(t.datagrams_sent, t.bytes_sent) for t in endpoints]
    cluster.run(30)
    sent = max(t.datagrams_sent - b for t, (b, _) in zip(endpoints, before, strict=True)) / 30
    return sent, max(t.bytes_sent - b for t, (_, b) in zip(endpoints, before, strict=True)) / 30


def test_the_traffic_of_a_member_does_not_grow_with_the_fleet() -> None:
    small, large = traffic_per_member(6), traffic_per_member(48)
    assert large[0] < 1.5 * small[0] < 6
    assert large[1] < 1_200

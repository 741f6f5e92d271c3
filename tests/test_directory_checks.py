"""The checks of a tape with a directory: which reports of drains bind an edge, and their delay."""

from dataclasses import replace

import json5
import msgspec
import pytest
from days import EXAMPLES, Played, day

from lapistrestle.checks.rules import check_directory_delay, check_drains
from lapistrestle.checks.trace import Trace
from lapistrestle.directory import server
from lapistrestle.edge.program import Edge
from lapistrestle.policy.types import EndpointState
from lapistrestle.wire import directory as wire
from lapistrestle.wire.messages import Hello, RosterEntry, RosterSnapshot, RosterUpdate, Run

EDGE, HOLDER, RUNNER = "edge-0", "holder-0", "w#0"
HEADER = {"tape": 1, "edges": [EDGE], "holders": [HOLDER], "rules": {"drain_grace": 1000}}
WORKER = RosterEntry("w", 9001, start=RUNNER)
DRAINS = RosterEntry("w", 9001, start=RUNNER, listing="draining")
LEASE = 30_000  # ticks of 0.1 ms


class ScriptedTape:
    """A hand-written tape; times in milliseconds."""

    def __init__(self, renewals=True):
        self.events = [HEADER]
        self.renews_lease = renewals
        self.put(0, "roster/1", "open", roster=True)
        self.send(0, "roster/1", "<", Hello("lapistrestle.roster", 1, HOLDER))
        self.send(1, "roster/1", ">", RosterSnapshot(1, [WORKER], "e1"))
        self.open("link", HOLDER)

    def put(self, at, on, what, **more):
        self.events.append({"at": at * 1000, "on": on, "is": what, **more})

    def send(self, at, on, sign, message):
        self.put(at, on, sign, line=msgspec.json.encode(message).decode())

    def open(self, link, holder):
        self.put(2, link, "open", directory=True, edge=EDGE, holder=holder)
        self.send(2, link, "<", wire.Watch(1, 0, 1, "f", 8))

    def snapshot(self, at, *entries, number=1, link="link", id=1, complete=False, source="e1"):
        revision = wire.Revision(source, number)
        made = wire.Snapshot(id, 1, revision, 1, [*map(wire.compact, entries)], complete, LEASE)
        self.send(at, link, ">", made)

    def update(self, at, *entries, number=2, gone=(), removed=(), link="link"):
        changes = [wire.PrefixChange(1, 0, list(removed))] if removed else []
        made = wire.Update(2, wire.Revision("e1", number), [*map(wire.compact, entries)], list(gone), changes)
        self.send(at, link, ">", made)

    def roster(self, at, *entries, number=2, epoch="e1"):
        self.send(at, "roster/1", ">", RosterUpdate(number, list(entries), epoch))

    def run(self, at):
        self.put(3, "runner/1", "open", runner="w", start=RUNNER, edge=EDGE)
        self.send(3, "runner/1", "<", Hello("lapistrestle.runner", 1, EDGE))
        self.send(at, "runner/1", "<", Run(1, "r", "f", "m", 100.0))

    def trace(self, end=6_000):
        if self.renews_lease:
            for at in range(100, end, 100):
                self.send(at, "link", "<", wire.Renew(at))
        self.put(end, "day", "trouble ends")
        self.events[1:] = sorted(self.events[1:], key=lambda event: event["at"])
        return Trace(self.events)


def delay_violations(tape):
    """Violations of the one-second limit, and the longest delay in milliseconds."""
    judged = check_directory_delay(tape.trace())
    return [violation.message for violation in judged.violations], judged.figures[
        "longest way to an edge, ms"
    ]


def test_a_drain_reported_within_a_second_is_in_time_and_measured():
    tape = ScriptedTape()
    tape.snapshot(10, WORKER)
    tape.roster(1_000, DRAINS)
    tape.update(1_400, DRAINS)
    assert delay_violations(tape) == ([], 400.0)


@pytest.mark.parametrize("is_missing", [False, True])
def test_a_late_or_missing_report_of_a_drain_is_a_violation(is_missing):
    tape = ScriptedTape()
    tape.snapshot(10, WORKER)
    tape.roster(1_000, DRAINS)
    if not is_missing:
        tape.update(2_100, DRAINS)
    violations, _ = delay_violations(tape)
    assert len(violations) == 1 and f"{EDGE} holds {RUNNER} by word of {HOLDER}" in violations[0]


def test_a_removal_is_timed_from_the_rosters_message():
    tape = ScriptedTape()
    tape.snapshot(10, WORKER)
    tape.roster(1_000, msgspec.structs.replace(WORKER, listing="gone"))
    tape.update(2_100, gone=["w"])
    assert len(delay_violations(tape)[0]) == 1


@pytest.mark.parametrize(("begin", "end", "late"), [(900, 1_800, 0), (1_200, 1_900, 0), (1_200, 1_250, 1)])
def test_a_network_cut_or_a_stall_extends_the_deadline_by_its_duration(begin, end, late):
    for fault in ("cut", "still"):
        tape = ScriptedTape()
        tape.snapshot(10, WORKER)
        if fault == "cut":
            tape.put(begin, "day", "cut", edge=EDGE, holder=HOLDER)
            tape.put(end, "day", "healed", edge=EDGE, holder=HOLDER)
        else:
            tape.put(begin, HOLDER, "stalled")
            tape.put(end, HOLDER, "resumed")
        tape.roster(1_000, DRAINS)
        tape.update(2_600, DRAINS)
        assert len(delay_violations(tape)[0]) == late, fault


def test_overlapping_cut_and_stall_extend_the_deadline_once():
    tape = ScriptedTape()
    tape.snapshot(10, WORKER)
    tape.put(1_200, HOLDER, "stalled")
    tape.put(1_300, "day", "cut", edge=EDGE, holder=HOLDER)
    tape.put(1_700, HOLDER, "resumed")
    tape.put(1_800, "day", "healed", edge=EDGE, holder=HOLDER)
    tape.roster(1_000, DRAINS)
    tape.update(2_700, DRAINS)  # due at 2,600
    assert len(delay_violations(tape)[0]) == 1


@pytest.mark.parametrize("is_reported", [True, False])
def test_after_unchanged_an_edge_relies_on_the_new_connection(is_reported):
    tape = ScriptedTape(renewals=False)
    tape.snapshot(10, WORKER)
    tape.put(400, "link", "close")
    tape.open("other", HOLDER)
    tape.send(500, "other", "<", wire.Watch(7, 0, 1, "f", 8, "", "digest", True))
    tape.send(510, "other", ">", wire.Unchanged(7, 1, wire.Revision("e1", 1), 1, LEASE))
    for at in range(600, 3_000, 100):
        tape.send(at, "other", "<", wire.Renew(at))
    tape.roster(1_000, DRAINS)
    if is_reported:
        tape.update(1_400, DRAINS, link="other")
    violations, _ = delay_violations(tape)
    late = [f"{EDGE} holds {RUNNER} by word of {HOLDER}" in violation for violation in violations]
    assert late == [] if is_reported else late == [True]


def test_checks_detect_a_holder_that_sends_outdated_entries():
    tape = ScriptedTape()
    tape.roster(1_000, DRAINS)
    tape.snapshot(2_500, WORKER, number=2)
    assert len(delay_violations(tape)[0]) == 1


def test_no_report_is_due_after_removal_from_the_prefix_or_lease_expiry():
    tape = ScriptedTape()
    tape.snapshot(10, WORKER)
    tape.update(900, removed=["w"])
    tape.roster(1_000, DRAINS)
    assert delay_violations(tape)[0] == []
    tape = ScriptedTape(renewals=False)  # the lease ends at 3,002 ms
    tape.snapshot(10, WORKER)
    tape.roster(2_500, DRAINS)
    assert delay_violations(tape)[0] == []


def drain_violations(tape):
    return [violation.message for violation in check_drains(tape.trace()).violations]


def test_drains_are_timed_from_the_holders_message():
    tape = ScriptedTape()
    tape.snapshot(10, WORKER)
    tape.roster(1_000, DRAINS)
    tape.update(1_900, DRAINS)
    tape.run(2_800)
    assert drain_violations(tape) == []
    tape = ScriptedTape()
    tape.snapshot(10, WORKER)
    tape.roster(1_000, DRAINS)
    tape.update(1_900, DRAINS)
    tape.run(2_910)
    assert (
        len(drain_violations(tape)) == 1
        and f"an RPC goes to {RUNNER} 1010 ms after {EDGE} was told" in drain_violations(tape)[0]
    )


@pytest.mark.parametrize("report_kind", ["gone", "replaced", "left out of a whole order"])
def test_every_report_of_an_end_stops_new_calls(report_kind):
    tape = ScriptedTape()
    tape.snapshot(10, WORKER)
    if report_kind == "gone":
        tape.update(1_000, gone=["w"])
    elif report_kind == "replaced":
        tape.update(1_000, RosterEntry("w", 9002, start="w#1"))
    else:
        tape.snapshot(1_000, number=2, complete=True)
    tape.run(2_500)
    assert len(drain_violations(tape)) == 1


def test_a_holder_that_is_behind_neither_revokes_a_drain_nor_ends_a_start():
    tape = ScriptedTape()
    tape.open("late", "holder-1")
    tape.snapshot(10, WORKER)
    tape.roster(1_000, DRAINS)
    tape.update(1_100, DRAINS)
    tape.snapshot(1_200, WORKER, number=1, link="late")  # from before the drain
    tape.run(2_500)
    assert len(drain_violations(tape)) == 1
    tape = ScriptedTape()
    tape.open("late", "holder-1")
    tape.snapshot(10, WORKER, number=4)
    tape.snapshot(20, RosterEntry("w", 9000, start="w#before"), number=3, link="late")
    tape.run(2_500)
    assert drain_violations(tape) == []  # it did not report the newer start as gone


def test_a_new_roster_epoch_supersedes_higher_numbers():
    tape = ScriptedTape()
    tape.snapshot(10, WORKER, number=1)
    tape.roster(500, WORKER, number=0, epoch="e2")
    tape.snapshot(600, DRAINS, number=0, source="e2")
    tape.run(1_700)
    assert len(drain_violations(tape)) == 1


SHARDS = [[{"port": 1}, {"port": 2}], [{"port": 2}, {"port": 1}]]
REPLACED = {"kind": "deploy", "at": "2 s", "lasts": "3 s", "share": 0.7}


def directory_day(faults):
    script = day("slots", faults, length="8 s", roster_lag="100 ms")
    deployment = json5.loads((EXAMPLES / "slots.json5").read_text())
    return script | {"deployment": deployment | {"directory": {"shards": SHARDS}}}


def broken_rules(played):
    return {violation.rule for violation in played.violations()}


def test_a_day_with_a_directory_keeps_all_rules_and_its_reports_are_counted():
    played = Played(directory_day([REPLACED]))
    figures = check_directory_delay(played.trace).figures
    assert broken_rules(played) == set() and figures["words of drains or ends"] > 20
    assert 0 < figures["longest way to an edge, ms"] < 200


def test_checks_detect_a_holder_that_delays_a_drain(monkeypatch):
    made = server.holder_settings
    late = 15_000  # ticks of 0.1 ms
    slow = lambda settings: replace(made(settings), urgent_delay=late, batch_delay=late)  # noqa: E731
    monkeypatch.setattr(server, "holder_settings", slow)
    assert broken_rules(Played(directory_day([REPLACED]))) == {"directory told in time"}


def test_checks_detect_an_edge_that_ignores_its_holders():
    def make(reactor, deployment, log):
        edge = Edge(reactor, deployment, log)
        facts = edge.known_workers.worker_info
        edge.known_workers.worker_info = lambda known: replace(
            facts(known), endpoint_state=EndpointState.SERVING
        )
        return edge

    assert broken_rules(Played(directory_day([REPLACED]), make)) == {"3 drains kept"}

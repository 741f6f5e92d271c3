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
W = RosterEntry("w", 9001, start=RUNNER)
DRAINS = RosterEntry("w", 9001, start=RUNNER, listing="draining")
LEASE = 30_000  # ticks of 0.1 ms


class Tape:
    """A hand-written tape; times in milliseconds."""

    def __init__(self, renewals=True):
        self.events = [HEADER]
        self.renews = renewals
        self.put(0, "roster/1", "open", roster=True)
        self.say(0, "roster/1", "<", Hello("lapistrestle.roster", 1, HOLDER))
        self.say(1, "roster/1", ">", RosterSnapshot(1, [W], "e1"))
        self.open("link", HOLDER)

    def put(self, at, on, what, **more):
        self.events.append({"at": at * 1000, "on": on, "is": what, **more})

    def say(self, at, on, sign, message):
        self.put(at, on, sign, line=msgspec.json.encode(message).decode())

    def open(self, link, holder):
        self.put(2, link, "open", directory=True, edge=EDGE, holder=holder)
        self.say(2, link, "<", wire.Watch(1, 0, 1, "f", 8))

    def snapshot(self, at, *entries, number=1, link="link", id=1, complete=False, source="e1"):
        revision = wire.Revision(source, number)
        made = wire.Snapshot(id, 1, revision, 1, [*map(wire.compact, entries)], complete, LEASE)
        self.say(at, link, ">", made)

    def update(self, at, *entries, number=2, gone=(), removed=(), link="link"):
        changes = [wire.PrefixChange(1, 0, list(removed))] if removed else []
        made = wire.Update(2, wire.Revision("e1", number), [*map(wire.compact, entries)], list(gone), changes)
        self.say(at, link, ">", made)

    def roster(self, at, *entries, number=2, epoch="e1"):
        self.say(at, "roster/1", ">", RosterUpdate(number, list(entries), epoch))

    def run(self, at):
        self.put(3, "runner/1", "open", runner="w", start=RUNNER, edge=EDGE)
        self.say(3, "runner/1", "<", Hello("lapistrestle.runner", 1, EDGE))
        self.say(at, "runner/1", "<", Run(1, "r", "f", "m", 100.0))

    def story(self, end=6_000):
        if self.renews:
            for at in range(100, end, 100):
                self.say(at, "link", "<", wire.Renew(at))
        self.put(end, "day", "trouble ends")
        self.events[1:] = sorted(self.events[1:], key=lambda event: event["at"])
        return Trace(self.events)


def prompt(tape):
    """Violations of the one-second limit, and the longest delay in milliseconds."""
    judged = check_directory_delay(tape.story())
    return [breach.message for breach in judged.violations], judged.figures["longest way to an edge, ms"]


def test_a_drain_reported_within_a_second_is_in_time_and_measured():
    tape = Tape()
    tape.snapshot(10, W)
    tape.roster(1_000, DRAINS)
    tape.update(1_400, DRAINS)
    assert prompt(tape) == ([], 400.0)


@pytest.mark.parametrize("never", [False, True])
def test_a_late_or_missing_report_of_a_drain_is_a_violation(never):
    tape = Tape()
    tape.snapshot(10, W)
    tape.roster(1_000, DRAINS)
    if not never:
        tape.update(2_100, DRAINS)
    breaches, _ = prompt(tape)
    assert len(breaches) == 1 and f"{EDGE} holds {RUNNER} by word of {HOLDER}" in breaches[0]


def test_a_removal_is_timed_from_the_rosters_message():
    tape = Tape()
    tape.snapshot(10, W)
    tape.roster(1_000, msgspec.structs.replace(W, listing="gone"))
    tape.update(2_100, gone=["w"])
    assert len(prompt(tape)[0]) == 1


@pytest.mark.parametrize(("begin", "end", "late"), [(900, 1_800, 0), (1_200, 1_900, 0), (1_200, 1_250, 1)])
def test_a_network_cut_or_a_stall_extends_the_deadline_by_its_duration(begin, end, late):
    for away in ("cut", "still"):
        tape = Tape()
        tape.snapshot(10, W)
        if away == "cut":
            tape.put(begin, "day", "cut", edge=EDGE, holder=HOLDER)
            tape.put(end, "day", "healed", edge=EDGE, holder=HOLDER)
        else:
            tape.put(begin, HOLDER, "stalled")
            tape.put(end, HOLDER, "resumed")
        tape.roster(1_000, DRAINS)
        tape.update(2_600, DRAINS)
        assert len(prompt(tape)[0]) == late, away


def test_overlapping_cut_and_stall_extend_the_deadline_once():
    tape = Tape()
    tape.snapshot(10, W)
    tape.put(1_200, HOLDER, "stalled")
    tape.put(1_300, "day", "cut", edge=EDGE, holder=HOLDER)
    tape.put(1_700, HOLDER, "resumed")
    tape.put(1_800, "day", "healed", edge=EDGE, holder=HOLDER)
    tape.roster(1_000, DRAINS)
    tape.update(2_700, DRAINS)  # due at 2,600
    assert len(prompt(tape)[0]) == 1


@pytest.mark.parametrize("told", [True, False])
def test_after_unchanged_an_edge_relies_on_the_new_connection(told):
    tape = Tape(renewals=False)
    tape.snapshot(10, W)
    tape.put(400, "link", "close")
    tape.open("other", HOLDER)
    tape.say(500, "other", "<", wire.Watch(7, 0, 1, "f", 8, "", "digest", True))
    tape.say(510, "other", ">", wire.Unchanged(7, 1, wire.Revision("e1", 1), 1, LEASE))
    for at in range(600, 3_000, 100):
        tape.say(at, "other", "<", wire.Renew(at))
    tape.roster(1_000, DRAINS)
    if told:
        tape.update(1_400, DRAINS, link="other")
    breaches, _ = prompt(tape)
    late = [f"{EDGE} holds {RUNNER} by word of {HOLDER}" in breach for breach in breaches]
    assert late == [] if told else late == [True]


def test_checks_detect_a_holder_that_sends_outdated_entries():
    tape = Tape()
    tape.roster(1_000, DRAINS)
    tape.snapshot(2_500, W, number=2)
    assert len(prompt(tape)[0]) == 1


def test_no_report_is_due_after_removal_from_the_prefix_or_lease_expiry():
    tape = Tape()
    tape.snapshot(10, W)
    tape.update(900, removed=["w"])
    tape.roster(1_000, DRAINS)
    assert prompt(tape)[0] == []
    tape = Tape(renewals=False)  # the lease ends at 3,002 ms
    tape.snapshot(10, W)
    tape.roster(2_500, DRAINS)
    assert prompt(tape)[0] == []


def kept(tape):
    return [breach.message for breach in check_drains(tape.story()).violations]


def test_drains_are_timed_from_the_holders_message():
    tape = Tape()
    tape.snapshot(10, W)
    tape.roster(1_000, DRAINS)
    tape.update(1_900, DRAINS)
    tape.run(2_800)
    assert kept(tape) == []
    tape = Tape()
    tape.snapshot(10, W)
    tape.roster(1_000, DRAINS)
    tape.update(1_900, DRAINS)
    tape.run(2_910)
    assert len(kept(tape)) == 1 and f"an RPC goes to {RUNNER} 1010 ms after {EDGE} was told" in kept(tape)[0]


@pytest.mark.parametrize("how", ["gone", "replaced", "left out of a whole order"])
def test_every_report_of_an_end_stops_new_calls(how):
    tape = Tape()
    tape.snapshot(10, W)
    if how == "gone":
        tape.update(1_000, gone=["w"])
    elif how == "replaced":
        tape.update(1_000, RosterEntry("w", 9002, start="w#1"))
    else:
        tape.snapshot(1_000, number=2, complete=True)
    tape.run(2_500)
    assert len(kept(tape)) == 1


def test_a_holder_that_is_behind_neither_revokes_a_drain_nor_ends_a_start():
    tape = Tape()
    tape.open("late", "holder-1")
    tape.snapshot(10, W)
    tape.roster(1_000, DRAINS)
    tape.update(1_100, DRAINS)
    tape.snapshot(1_200, W, number=1, link="late")  # from before the drain
    tape.run(2_500)
    assert len(kept(tape)) == 1
    tape = Tape()
    tape.open("late", "holder-1")
    tape.snapshot(10, W, number=4)
    tape.snapshot(20, RosterEntry("w", 9000, start="w#before"), number=3, link="late")
    tape.run(2_500)
    assert kept(tape) == []  # it did not report the newer start as gone


def test_a_new_roster_epoch_supersedes_higher_numbers():
    tape = Tape()
    tape.snapshot(10, W, number=1)
    tape.roster(500, W, number=0, epoch="e2")
    tape.snapshot(600, DRAINS, number=0, source="e2")
    tape.run(1_700)
    assert len(kept(tape)) == 1


SHARDS = [[{"port": 1}, {"port": 2}], [{"port": 2}, {"port": 1}]]
REPLACED = {"kind": "deploy", "at": "2 s", "lasts": "3 s", "share": 0.7}


def directory_day(troubles):
    script = day("slots", troubles, length="8 s", roster_lag="100 ms")
    deployment = json5.loads((EXAMPLES / "slots.json5").read_text())
    return script | {"deployment": deployment | {"directory": {"shards": SHARDS}}}


def rules_broken(played):
    return {breach.rule for breach in played.violations()}


def test_a_day_with_a_directory_keeps_all_rules_and_its_reports_are_counted():
    played = Played(directory_day([REPLACED]))
    figures = check_directory_delay(played.trace).figures
    assert rules_broken(played) == set() and figures["words of drains or ends"] > 20
    assert 0 < figures["longest way to an edge, ms"] < 200


def test_checks_detect_a_holder_that_delays_a_drain(monkeypatch):
    made = server.holder_settings
    late = 15_000  # ticks of 0.1 ms
    slow = lambda settings: replace(made(settings), urgent_delay=late, batch_delay=late)  # noqa: E731
    monkeypatch.setattr(server, "holder_settings", slow)
    assert rules_broken(Played(directory_day([REPLACED]))) == {"directory told in time"}


def test_checks_detect_an_edge_that_ignores_its_holders():
    def make(reactor, deployment, log):
        edge = Edge(reactor, deployment, log)
        facts = edge.known_workers.worker_info
        edge.known_workers.worker_info = lambda known: replace(
            facts(known), endpoint_state=EndpointState.SERVING
        )
        return edge

    assert rules_broken(Played(directory_day([REPLACED]), make)) == {"3 drains kept"}

"""Kinds of growth of the control roles: messages, bytes and steps at small sizes, never a clock."""

from collections.abc import Callable, Sequence
from typing import Any

import pytest

from benchmarks.scale import assumptions, fitting
from benchmarks.scale.fitting import Kind
from benchmarks.scale.measuring import count_steps
from benchmarks.scale.roles import (
    control_agreement,
    control_allowance,
    control_cold,
    control_gossip,
    control_rollout,
    control_roster,
)
from benchmarks.scale.samples import Dimension, Sample
from lapistrestle.agreement.messages import LogEntry
from lapistrestle.agreement.raft import RaftNode
from lapistrestle.edge.known_workers import KnownWorkers
from lapistrestle.fleet.member_table import MemberTable
from lapistrestle.policy.entities import Request, Worker
from lapistrestle.policy.slow_start import SlowStart
from lapistrestle.wire.json_lines import LineLimits

GIVEN = assumptions.load()
NO_WORSE = (Kind.FLAT, Kind.LOG, Kind.LINEAR)


def kind(sizes: Sequence[int], of: Callable[[int], float]) -> Kind:
    return fitting.kind_of(sizes, [of(size) for size in sizes])


# membership and digests


def gossip(size: int) -> Sample:
    return control_gossip.measure_member(size, 1, spans=1, seconds=4)


def test_what_a_member_sends_is_bounded_however_large_its_fleet() -> None:
    """At most ten datagrams per gossip round, two pings or replies a second, and occasional page requests."""
    small, large = gossip(200), gossip(400)
    assert small.messages_out == large.messages_out < 25
    assert abs(small.bytes_out / large.bytes_out - 1) < 0.1
    assert large.bytes_out > GIVEN.target.control_bytes_per_second  # a known overrun of the budget


GOSSIP_SIZES = (20, 40, 80, 160)


def gossip_steps(size: int) -> float:
    return control_gossip.steps_of(control_gossip.LoneMember(size - 1, 1).start())


def test_what_a_member_does_grows_no_worse_than_its_fleet() -> None:
    assert kind(GOSSIP_SIZES, gossip_steps) in NO_WORSE


def test_a_planted_scan_for_each_member_is_caught(monkeypatch: pytest.MonkeyPatch) -> None:
    live = MemberTable.live

    def scanned(table: MemberTable) -> Any:
        for member in table.members.values():
            assert all(other is member or other.name != member.name for other in table.members.values())
        return live(table)

    monkeypatch.setattr(MemberTable, "live", scanned)
    assert kind((8, 16, 32, 64), gossip_steps) is Kind.WORSE


def test_a_synthetic_fleet_costs_a_member_what_a_whole_one_does() -> None:
    lone = control_gossip.measure_member(40, 1, spans=1, seconds=20)
    whole = control_gossip.measure_in_fleet(40, 1)
    assert abs(lone.steps / whole.steps - 1) < 0.15
    assert abs(lone.bytes_out / whole.bytes_out - 1) < 0.15


# allowances and trials


def test_what_a_borrower_sends_does_not_grow_with_its_fleet() -> None:
    role = control_allowance.LendingRole()
    sent = [role.measure(Dimension.DISPATCHERS, size, 1, GIVEN).messages_out for size in (25, 50, 100, 200)]
    assert max(sent) <= 4  # a request and a reply, twice a second


def test_sharing_trials_out_grows_linearly_with_the_list() -> None:
    """Twice a second an edge goes through every instance of its list, to share out the trials."""

    def steps(size: int) -> float:
        return count_steps(control_allowance.together_of(size, 10).share_verdicts).instructions

    assert kind((200, 400, 800, 1_600), steps) is Kind.LINEAR


# the replicated log


def change_steps(log: int) -> float:
    agreed = control_agreement.Agreed(3, log, control_agreement.DELAY, 1)
    meter = agreed.meters[agreed.leader]
    meter.steps, meter.counts_steps = 0, True
    agreed.load(5, 1)
    assert len(agreed.took) == 5
    return meter.steps


LOGS = (200, 400, 800, 1_600)


def test_a_change_costs_a_leader_the_same_however_long_its_log() -> None:
    assert kind(LOGS, change_steps) is Kind.FLAT


def test_a_planted_scan_of_the_log_is_caught(monkeypatch: pytest.MonkeyPatch) -> None:
    append = RaftNode.append

    def scanned(member: RaftNode, entries: Sequence[LogEntry]) -> Any:
        assert all(entry.term >= 0 for entry in member.entries)
        append(member, entries)

    monkeypatch.setattr(RaftNode, "append", scanned)
    assert kind(LOGS, change_steps) is Kind.LINEAR


@pytest.mark.parametrize("members", [3, 5])
def test_every_change_is_agreed_in_one_round_and_sent_once_to_each_other(members: int) -> None:
    sample = control_agreement.by_changes(members, 16, control_agreement.DELAY, 1)
    figures = sample.figures
    assert figures["agreed of proposed"] == 1
    assert figures["proposal to agreement (ms)"] == 2 * control_agreement.DELAY / 10
    entry = figures["bytes to disk a change"]
    assert figures["bytes sent a change"] < 2 * (members - 1) * (entry + 100)


# configuration


def test_a_change_is_one_message_to_each_edge_and_its_work_grows_no_worse_than_linearly() -> None:
    sizes = (5, 10, 20, 40)
    samples = [control_rollout.planner_sample(size, 20) for size in sizes]
    for size, sample in zip(sizes, samples, strict=True):
        assert sample.messages == control_rollout.CHANGES * (size + 1)
    assert fitting.kind_of(sizes, [sample.steps for sample in samples]) in NO_WORSE


def test_an_entry_and_a_change_grow_no_worse_than_the_functions_with_a_rollout() -> None:
    """They grow because the handling of every entry goes through every rollout."""

    def entry(functions: int) -> float:
        state = control_rollout.keeper_of(functions)
        command = control_rollout.start_of(0, 1, "v3")
        return count_steps(lambda: state.apply(state.number + 1, command)).instructions

    def change(functions: int) -> float:
        source = control_rollout.source_with(functions)
        return count_steps(lambda: control_rollout.change_told(source, 1)).instructions

    assert kind((100, 200, 400, 800), entry) in NO_WORSE
    assert kind((100, 200, 400, 800), change) in NO_WORSE


def test_a_whole_plan_ends_at_the_longest_line() -> None:
    """The size of a plan is limited first by the default maximum length of a line."""
    figures = {f.name: f.value for f in control_rollout.longest_line(1, GIVEN, True)}
    most = int(figures["most functions in a whole plan that an edge takes"])
    assert len(control_rollout.whole_line(most)) <= LineLimits().max_line_bytes + 1
    assert len(control_rollout.whole_line(most + 1)) > LineLimits().max_line_bytes


# the endpoint list


CHANGED = (100, 200, 400, 800)


def list_change_steps(instances: int) -> float:
    following, line = control_roster.following_of(instances), control_roster.change_line(2, 1)
    return count_steps(lambda: control_roster.heard_change(following, line)).instructions


def test_one_change_of_the_list_costs_its_follower_the_same_at_any_length() -> None:
    assert kind(CHANGED, list_change_steps) is Kind.FLAT


def test_a_planted_scan_of_the_list_is_caught(monkeypatch: pytest.MonkeyPatch) -> None:
    facts = KnownWorkers.worker_info

    def scanned(following: KnownWorkers, known: Any) -> Any:
        assert sum(other is known for other in following.known.values()) == 1
        return facts(following, known)

    monkeypatch.setattr(KnownWorkers, "worker_info", scanned)
    assert kind(CHANGED, list_change_steps) is Kind.LINEAR


def test_a_change_goes_to_every_subscriber_and_a_snapshot_is_limited_by_the_line_length() -> None:
    hollow = control_roster.HollowRoster(50, 20)
    hollow.traffic.messages_out = 0
    hollow.change(1)
    assert hollow.traffic.messages_out == 20
    figures = {f.name: f.value for f in control_roster.longest_line(1, GIVEN, True)}
    most = int(figures["most instances in a whole list"])
    assert len(control_roster.whole_line(most)) <= LineLimits().max_line_bytes + 1
    assert len(control_roster.whole_line(most + 1)) > LineLimits().max_line_bytes


# cold instances


@pytest.mark.parametrize("dispatchers", [1, 8, 50, 200])
def test_the_slow_start_budget_holds_for_all_dispatchers_together(dispatchers: int) -> None:
    calls = GIVEN.target.calls_per_second / GIVEN.target.instances
    sums, turns = control_cold.windows_of(dispatchers, calls)
    assert min(sums) >= 1
    assert max(sums) <= 2
    assert sum(turns) <= control_cold.WINDOWS * 2


def room_steps(dispatchers: int) -> float:
    made, cold = control_cold.dispatcher_of(0, dispatchers, 1.0)
    request = Request("r", control_cold.FUNCTION, 0, 0, control_cold.NOW + 30_000)
    return count_steps(lambda: made.slow_start.has_capacity(cold, request)).instructions


def test_a_capacity_check_costs_the_same_however_many_dispatchers(monkeypatch: pytest.MonkeyPatch) -> None:
    sizes = (50, 100, 200, 400)
    assert kind(sizes, room_steps) is Kind.FLAT
    room = SlowStart.has_capacity

    def scanned(slow_start: SlowStart, worker: Worker, request: Request) -> Any:
        assert sum(1 for _ in range(slow_start.settings.dispatcher_count))
        return room(slow_start, worker, request)

    monkeypatch.setattr(SlowStart, "has_capacity", scanned)
    assert kind(sizes, room_steps) is not Kind.FLAT

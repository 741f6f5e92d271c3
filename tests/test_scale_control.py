"""How the work of the control plane grows with its dimensions, at small sizes.

Counted in messages, bytes and steps, never timed. Some tests add a scan of everything on purpose and check
that it is detected.
"""

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

INPUTS = assumptions.load()
AT_MOST_LINEAR = (Kind.FLAT, Kind.LOG, Kind.LINEAR)


def growth_kind(sizes: Sequence[int], measure: Callable[[int], float]) -> Kind:
    return fitting.kind_of(sizes, [measure(size) for size in sizes])


# membership and digests


def gossip(size: int) -> Sample:
    return control_gossip.measure_member(size, 1, spans=1, seconds=4)


def test_what_a_member_sends_is_bounded_however_large_its_fleet() -> None:
    """At most ten datagrams per gossip round, two pings or replies a second, and occasional page requests."""
    small, large = gossip(200), gossip(400)
    assert small.messages_out == large.messages_out < 25
    assert abs(small.bytes_out / large.bytes_out - 1) < 0.1
    assert large.bytes_out > INPUTS.target.control_bytes_per_second  # a known overrun of the budget


GOSSIP_SIZES = (20, 40, 80, 160)


def gossip_steps(size: int) -> float:
    return control_gossip.steps_of(control_gossip.LoneMember(size - 1, 1).start())


def test_the_work_of_a_member_grows_at_most_linearly_with_its_fleet() -> None:
    assert growth_kind(GOSSIP_SIZES, gossip_steps) in AT_MOST_LINEAR


def test_a_deliberate_scan_for_each_member_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    live = MemberTable.live

    def scanned(table: MemberTable) -> Any:
        for member in table.members.values():
            assert all(other is member or other.name != member.name for other in table.members.values())
        return live(table)

    monkeypatch.setattr(MemberTable, "live", scanned)
    assert growth_kind((8, 16, 32, 64), gossip_steps) is Kind.WORSE


def test_a_member_of_a_simulated_fleet_does_the_work_of_one_in_a_real_fleet() -> None:
    single = control_gossip.measure_member(40, 1, spans=1, seconds=20)
    whole = control_gossip.measure_in_fleet(40, 1)
    assert abs(single.steps / whole.steps - 1) < 0.15
    assert abs(single.bytes_out / whole.bytes_out - 1) < 0.15


# quota leases, and trial requests to ejected workers


def test_what_a_borrower_sends_does_not_grow_with_its_fleet() -> None:
    role = control_allowance.LendingRole()
    sent = [role.measure(Dimension.DISPATCHERS, size, 1, INPUTS).messages_out for size in (25, 50, 100, 200)]
    assert max(sent) <= 4  # a request and a reply, twice a second


def test_sharing_trials_out_grows_linearly_with_the_list() -> None:
    """Twice a second an edge goes through its whole list, to see which workers it sends trial requests to."""

    def steps(size: int) -> float:
        return count_steps(control_allowance.together_of(size, 10).share_verdicts).instructions

    assert growth_kind((200, 400, 800, 1_600), steps) is Kind.LINEAR


# the replicated log


def change_steps(log: int) -> float:
    cluster = control_agreement.Agreed(3, log, control_agreement.DELAY, 1)
    meter = cluster.meters[cluster.leader]
    meter.steps, meter.counts_steps = 0, True
    cluster.load(5, 1)
    assert len(cluster.took) == 5
    return meter.steps


LOG_LENGTHS = (200, 400, 800, 1_600)


def test_a_change_costs_a_leader_the_same_however_long_its_log() -> None:
    assert growth_kind(LOG_LENGTHS, change_steps) is Kind.FLAT


def test_a_deliberate_scan_of_the_log_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    append = RaftNode.append

    def scanned(member: RaftNode, entries: Sequence[LogEntry]) -> Any:
        assert all(entry.term >= 0 for entry in member.entries)
        append(member, entries)

    monkeypatch.setattr(RaftNode, "append", scanned)
    assert growth_kind(LOG_LENGTHS, change_steps) is Kind.LINEAR


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
    assert fitting.kind_of(sizes, [sample.steps for sample in samples]) in AT_MOST_LINEAR


def test_an_entry_and_a_change_grow_no_worse_than_the_functions_with_a_rollout() -> None:
    """They grow because the handling of every entry goes through every rollout."""

    def entry(functions: int) -> float:
        state = control_rollout.keeper_of(functions)
        command = control_rollout.start_of(0, 1, "v3")
        return count_steps(lambda: state.apply(state.number + 1, command)).instructions

    def change(functions: int) -> float:
        source = control_rollout.source_with(functions)
        return count_steps(lambda: control_rollout.change_told(source, 1)).instructions

    assert growth_kind((100, 200, 400, 800), entry) in AT_MOST_LINEAR
    assert growth_kind((100, 200, 400, 800), change) in AT_MOST_LINEAR


def test_a_whole_plan_ends_at_the_longest_line() -> None:
    """The size of a plan is limited first by the default maximum length of a line."""
    figures = {f.name: f.value for f in control_rollout.longest_line(1, INPUTS, True)}
    most = int(figures["most functions in a whole plan that an edge takes"])
    assert len(control_rollout.whole_line(most)) <= LineLimits().max_line_bytes + 1
    assert len(control_rollout.whole_line(most + 1)) > LineLimits().max_line_bytes


# the endpoint list


LIST_SIZES = (100, 200, 400, 800)


def list_change_steps(instances: int) -> float:
    following, line = control_roster.following_of(instances), control_roster.change_line(2, 1)
    return count_steps(lambda: control_roster.heard_change(following, line)).instructions


def test_one_change_of_the_list_costs_its_follower_the_same_at_any_length() -> None:
    assert growth_kind(LIST_SIZES, list_change_steps) is Kind.FLAT


def test_a_deliberate_scan_of_the_list_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    worker_info = KnownWorkers.worker_info

    def scanned(following: KnownWorkers, known: Any) -> Any:
        assert sum(other is known for other in following.known.values()) == 1
        return worker_info(following, known)

    monkeypatch.setattr(KnownWorkers, "worker_info", scanned)
    assert growth_kind(LIST_SIZES, list_change_steps) is Kind.LINEAR


def test_a_change_goes_to_every_subscriber_and_a_snapshot_is_limited_by_the_line_length() -> None:
    hollow = control_roster.HollowRoster(50, 20)
    hollow.traffic.messages_out = 0
    hollow.change(1)
    assert hollow.traffic.messages_out == 20
    figures = {f.name: f.value for f in control_roster.longest_line(1, INPUTS, True)}
    most = int(figures["most instances in a whole list"])
    assert len(control_roster.whole_line(most)) <= LineLimits().max_line_bytes + 1
    assert len(control_roster.whole_line(most + 1)) > LineLimits().max_line_bytes


# cold instances


@pytest.mark.parametrize("dispatchers", [1, 8, 50, 200])
def test_the_slow_start_budget_holds_for_all_dispatchers_together(dispatchers: int) -> None:
    calls = INPUTS.target.calls_per_second / INPUTS.target.instances
    sent_per_window, turns = control_cold.windows_of(dispatchers, calls)
    assert min(sent_per_window) >= 1
    assert max(sent_per_window) <= 2
    assert sum(turns) <= control_cold.WINDOWS * 2


def capacity_check_steps(dispatchers: int) -> float:
    made, cold = control_cold.dispatcher_of(0, dispatchers, 1.0)
    request = Request("r", control_cold.FUNCTION, 0, 0, control_cold.NOW + 30_000)
    return count_steps(lambda: made.slow_start.has_capacity(cold, request)).instructions


def test_a_capacity_check_costs_the_same_however_many_dispatchers(monkeypatch: pytest.MonkeyPatch) -> None:
    sizes = (50, 100, 200, 400)
    assert growth_kind(sizes, capacity_check_steps) is Kind.FLAT
    has_capacity = SlowStart.has_capacity

    def scanned(slow_start: SlowStart, worker: Worker, request: Request) -> Any:
        assert sum(1 for _ in range(slow_start.settings.dispatcher_count))
        return has_capacity(slow_start, worker, request)

    monkeypatch.setattr(SlowStart, "has_capacity", scanned)
    assert growth_kind(sizes, capacity_check_steps) is not Kind.FLAT

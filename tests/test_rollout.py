"""Rollout decisions, without I/O: choice of versions, evidence, the state machine, leases."""

from dataclasses import replace
from itertools import pairwise
from typing import Any

import numpy as np
import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from lapistrestle.rollout.evidence import Evidence, OutcomeCounts, Verdict, log_harm_ratio, log_safety_ratio
from lapistrestle.rollout.lease import (
    LEASE_DURATION,
    LEASE_TRANSITIONS,
    RECOVERY_PERIOD,
    Lease,
    LeaseEvent,
    LeaseState,
)
from lapistrestle.rollout.routing import FIRST_PLAN_TIMEOUT, MAX_REMEMBERED, Routing
from lapistrestle.rollout.state_machine import (
    TRANSITIONS,
    Rollout,
    RolloutInput,
    RolloutState,
)
from lapistrestle.rollout.version_choice import (
    REPEATED_ATTEMPT_CHOICES,
    EarlierVersion,
    VersionChoice,
    attempt_key,
    choose_after_denial,
    choose_version,
    hash_position,
)
from lapistrestle.rollout_types import CommandOutcome, TrafficSplit

SPLIT = TrafficSplit("f", "v1", "v2", weight=0.3, peak_weight=0.3)
S = 10_000
KEYS = [f"k{n}" for n in range(4_000)]


def candidate_keys(split: TrafficSplit, **more: Any) -> set[str]:
    arguments: dict[str, Any] = {"kind": "idempotent", "repeat": False, "tokens_span": False} | more
    return {key for key in KEYS if choose_version(split, key, **arguments) is VersionChoice.CANDIDATE}


def test_a_growing_weight_only_adds_keys_and_matches_their_fraction() -> None:
    key_sets = [candidate_keys(replace(SPLIT, weight=s, peak_weight=s)) for s in (0.0, 0.1, 0.3, 0.7, 1.0)]
    assert all(a <= b for a, b in pairwise(key_sets))
    assert [round(len(s) / len(KEYS), 1) for s in key_sets] == [0.0, 0.1, 0.3, 0.7, 1.0]


def test_another_candidate_starts_with_other_keys() -> None:
    first, second = candidate_keys(SPLIT), candidate_keys(replace(SPLIT, candidate="v3"))
    assert 0.2 < len(first & second) / len(first) < 0.4


def test_all_attempts_of_a_request_have_the_same_key() -> None:
    assert attempt_key("a", 7, "c1/1") == attempt_key("a", 7, "c9/5")
    assert attempt_key("", 7, "c1/1") == attempt_key("", 7, "c9/5") != attempt_key("7", None, "")
    assert attempt_key("", None, "c1/1") != attempt_key("", None, "c1/2")


@pytest.mark.parametrize(
    ("kind", "repeat", "tokens_span", "expected"),
    [
        ("idempotent", True, False, VersionChoice.SETTLED), ("tokened", False, False, VersionChoice.SETTLED),
        ("tokened", True, False, VersionChoice.ABORT), ("tokened", True, True, VersionChoice.SETTLED),
        ("side-effecting", True, False, VersionChoice.SETTLED),
    ],
)  # fmt: skip
def test_the_choice_for_requests_that_may_have_run_on_a_withdrawn_version(
    kind: str, repeat: bool, tokens_span: bool, expected: VersionChoice
) -> None:
    back = replace(SPLIT, weight=0.0, withdrawn=True)
    below_peak = [key for key in KEYS if hash_position("f", "v2", key) < 0.3]
    others = [key for key in KEYS if hash_position("f", "v2", key) >= 0.3]
    assert {choose_version(back, key, kind, repeat, tokens_span) for key in below_peak} == {expected}
    assert {choose_version(back, key, kind, repeat, tokens_span) for key in others} == {VersionChoice.SETTLED}


def test_a_tokened_retry_goes_only_to_the_version_of_earlier_attempts() -> None:
    """Also if the weight has grown since, or the first attempt was sent by another edge."""
    grown = replace(SPLIT, weight=0.3, peak_weight=0.6)

    def choices(earlier: EarlierVersion) -> list[VersionChoice]:
        made: dict[float, VersionChoice] = {}
        for low, high in ((0.0, 0.3), (0.3, 0.6), (0.6, 1.0)):
            keys = [key for key in KEYS if low <= hash_position("f", "v2", key) < high]
            (made[low],) = {choose_version(grown, key, "tokened", True, False, earlier) for key in keys}
        return list(made.values())

    assert choices(EarlierVersion.SETTLED) == [VersionChoice.SETTLED] * 3
    assert choices(EarlierVersion.CANDIDATE) == [
        VersionChoice.CANDIDATE,
        VersionChoice.ABORT,
        VersionChoice.ABORT,
    ]
    assert choices(EarlierVersion.UNKNOWN) == [
        VersionChoice.ABORT,
        VersionChoice.ABORT,
        VersionChoice.SETTLED,
    ]
    assert set(REPEATED_ATTEMPT_CHOICES) == {
        (w, b, m) for w, b in ((True, True), (False, True), (False, False)) for m in EarlierVersion
    }


@pytest.mark.parametrize("may_have_run", [False, True])
@pytest.mark.parametrize("span", [False, True])
def test_a_denied_request_moves_only_if_it_is_safe_on_another_version(may_have_run: bool, span: bool) -> None:
    expected = VersionChoice.ABORT if may_have_run and not span else VersionChoice.SETTLED
    assert choose_after_denial("tokened", may_have_run, span) is expected
    assert choose_after_denial("idempotent", may_have_run, span) is VersionChoice.SETTLED
    assert choose_after_denial("side-effecting", False, span) is VersionChoice.SETTLED


def test_an_edge_without_a_lease_assumes_the_greatest_peak_weight() -> None:
    routing = Routing()
    routing.apply_plan(1, 1, True, [replace(SPLIT, weight=0.0, peak_weight=0.01)])
    keys = [key for key in KEYS if hash_position("f", "v2", key) > 0.5][:50]
    assert {routing.route("f", key, "tokened", True, 0).name for key in keys} == {""}
    first = {routing.route("f", key, "tokened", False, 0).name for key in keys}
    again = {routing.route("f", key, "tokened", True, 0).name for key in keys}
    assert first == again == {"f@v1"}


def test_an_edge_sends_a_retry_to_the_version_of_the_first_attempt() -> None:
    routing = Routing()
    send_heartbeats(routing.lease, 0, 40_001)
    routing.apply_plan(1, 1, True, [replace(SPLIT, weight=0.1, peak_weight=0.3)])
    keys = [key for key in KEYS if hash_position("f", "v2", key) < 0.3]
    first = {key: routing.route("f", key, "tokened", False, 40_100).name for key in keys}
    routing.apply_plan(1, 2, False, [replace(SPLIT, weight=0.3, peak_weight=1.0)])
    again = {key: routing.route("f", key, "tokened", True, 40_100).name for key in keys}
    assert first == again and set(first.values()) == {"f@v1", "f@v2"}
    assert {routing.route("f", key, "idempotent", True, 40_100).name for key in keys} == {"f@v2"}


def test_the_cache_of_sent_versions_is_bounded() -> None:
    routing = Routing()
    for number in range(3 * MAX_REMEMBERED):
        routing.remember_version("f", str(number), "v1")
    assert len(routing.sent_versions) + len(routing.older_sent_versions) <= 2 * MAX_REMEMBERED
    assert routing.earlier_version(SPLIT, str(3 * MAX_REMEMBERED - 1)) is EarlierVersion.SETTLED
    assert routing.earlier_version(SPLIT, "0") is EarlierVersion.UNKNOWN


def test_a_withdrawn_version_stays_barred_until_a_plan_uses_it_again() -> None:
    """The planner drops it from the plan, and preloads by the decision module would load it again."""
    routing = Routing()
    assert routing.apply_plan(1, 1, True, [replace(SPLIT, weight=0.0, withdrawn=True)]) == ["f@v2"]
    assert routing.apply_plan(1, 2, False, [TrafficSplit("f", "v1")]) == [] and routing.is_barred("f@v2", 0)
    routing.apply_plan(1, 3, False, [TrafficSplit("f", "v1", "v3", 0.1, 0.1)])
    assert routing.is_barred("f@v2", 0)
    send_heartbeats(routing.lease, 0, 40_001)
    routing.apply_plan(1, 4, False, [replace(SPLIT, weight=0.1)])
    assert not routing.is_barred("f@v2", 40_001)


def test_a_rerouted_request_and_its_retries_go_to_the_settled_version() -> None:
    routing = Routing()
    routing.apply_plan(1, 1, True, [replace(SPLIT, weight=0.0, peak_weight=1.0, withdrawn=True)])
    assert routing.reroute("f@v2", "k1").name == "f@v1"
    assert routing.route("f", "k1", "tokened", True, 0).name == "f@v1"
    assert routing.route("f", "k2", "tokened", True, 0).name == ""
    assert (
        routing.reroute("h@v9", "k1").name == "h"
    )  # without a split, the unversioned function and not the barred version


def test_a_restored_plan_gives_a_candidate_no_weight_and_ignores_older_planners() -> None:
    routing = Routing()
    routing.restore_plan(
        3, 7, [replace(SPLIT, weight=0.9, peak_weight=0.9), TrafficSplit("g", "v5")], ["h@v1"]
    )
    assert {routing.route("f", key, "idempotent", False, 0).name for key in KEYS[:50]} == {"f@v1"}
    assert routing.route("g", "k", "idempotent", False, 0).name == "g@v5"
    assert routing.is_barred("h@v1", 0) and routing.is_barred("f@v2", 0)
    assert routing.apply_plan(2, 900, True, []) is None  # an older planner
    assert routing.apply_plan(3, 7, True, [TrafficSplit("g", "v5")]) == []


def test_an_edge_without_a_plan_waits_for_the_first_with_a_timeout() -> None:
    routing = Routing()
    assert routing.awaits_first_plan(FIRST_PLAN_TIMEOUT - 1) and not routing.awaits_first_plan(
        FIRST_PLAN_TIMEOUT
    )
    routing.apply_plan(1, 0, True, [])
    assert not routing.awaits_first_plan(0)


def test_a_promoted_candidate_needs_no_lease() -> None:
    routing = Routing()
    routing.apply_plan(1, 1, True, [TrafficSplit("f", "v1", "v2", 1.0, 1.0, promoted=True)])
    assert routing.route("f", "k1", "idempotent", False, 10**6).name == "f@v2"
    assert not routing.is_barred("f@v2", 10**6) and routing.recent_counts(10**6) == {}


def test_without_a_candidate_all_requests_go_to_the_settled_version() -> None:
    assert choose_version(TrafficSplit("f", "v1"), "k", "tokened", True, False) is VersionChoice.SETTLED


# evidence


def test_repeated_late_or_reordered_reports_add_nothing() -> None:
    evidence = Evidence()
    assert evidence.add_report("e0", "s1", 5, OutcomeCounts(100, 1, 10, 0))
    assert not evidence.add_report("e0", "s1", 5, OutcomeCounts(100, 1, 10, 0))
    assert not evidence.add_report("e0", "s1", 5, OutcomeCounts(60, 1, 6, 0))
    assert evidence.add_report("e0", "s2", 5, OutcomeCounts(5, 0, 1, 0))  # the edge has restarted
    assert evidence.add_report("e1", "s1", 5, OutcomeCounts(7, 0, 2, 1))
    assert evidence.totals_by_minute() == {5: OutcomeCounts(112, 1, 13, 1)}


def test_a_fault_of_both_versions_is_no_evidence_of_harm() -> None:
    assert log_harm_ratio(OutcomeCounts(900, 900, 100, 100)) == 0.0
    assert log_harm_ratio(OutcomeCounts(900, 450, 100, 50)) < 0
    assert log_harm_ratio(OutcomeCounts(900, 9, 100, 30)) > 10


def test_a_version_without_traffic_gives_no_evidence() -> None:
    assert (
        log_harm_ratio(OutcomeCounts(900, 9, 0, 0))
        == log_safety_ratio(OutcomeCounts(900, 9, 0, 0))
        == log_safety_ratio(OutcomeCounts(0, 0, 90, 0))
        == 0.0
    )
    evidence = Evidence()
    evidence.add_report("e", "s", 0, OutcomeCounts(10_000, 10, 20, 0))
    assert not evidence.verdict().may_advance


def simulate_evidence(
    rate: float,
    worse: float,
    seed: int,
    minutes: int = 60,
    requests: int = 600,
    weight: float = 0.1,
    fault_rate: float = 0.0,
) -> tuple[str, int]:
    """Return "back", "grow" or "held" for a simulated candidate, and after how many minutes."""
    random, evidence = np.random.default_rng(seed), Evidence()
    for minute in range(minutes):
        fault = fault_rate if minute % 7 == 3 else 0.0
        new = int(random.binomial(requests, weight))
        bad = [min(1.0, r + fault) for r in (rate, rate + worse)]
        counts = int(random.binomial(requests - new, bad[0])), int(random.binomial(new, bad[1]))
        evidence.add_report("e", "s", minute, OutcomeCounts(requests - new, counts[0], new, counts[1]))
        found = evidence.verdict()
        if found.must_roll_back or found.may_advance:
            return "back" if found.must_roll_back else "grow", minute + 1
    return "held", minutes


@pytest.mark.parametrize("fault_rate", [0.0, 0.3])
def test_a_good_candidate_is_rarely_rolled_back(fault_rate: float) -> None:
    ends = [simulate_evidence(0.01, 0.0, seed, fault_rate=fault_rate)[0] for seed in range(100)]
    assert ends.count("back") <= 3 and ends.count("grow") >= 90


@pytest.mark.parametrize(("worse", "within"), [(0.1, 4), (0.3, 2)])
def test_a_bad_candidate_is_rolled_back_soon(worse: float, within: int) -> None:
    ends = [simulate_evidence(0.01, worse, seed) for seed in range(40)]
    assert all(end == "back" for end, _ in ends)
    assert sorted(minute for _, minute in ends)[len(ends) // 2] <= within


# the state machine


def rollout() -> Rollout:
    return Rollout("f", "v1", "v2", (0.01, 0.1, 0.5, 1.0), retention=50_000)


@pytest.fixture
def growing() -> Rollout:
    made = rollout()
    made.handle(RolloutInput.START, 0)
    made.handle(RolloutInput.REPLICAS_READY, S)
    return made


def state_of(made: Rollout) -> RolloutState:
    """Return the state; a function call, as type checkers narrow the attribute by earlier assertions."""
    return made.state


def step(made: Rollout, at: int, replicas_ready: bool = True) -> None:
    """Evaluate twice: to announce the step, and to take it."""
    made.evaluate(at, replicas_ready)
    made.evaluate(at + S, replicas_ready)


def good(made: Rollout) -> None:
    made.evidence.add_report("e", "s", len(made.history), OutcomeCounts(5_000, 10, 5_000, 10))


def test_a_rollout_loads_first_and_grows_by_evidence_until_settled() -> None:
    made = rollout()
    assert made.handle(RolloutInput.START, 0) == CommandOutcome.DONE
    assert made.split() == TrafficSplit("f", "v1", "v2", 0.0, 0.0, next_weight=0.01)
    made.evaluate(S, replicas_ready=False)
    assert state_of(made) is RolloutState.WARMING
    step(made, 2 * S)
    assert made.split() == TrafficSplit("f", "v1", "v2", 0.01, 0.01, next_weight=0.1)
    step(made, 4 * S)
    assert made.weight == 0.01  # no evidence, no step
    for turn, expected in enumerate((0.1, 0.5, 0.9)):
        good(made)
        step(made, (10 + 5 * turn) * S, replicas_ready=False)
        assert made.weight < expected  # evidence, but its replicas are not loaded
        step(made, (12 + 5 * turn) * S)
        assert made.weight == expected
    good(made)
    step(made, 40 * S)
    assert state_of(made) is RolloutState.SETTLED
    assert made.split() == TrafficSplit("f", "v1", "v2", 1.0, 1.0, next_weight=1.0, promoted=True)
    made.evaluate(41 * S + made.retention, replicas_ready=True)
    assert state_of(made) is RolloutState.SETTLED and made.split() == TrafficSplit("f", "v2")


def test_harm_rolls_back_even_a_held_rollout(growing: Rollout) -> None:
    assert growing.handle(RolloutInput.HOLD, 2 * S, "duty", "looking") == CommandOutcome.DONE
    growing.evidence.add_report("e", "s", 0, OutcomeCounts(1_000, 5, 100, 40))
    growing.evaluate(3 * S, replicas_ready=True)
    assert state_of(growing) is RolloutState.WITHDRAWING and growing.weight == 0.0
    assert growing.split() == TrafficSplit("f", "v1", "v2", 0.0, 0.01, withdrawn=True)
    growing.evaluate(3 * S + 49_999, replicas_ready=True)
    assert state_of(growing) is RolloutState.WITHDRAWING
    growing.evaluate(3 * S + 50_000, replicas_ready=True)
    assert state_of(growing) is RolloutState.WITHDRAWN and growing.split() == TrafficSplit("f", "v1")


def test_each_step_starts_with_no_evidence(growing: Rollout) -> None:
    good(growing)
    step(growing, 2 * S)
    assert growing.weight == 0.1 and growing.evidence.verdict() == Verdict(0.0, 0.0, 0, 0)


def test_repeated_commands_have_nothing_to_do(growing: Rollout) -> None:
    assert (
        growing.handle(RolloutInput.HOLD, S + 1) == CommandOutcome.DONE
        and growing.handle(RolloutInput.HOLD, S + 2) == CommandOutcome.NOTHING_TO_DO
    )
    assert (
        growing.handle(RolloutInput.ROLL_BACK, S + 3) == CommandOutcome.DONE
        and growing.handle(RolloutInput.ROLL_BACK, S + 4) == CommandOutcome.NOTHING_TO_DO
    )
    growing.handle(RolloutInput.RETENTION_ENDED, S + 5)
    assert (
        growing.handle(RolloutInput.ROLL_BACK, S + 6) == CommandOutcome.NOTHING_TO_DO
        and growing.handle(RolloutInput.ADVANCE, 3 * S) == CommandOutcome.REFUSED
    )
    assert [entry.input.value for entry in growing.history] == ["start", "warm", "hold", "back", "forgotten"]


def test_a_rollout_held_before_its_replicas_are_loaded_returns_to_warming() -> None:
    made = rollout()
    made.handle(RolloutInput.START, 0)
    made.handle(RolloutInput.HOLD, 1)
    made.handle(RolloutInput.ADVANCE, S)
    assert made.state is RolloutState.WARMING and made.weight == 0.0


def test_a_step_is_announced_one_second_in_advance(growing: Rollout) -> None:
    assert (
        growing.handle(RolloutInput.ADVANCE, 2 * S) == CommandOutcome.DONE
        and growing.weight == growing.split().peak_weight == 0.01
    )
    growing.evaluate(2 * S + 1, replicas_ready=False)
    assert growing.weight == 0.01 and growing.split().peak_weight == 0.1
    growing.evaluate(3 * S, replicas_ready=False)
    assert growing.weight == 0.01
    growing.evaluate(3 * S + 1, replicas_ready=False)
    assert growing.weight == growing.split().peak_weight == 0.1


@pytest.mark.parametrize("rollout_input", [RolloutInput.HOLD, RolloutInput.ROLL_BACK])
def test_an_announced_step_can_be_cancelled(growing: Rollout, rollout_input: RolloutInput) -> None:
    growing.handle(RolloutInput.ADVANCE, 2 * S)
    growing.evaluate(2 * S, replicas_ready=True)
    growing.handle(rollout_input, 2 * S + 5)
    growing.evaluate(4 * S, replicas_ready=True)
    assert growing.step < 1 and growing.weight < 0.1
    if rollout_input is RolloutInput.ROLL_BACK:
        assert growing.split().peak_weight == 0.01


def settle(made: Rollout) -> Rollout:
    for turn in range(4):
        made.handle(RolloutInput.ADVANCE, turn * S)
        step(made, turn * S)
    assert made.state is RolloutState.SETTLED and made.state_since == 4 * S
    return made


def test_a_settled_candidate_can_be_rolled_back_for_all_keys(growing: Rollout) -> None:
    made = settle(growing)
    assert made.handle(RolloutInput.ROLL_BACK, 6 * S) == CommandOutcome.DONE
    assert made.split() == TrafficSplit("f", "v1", "v2", 0.0, 1.0, withdrawn=True)
    made.evaluate(6 * S + made.retention, replicas_ready=False)
    assert made.state is RolloutState.WITHDRAWN and made.split() == TrafficSplit("f", "v1")


def test_a_settled_candidate_can_be_rolled_back_after_the_retention(growing: Rollout) -> None:
    made = settle(growing)
    made.evaluate(4 * S + made.retention, replicas_ready=False)
    assert not made.previous_retained and made.handle(RolloutInput.ROLL_BACK, 100 * S) == CommandOutcome.DONE
    assert made.split() == TrafficSplit("f", "v1", "v2", 0.0, 1.0, withdrawn=True)


COMMANDS = [
    RolloutInput.START,
    RolloutInput.ADVANCE,
    RolloutInput.HOLD,
    RolloutInput.RESUME,
    RolloutInput.ROLL_BACK,
]


class RolloutMachine(RuleBasedStateMachine):
    """Invariants of a rollout under any sequence of inputs."""

    @initialize()
    def begin(self) -> None:
        self.made = rollout()
        self.now = 0
        self.last = 0.0
        self.over = False
        self.peaks = [(-(10**9), 0.0)]  # time and value of each announced peak weight

    @rule(rollout_input=st.sampled_from(COMMANDS), wait=st.integers(0, 60_000))
    def send_input(self, rollout_input: RolloutInput, wait: int) -> None:
        self.now += wait
        before = (self.made.state, self.made.step)
        outcome = self.made.handle(rollout_input, self.now)
        if outcome != CommandOutcome.DONE:
            assert (self.made.state, self.made.step) == before

    @rule(tally=st.tuples(*[st.integers(0, 300)] * 4), warm=st.booleans())
    def tick(self, tally: tuple[int, int, int, int], warm: bool) -> None:
        settled, settled_bad, candidate, candidate_bad = tally
        counts = OutcomeCounts(settled + settled_bad, settled_bad, candidate + candidate_bad, candidate_bad)
        self.made.evidence.add_report("e", "s", self.now, counts)
        self.made.evaluate(self.now, warm)

    @invariant()
    def verify_invariants(self) -> None:
        made, split = self.made, self.made.split()
        gone = made.state in (RolloutState.WITHDRAWING, RolloutState.WITHDRAWN)
        assert not (self.over and not gone)  # a withdrawn candidate never returns
        self.over = gone
        assert split.weight == 0.0 or not gone
        assert 0.0 <= made.weight <= made.peak_weight <= 1.0 or made.state is RolloutState.SETTLED
        if not gone:
            assert made.weight >= self.last  # the weight grows until it is rolled back
            self.last = made.weight
        if split.candidate and not gone:
            announced = next(peak for at, peak in reversed(self.peaks) if at <= self.now - 10_000)
            assert split.weight <= announced  # also under the plan of one second ago
            self.peaks.append((self.now, split.peak_weight))
        assert made.weight in (0.0, 0.01, 0.1, 0.5, 0.9, 1.0)


RolloutMachine.TestCase.settings = settings(
    max_examples=80, stateful_step_count=25, deadline=None, derandomize=True
)
TestRolloutMachine = RolloutMachine.TestCase


def test_every_state_but_the_withdrawn_ones_can_be_rolled_back() -> None:
    ends = {RolloutState.WITHDRAWING, RolloutState.WITHDRAWN}
    assert {state for state, rollout_input in TRANSITIONS if rollout_input is RolloutInput.ROLL_BACK} == set(
        RolloutState
    ) - ends


# leases


def send_heartbeats(lease: Lease, begin: int, end: int, interval: int = 2_000, delay: int = 100) -> None:
    for now in range(begin, end, interval):
        lease.on_heartbeat(now - delay, now)


def test_a_weight_is_used_only_after_uninterrupted_heartbeats() -> None:
    lease = Lease()
    send_heartbeats(lease, 0, RECOVERY_PERIOD)
    assert not lease.is_usable(RECOVERY_PERIOD - 1)
    send_heartbeats(lease, RECOVERY_PERIOD, RECOVERY_PERIOD + 4_001)
    assert lease.is_usable(RECOVERY_PERIOD + 4_100)


def test_a_lease_expires_within_a_second_also_with_delayed_heartbeats() -> None:
    lease = Lease()
    send_heartbeats(lease, 0, 40_001)
    assert lease.is_usable(40_001)
    assert not lease.is_usable(39_900 + LEASE_DURATION) and LEASE_DURATION + 100 < 10_000
    lease.on_heartbeat(39_950, 70_000)  # a heartbeat delayed in transit
    assert not lease.is_usable(70_000)


def test_a_stalled_edge_has_no_lease_when_it_resumes() -> None:
    lease = Lease()
    send_heartbeats(lease, 0, 40_001)
    assert not lease.is_usable(60_000)
    lease.on_heartbeat(60_000, 60_050)
    assert not lease.is_usable(60_050)


def test_a_flapping_link_does_not_restore_the_lease() -> None:
    lease, usable = Lease(), []
    send_heartbeats(lease, 0, 40_001)
    for gap in range(5):
        begin = 60_000 + gap * 20_000
        send_heartbeats(lease, begin, begin + 10_000)
        usable.append(lease.is_usable(begin + 9_000))
    assert usable == [False] * 5


def test_the_transition_table_of_leases_is_complete() -> None:
    assert set(LEASE_TRANSITIONS) == {(state, event) for state in LeaseState for event in LeaseEvent}

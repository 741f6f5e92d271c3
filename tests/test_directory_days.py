"""Days in virtual time with a directory: the five rules, checked on the tape, and the service level."""

from statistics import mean

import pytest
from days import Played, day, with_directory
from test_days import KINDS, assert_rules_kept
from test_rollout_days import NAME, Rolled
from test_rollout_days import script as rollout_script

from lapistrestle.checks.service import measure_service
from lapistrestle.rollout.state_machine import RolloutInput, RolloutState
from lapistrestle.wire import messages as wire

DIRECTORY_FAULTS = ("holder_stall", "holder_kill", "directory_cut")
FLEET_FAULTS = ("deploy", "crash", "preempt", "zone_loss", "hot_key", "roster_restart", "discovery_stale",
          "balancer_stall", "edge_kill", "burst")  # fmt: skip
MAX_SERVICE_LOSS = 0.005  # loss of service that a directory may cause on a day without faults


def run_day(profile="thumbs", faults=(), seed=1, directory=None, **more):
    return Played(with_directory(day(profile, faults, seed, **more), **directory or {}))


def answered(call):
    return any(answer.verdict == "ok" for _, _, answer in call.answers)


def roster_connections_of_edges(played):
    """Connections of edges to the roster; there should be none."""
    return [c for c in played.trace.connections.values() if c.kind == "roster" and c.edge.startswith("edge")]


@pytest.mark.parametrize("kind", KINDS)
def test_each_fault_alone(kind):
    played = run_day(faults=[{"kind": kind}])
    assert_rules_kept(played)
    assert played.world.clients.counts["ok"] > 0.75 * played.world.clients.counts["wishes"]
    assert not roster_connections_of_edges(played)


@pytest.mark.parametrize("fleet_fault", FLEET_FAULTS)
@pytest.mark.parametrize("directory_fault", DIRECTORY_FAULTS)
def test_a_directory_fault_combined_with_a_fleet_fault(directory_fault, fleet_fault):
    faults = [{"kind": directory_fault, "share": 0.5}, {"kind": fleet_fault, "at": "4 s", "share": 0.4}]
    assert_rules_kept(run_day("slots", faults))


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("directory_fault", DIRECTORY_FAULTS)
def test_drains_reach_edges_during_repeated_failovers(directory_fault, seed):
    """Half of the holders fail repeatedly during a rolling replacement of the fleet."""
    repeated = [
        {"kind": directory_fault, "at": f"{at} s", "lasts": "1.2 s", "share": 0.5} for at in (2, 4, 6, 8)
    ]
    played = run_day(
        "archive", [{"kind": "deploy", "at": "2 s", "lasts": "7 s", "share": 0.8}, *repeated], seed
    )
    assert_rules_kept(played)


@pytest.mark.parametrize("profile", ["thumbs", "slots", "archive"])
def test_without_any_holder_cached_prefixes_serve_on(profile):
    faults = [{"kind": "holder_kill", "at": "4 s", "lasts": "5 s", "share": 1.0}]
    played = run_day(profile, faults)
    assert_rules_kept(played)
    calls = played.trace.calls
    known = {(c.edge, c.message.function) for c in calls if c.at < 4_000 and answered(c)}
    during = [c for c in calls if 4_000 < c.at < 8_000 and (c.edge, c.message.function) in known]
    assert sum(map(answered, during)) > 0.97 * len(during) > 100


def test_without_any_holder_new_functions_are_denied_at_once():
    """Every call gets its final answer, and denied calls do not wait."""
    faults = [
        {"kind": "holder_kill", "at": "3 s", "lasts": "5 s", "share": 1.0},
        {"kind": "scan", "at": "4 s", "lasts": "3 s", "share": 0.5},
    ]
    played = run_day("thumbs", faults)
    assert_rules_kept(played)
    scanned = [
        c for c in played.trace.calls if c.message.function.startswith("once") and 4_500 < c.at < 7_000
    ]
    delays = [at - c.at for c in scanned for at, _, a in c.answers if a.verdict == "denied"]
    assert len(delays) > 20 and max(delays) < 20.0


def test_all_edges_and_half_of_the_holders_restart_together():
    faults = [
        {"kind": "edge_kill", "at": "4 s", "lasts": "1 s", "share": 1.0},
        {"kind": "holder_kill", "at": "4 s", "lasts": "2 s", "share": 0.5},
    ]
    played = run_day("thumbs", faults, edges=6)
    assert_rules_kept(played)
    after = [c for c in played.trace.calls if 6_500 < c.at < 9_000]
    assert sum(map(answered, after)) > 0.9 * len(after) > 50


@pytest.mark.parametrize("seed", range(1, 7))
def test_a_fleet_replaced_at_once_is_not_overloaded_by_dispatchers_with_partial_views(seed):
    faults = [
        {"kind": "deploy", "at": "6 s", "lasts": "1 s", "share": 0.4},
        {"kind": "preempt", "at": "8.6 s", "lasts": "0.4 s", "share": 0.8},
    ]
    fleet = {"quick": {"count": 12, "cores": 4, "speed": 1.4, "memory": 8000}}
    more = {"length": "12 s", "fleet": fleet, "traffic": {"rate": 90, "functions": 30}, "edges": 8}
    assert_rules_kept(run_day("thumbs", faults, seed, {"first_count": 2}, **more))


def test_a_short_prefix_is_extended_and_serves_as_well_as_the_complete_list():
    """Three functions use a whole busy fleet, starting with prefixes of one worker each."""
    days = [day("thumbs", seed=seed, traffic={"rate": 120, "functions": 3}) for seed in (1, 2, 3)]
    short_prefix_days = [Played(with_directory(script, first_count=1)) for script in days]
    for played in short_prefix_days:
        assert_rules_kept(played)
        functions = [
            function for e in played.world.edges for function in e.edge.host.registry.functions.values()
        ]
        assert max(len(function.prefix) for function in functions) > 1
    with_complete_list = [Played(script) for script in days]
    assert (
        mean(measure_service(p.trace).total for p in short_prefix_days)
        >= mean(measure_service(p.trace).total for p in with_complete_list) - MAX_SERVICE_LOSS
    )


def test_an_edge_knows_only_the_workers_of_functions_that_it_calls():
    fleet = {"quick": {"count": 60, "cores": 4, "speed": 1.4, "memory": 8000}}
    traffic = {"rate": 40, "functions": 3}
    played = run_day("thumbs", directory={"first_count": 4}, fleet=fleet, traffic=traffic)
    assert_rules_kept(played)
    for edge in played.world.edges:
        functions = len(edge.edge.host.registry.functions)
        assert 0 < len(edge.edge.known_workers.known) <= 8 * functions < 60
        assert edge.edge.host.module.fleet.region.count == 60


def test_the_same_seed_gives_the_same_tape():
    faults = [{"kind": "holder_kill"}, {"kind": "deploy"}]
    tapes = [run_day("thumbs", faults, 3, length="6 s").tape for _ in range(2)]
    assert tapes[0] == tapes[1]


@pytest.mark.parametrize("profile", ["thumbs", "slots", "archive"])
def test_a_day_without_faults_is_served_as_well_as_with_the_complete_list(profile):
    """At a size at which the complete list is usable, too. Over 20 days of 40 s each the mean difference of
    service is -0.0001 (standard error 0.0008), -0.0001 (0.0005) and 0.0004 (0.0002); these days are fewer
    and shorter.
    """
    days = [day(profile, seed=seed) for seed in (1, 2, 3)]
    with_complete_list, with_prefixes = (
        [Played(script) for script in days],
        [Played(with_directory(script)) for script in days],
    )
    for played in with_prefixes:
        assert_rules_kept(played)
    assert (
        mean(measure_service(p.trace).total for p in with_prefixes)
        >= mean(measure_service(p.trace).total for p in with_complete_list) - MAX_SERVICE_LOSS
    )


def test_calls_that_wait_for_a_prefix_are_answered_once():
    """The first calls of a day wait for a prefix; each is on the tape with exactly one answer."""
    played = run_day("thumbs", length="3 s")
    first = [c for c in played.trace.calls if c.at < 1_500]
    assert first and all(len(c.answers) == 1 for c in first)
    assert all(isinstance(a, wire.Answer) for c in first for _, _, a in c.answers)
    assert sum(e.edge.directory.waiting_requests.counts["waited"] for e in played.world.edges) >= len(
        played.world.edges
    )


def test_a_version_is_preloaded_and_settles_with_a_prefix_from_the_directory(tmp_path):
    played = Rolled(with_directory(rollout_script(length="80 s")), tmp_path / "j")
    assert played.violations() == [] and played.rollout.state is RolloutState.SETTLED
    orders = [hold.at for hold in played.trace.preloads if hold.message.function == NAME]
    assert orders and min(orders) < min(run.at for run in played.runs())
    ok = sum(c.answers[0][2].verdict == "ok" for c in played.trace.calls if c.answers)
    assert ok > 0.97 * len(played.trace.calls)


def test_a_failed_lookup_is_no_evidence_against_a_version(tmp_path):
    """The candidate's prefix is unavailable from its first call on: the rollout waits and continues."""
    faults = [{"kind": "holder_kill", "at": "1.9 s", "lasts": "8 s", "share": 1.0}]
    played = Rolled(with_directory(rollout_script(faults, length="16 s")), tmp_path / "j")
    assert played.violations() == []
    assert not [entry for entry in played.rollout.history if entry.input is RolloutInput.HARM_FOUND]
    assert played.rollout.state not in (RolloutState.WITHDRAWING, RolloutState.WITHDRAWN)

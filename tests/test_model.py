"""The model: its clock, its runners compared with queueing theory, and its days compared with those on
in-memory sockets.
"""

import io
from math import factorial

import msgspec
import numpy as np
import pytest
from days import EXAMPLES, day

from lapistrestle.checks.rules import check_rules
from lapistrestle.checks.service import measure_service
from lapistrestle.checks.trace import Trace
from lapistrestle.deployment.load import DeploymentError
from lapistrestle.model.baselines import POLICIES
from lapistrestle.model.clock import Clock
from lapistrestle.model.world import DayResult, ModelEdge, ModelWorld
from lapistrestle.standins.engine import Engine, RunnerSpec, Task
from lapistrestle.standins.play import play_virtual
from lapistrestle.standins.script import parse_day
from lapistrestle.standins.store import PackageStore, StoreSpec


@pytest.fixture
def clock():
    return Clock()


def test_the_clock_runs_calls_in_order_and_skips_cancelled_ones(clock):
    seen, began = [], clock.seconds()
    for delay, name in ((0.3, "c"), (0.1, "a"), (0.1, "b"), (0.2, "off")):
        due = clock.callLater(delay, lambda name=name: seen.append((name, round(clock.seconds() - began, 6))))
        if name == "off":
            due.cancel()
    clock.run(0.25)
    assert seen == [("a", 0.1), ("b", 0.1)]
    clock.run(0.25)
    assert seen[2:] == [("c", 0.3)] and clock.seconds() == began + 0.5


# runners against theory: one function whose copies are loaded, work in seconds, Poisson arrivals


def waits(clock, cores, rate, works, seed=1):
    """The time that each call waited for a core."""
    facts = RunnerSpec(cores=cores, memory=1e9, queue=10**9, idle_timeout=1e9)
    engine = Engine(clock, facts, PackageStore(clock, StoreSpec()), lambda: None, cold=False)
    engine.preload("f", 1, 1.0, 10**6, 0.0, lambda outcome, count: None)
    clock.run(1.0)
    random, waits_found = np.random.default_rng(seed), []

    def arrive(number):
        if number < len(works):
            came, work = clock.seconds(), float(works[number])
            clock.callLater(random.exponential(1 / rate), arrive, number + 1)
            engine.run(
                Task("f", work, 1.0, 10**6, 0.0, lambda *ended: None,
                     lambda task: waits_found.append(clock.seconds() - came) or True)
            )  # fmt: skip

    arrive(0)
    clock.run(len(works) / rate + 1_000)
    assert len(waits_found) == len(works)
    return np.array(waits_found[len(waits_found) // 10 :])


def within(waits, expected, batches=20):
    """Whether the mean agrees within four standard errors, by batch means, as successive waits are
    correlated."""
    means = np.array([batch.mean() for batch in np.array_split(waits, batches)])
    error = means.std(ddof=1) / batches**0.5
    assert error < 0.15 * expected, "too few calls to say anything"
    return abs(means.mean() - expected) < 4 * error


def erlang_c(servers, load):
    last = load**servers / factorial(servers) * servers / (servers - load)
    return last / (sum(load**k / factorial(k) for k in range(servers)) + last)


@pytest.mark.parametrize(("cores", "load"), [(1, 0.6), (4, 3.0), (16, 14.0)])
def test_waits_of_m_m_c_follow_erlang(clock, cores, load):
    works = np.random.default_rng(2).exponential(1.0, 60_000)
    expected = erlang_c(cores, load) / (cores - load)
    assert within(waits(clock, cores, load, works), expected)


@pytest.mark.parametrize("shape", [4.0, 0.5])
def test_waits_of_m_g_1_follow_pollaczek_and_khinchine(clock, shape):
    works = np.random.default_rng(3).gamma(shape, 1 / shape, 80_000)
    load, second = 0.6, 1 + 1 / shape
    assert within(waits(clock, 1, load, works), load * second / (2 * (1 - load)))


def test_an_error_of_a_tenth_is_detected(clock):
    """The tests above can fail: with a core that is a tenth slower the mean leaves the interval."""
    works = np.random.default_rng(2).exponential(1.1, 60_000)
    assert not within(waits(clock, 4, 3.0, works), erlang_c(4, 3.0) / 1.0)


def test_the_store_serves_what_its_capacity_says(clock):
    """Above the capacity fetches slow down in proportion, so the throughput stays the same."""
    store, done = PackageStore(clock, StoreSpec(fetches=10, limit=1_000, overload_multiple=100.0)), []

    def again(ok):
        done.append(ok)
        store.fetch(0.5, again)

    for _ in range(20):
        store.fetch(0.5, again)
    clock.run(60.0)
    assert all(done) and len(done) == pytest.approx(60 * 10 / 0.5, rel=0.06)


# whole days


def played(like="slots", troubles=(), seed=1, length="20 s", **more):
    script_day, deployment = parse_day(
        day(like, troubles, seed, length=length, **more), path=EXAMPLES / "day.json5"
    )
    return ModelWorld(script_day, deployment)


def test_the_same_seed_gives_the_same_day_and_another_seed_another_day():
    first, second, other = (played(seed=seed).play() for seed in (3, 3, 4))
    assert first == second != other


@pytest.mark.parametrize("like", ["slots", "archive", "thumbs"])
@pytest.mark.parametrize("kind", ["", "crash", "slow", "store_slow"])
def test_the_model_agrees_with_the_program_on_in_memory_sockets(like, kind):
    troubles = [{"kind": kind, "at": "8 s", "lasts": "4 s"}] if kind else []
    outcome = played(like, troubles).play()
    script_day, deployment = parse_day(day(like, troubles, 1, length="20 s"), path=EXAMPLES / "day.json5")
    sink = io.BytesIO()
    play_virtual(script_day, deployment, sink)
    service = measure_service(Trace(msgspec.json.decode(line) for line in sink.getvalue().splitlines()))
    assert outcome.client_requests == service.asked  # the same requests
    assert outcome.service == pytest.approx(service.total, abs=0.03)


def test_nothing_is_left_open_and_the_module_raises_nothing_under_faults():
    kinds = ["crash", "zone_loss", "deploy", "burst", "fast_errors", "roster_restart", "discovery_stale"]
    world = played("thumbs", [{"kind": kind, "at": f"{3 + n} s"} for n, kind in enumerate(kinds)])
    outcome = world.play()
    assert world.clients.open == 0 and outcome.client_requests == world.clients.counts["wishes"] > 1_000
    for handle in world.edges:
        counts = handle.edge.host.counts
        assert counts["faults"] == counts["guarded"] == 0 and not handle.edge.host.worker_calls


@pytest.mark.parametrize("kind", ["silent", "edge_kill"])
def test_faults_that_need_sockets_are_refused_before_anything_runs(kind):
    with pytest.raises(DeploymentError, match=f"troubles.0.kind: {kind}"):
        played(troubles=[{"kind": kind}])
    with pytest.raises(DeploymentError, match="rollouts"):
        played(rollouts=[{}])


def test_the_worst_period_is_found():
    outcome = DayResult(windows={second: [10.0, 1.0 if second in (20, 21) else 10.0] for second in range(60)})
    assert outcome.worst(10) == pytest.approx(0.82) and outcome.worst(1) == 0.1


# the tape of the model, read by the same checker


def violations_of(like, troubles, seed=1):
    script_day, deployment = parse_day(day(like, troubles, seed, length="20 s"), path=EXAMPLES / "day.json5")
    sink = io.BytesIO()
    world = ModelWorld(script_day, deployment, sink)
    outcome = world.play()
    trace = Trace(msgspec.json.decode(line) for line in sink.getvalue().splitlines())
    assert measure_service(trace).total == pytest.approx(outcome.service, abs=0.002)
    assert len(trace.attempts) > 500 and len(trace.calls) == world.clients.counts["tries"]
    return [violation for rule in check_rules(trace) for violation in rule.violations]


@pytest.mark.parametrize("like", ["slots", "archive", "thumbs"])
def test_the_checker_finds_the_rules_kept_on_the_tape_of_the_model(like):
    kinds = ("crash", "deploy", "burst", "fast_errors")
    assert violations_of(like, [{"kind": kind, "at": f"{3 + 3 * n} s"} for n, kind in enumerate(kinds)]) == []


def test_the_checker_finds_an_edge_that_receives_drains_too_late(monkeypatch):
    told, drains = ModelEdge.list_received, ModelEdge.runner_draining
    monkeypatch.setattr(
        ModelEdge, "list_received", lambda edge, message: edge.reactor.callLater(2.0, told, edge, message)
    )
    monkeypatch.setattr(
        ModelEdge, "runner_draining", lambda edge, *said: edge.reactor.callLater(2.0, drains, edge, *said)
    )
    violations = violations_of("slots", [{"kind": "deploy", "at": "5 s", "lasts": "10 s", "share": 0.6}])
    assert "3 drains kept" in {violation.rule for violation in violations}


def test_recording_a_tape_does_not_change_the_day():
    script_day, deployment = parse_day(day(length="10 s"), path=EXAMPLES / "day.json5")
    assert (
        ModelWorld(script_day, deployment, io.BytesIO()).play() == ModelWorld(script_day, deployment).play()
    )


# baselines


@pytest.mark.parametrize("policy", POLICIES)
@pytest.mark.parametrize("like", ["slots", "archive"])
def test_a_baseline_answers_every_request_once_and_runs_nothing_twice(like, policy):
    troubles = [{"kind": "crash", "at": "5 s"}, {"kind": "fast_errors", "at": "8 s"}]
    script = day(like, troubles, length="15 s", policy=policy)
    script_day, deployment = parse_day(script, path=EXAMPLES / "day.json5")
    sink = io.BytesIO()
    world = ModelWorld(script_day, deployment, sink)
    outcome = world.play()
    assert world.clients.open == 0 and outcome.service > 0.3
    assert all(handle.edge.host.counts["faults"] == 0 for handle in world.edges)
    trace = Trace(msgspec.json.decode(line) for line in sink.getvalue().splitlines())
    violations_by_rule = {rule.name: rule.violations for rule in check_rules(trace)}
    assert (
        violations_by_rule["1 one final answer"]
        == violations_by_rule["2 no effect twice"]
        == violations_by_rule["5 orders within budget"]
        == []
    )


def test_the_module_is_better_than_random_and_worse_than_full_knowledge():
    services, more = {}, {"length": "20 s", "traffic": {"rate": 120, "functions": 20}}
    for policy in ("random", "module", "greedy"):
        days = [played(seed=seed, policy=policy, **more).play() for seed in (1, 2)]
        services[policy] = sum(outcome.service for outcome in days)
    assert services["random"] < services["module"] < services["greedy"]


def test_the_program_refuses_baseline_policies():
    script_day, deployment = parse_day(day(policy="hash"), path=EXAMPLES / "day.json5")
    with pytest.raises(DeploymentError, match='policy: is "hash"'):
        play_virtual(script_day, deployment, io.BytesIO())

"""Slow start with many dispatchers that share no state: the total that all send to one worker.

Times are in ticks, as in the module; scenarios are given in seconds.
"""

import random
from collections import deque
from dataclasses import dataclass, replace
from math import sqrt
from typing import Any

import pytest
from helpers import SETTINGS, Recorder
from hypothesis import example, given, settings
from hypothesis import strategies as st

from lapistrestle.deployment import translation
from lapistrestle.policy.dispatcher import Dispatcher
from lapistrestle.policy.entities import Function, Request, Worker
from lapistrestle.policy.types import AttemptResult, Outcome, State, WorkerInfo

SECOND = 10_000
BOOT = 30 * SECOND
WATCHED = 6 * SECOND  # after the start of the worker
WARM = 9  # workers that serve throughout
WORK = 800  # ticks of a request of mean work
MICROSECONDS = 1_000_000  # per second; unit of the settings


class DiscardingHost(Recorder):
    """A host that records nothing, as scenarios are long."""

    def __getattr__(self, command: str) -> Any:
        return lambda *args: None


@dataclass(frozen=True)
class Rules:
    """Slow start settings, in seconds and fractions of a worker's capacity."""

    min_share: float = 0.2
    ramp_seconds: float = 10.0
    window_seconds: float = 2.0
    overload_factor: float = 2.0

    def settings(self):
        return {
            "cold-from": self.min_share,
            "ramp-time": int(self.ramp_seconds * MICROSECONDS),
            "fall": int(self.window_seconds * MICROSECONDS),
            "fall-multiple": self.overload_factor,
        }

    def share(self, age):
        """Return the fraction of its capacity that a worker has `age` ticks after its start."""
        return min(1.0, self.min_share + (1 - self.min_share) * age / (self.ramp_seconds * SECOND))

    def budget(self, age, rate):
        """Return the budget N of a window that starts at this age, in requests of mean work."""
        return self.overload_factor * self.share(age) * self.window_seconds * rate


@dataclass(frozen=True)
class Scenario:
    """Every request is for a worker that starts at BOOT; those beyond its budget go to warm workers."""

    dispatcher_count: int
    rate: float = 20.0  # requests per second of a warm worker
    skew: float = 0.0  # exponent of the power law by which traffic is spread over dispatchers
    seed: int = 1
    rules: Rules = Rules()
    learn_delay: float = 0.0  # seconds within which dispatchers learn of a start
    delayed_fraction: float = 1.0  # fraction of dispatchers that learn late
    restart: float | None = None  # seconds after the start at which dispatchers restart
    restart_fraction: float = 1.0  # fraction of dispatchers that restart
    second_boot: float | None = None  # seconds after the start at which the worker restarts
    rate_factor: float = 1.0  # factor on the rate from the start of the worker on
    work_variation: float = 0.0  # coefficient of variation of the hinted work

    def make_dispatcher(self, index, now):
        rules = {**SETTINGS["rules"], **self.rules.settings()}
        deployment_settings = translation.to_settings(
            {**SETTINGS, "balancers": self.dispatcher_count, "me": index, "rules": rules}
        )
        dispatcher = Dispatcher(DiscardingHost(), deployment_settings, self.seed * 1000 + index, now)
        dispatcher.on_endpoints([(Worker(f"w{k}"), WorkerInfo(f"w{k}")) for k in range(WARM)], snapshot=True)
        return dispatcher

    def boots(self):
        second = [] if self.second_boot is None else [BOOT + int(self.second_boot * SECOND)]
        return [BOOT, *second]


@dataclass(frozen=True)
class SentRequest:
    """One request that was sent to the cold worker."""

    at: int
    work: float  # in requests of mean work
    boot: int  # start of the process that received it
    known: bool  # the dispatcher knew of that start


def run_scenario(scenario):
    """Run a scenario and return what all dispatchers sent to the cold worker."""
    random_source, sent, scales = random.Random(scenario.seed), [], []
    weights = [1 / (i + 1) ** scenario.skew for i in range(scenario.dispatcher_count)]
    dispatchers = [scenario.make_dispatcher(i, 0) for i in range(scenario.dispatcher_count)]
    is_late = [random_source.random() < scenario.delayed_fraction for _ in range(scenario.dispatcher_count)]
    boots = scenario.boots()
    learn_times = [
        [b + is_late[i] * int(scenario.learn_delay * SECOND * random_source.random()) for b in boots]
        for i in range(scenario.dispatcher_count)
    ]
    restarts = [
        scenario.restart is not None and random_source.random() < scenario.restart_fraction
        for _ in range(scenario.dispatcher_count)
    ]
    workers, functions = (
        [Worker("cold") for _ in range(scenario.dispatcher_count)],
        [Function("f", 0, 100.0, 1) for _ in range(scenario.dispatcher_count)],
    )
    at, restart_pending = 0.0, any(restarts)
    while at < boots[-1] + WATCHED:
        rate = scenario.rate * (scenario.rate_factor if at >= BOOT else 1.0)
        at += random_source.expovariate(WARM * rate) * SECOND
        now = int(at)
        if restart_pending and now >= BOOT + scenario.restart * SECOND:
            restart_pending = False
            for i in [i for i in range(scenario.dispatcher_count) if restarts[i]]:
                dispatchers[i], workers[i], functions[i] = (
                    scenario.make_dispatcher(i, now),
                    Worker("cold"),
                    Function("f", 0, 100.0, 1),
                )
        (i,) = random_source.choices(range(scenario.dispatcher_count), weights)
        dispatcher, function = dispatchers[i], functions[i]
        dispatcher.now = now
        known_boot = max(
            (b for b, learn_time in zip(boots, learn_times[i], strict=True) if now >= learn_time),
            default=None,
        )
        if known_boot is not None and workers[i].booted_at != known_boot:
            dispatcher.on_endpoints([(workers[i], WorkerInfo("cold", booted_at=known_boot))], snapshot=False)
        scale = (
            random_source.gammavariate(scenario.work_variation**-2, scenario.work_variation**2)
            if scenario.work_variation
            else 1.0
        )
        scale = max(0.2, scale)
        scales.append(scale)
        request = Request(
            "r", function, 0, 0, now + 3 * SECOND, scale=scale, accepted_at=now, state=State.OUT
        )
        boot = max((b for b in boots if now >= b), default=None)
        worker = dispatcher.endpoints.workers[random_source.randrange(WARM)]
        if (
            known_boot is not None
            and dispatcher.slow_start.share(workers[i]) < 1
            and dispatcher.slow_start.has_capacity(workers[i], request)
        ):
            worker = workers[i]
            sent.append(SentRequest(now, scale, boot, known_boot == boot))
        elif worker is workers[i]:
            worker = next(s for s in dispatcher.endpoints.workers if s is not workers[i])
        dispatcher.attempts.send(request, function.replica(worker))
        dispatcher.now = now + 1
        dispatcher.on_attempt_finished(request.attempts[-1], Outcome.OK, AttemptResult(int(WORK * scale)))
    mean = sum(scales) / len(scales)
    return [replace(s, work=s.work / mean) for s in sent]


def request_limit(budget):
    """Return the limit of requests in a window for a budget N. The rule allows N + 3 sqrt(N) + 3 below 30
    requests and N + 2 sqrt(N) + 2 above; the module keeps to the stricter limit everywhere, so that is
    checked.
    """
    return budget + 2 * sqrt(budget) + 2


def max_fill(scenario, sent, by_work=False):
    """Return the highest ratio of sent to allowed over all windows and all processes of the worker."""
    highest = 0.0
    rate = scenario.rate * max(1.0, scenario.rate_factor)
    for boot in scenario.boots():
        of_process = [s for s in sent if s.boot == boot]
        window, total = deque[SentRequest](), 0.0
        for s in of_process:
            window.append(s)
            total += s.work if by_work else 1
            while window[0].at <= s.at - scenario.rules.window_seconds * SECOND:
                expired = window.popleft()
                total -= expired.work if by_work else 1
            budget = scenario.rules.budget(window[0].at - boot, rate)
            highest = max(highest, total / request_limit(budget))
    return highest


# settings of different fleets: short and long windows, steep and flat ramps
FLEETS = (
    Rules(),
    Rules(0.15, 9, 3, 4),
    Rules(0.17, 6.3, 2, 2),
    Rules(0.16, 5.6, 2, 4),
    Rules(0.18, 15, 3, 3.5),
)


@settings(max_examples=40, deadline=None, derandomize=True)
@given(
    scenario=st.builds(
        Scenario,
        dispatcher_count=st.one_of(
            st.sampled_from([1, 3, 30, 200]), st.integers(1, 40), st.integers(41, 300)
        ),
        rate=st.sampled_from([1.0, 3.0, 8.0, 20.0]),
        skew=st.sampled_from([0.0, 0.5, 1.0, 1.5]),
        seed=st.integers(1, 1000),
        rules=st.sampled_from(FLEETS),
        learn_delay=st.sampled_from([0.0, 0.5, 2.0]),
        delayed_fraction=st.sampled_from([0.3, 1.0]),
        restart=st.one_of(st.none(), st.floats(0.1, 4.0)),
        restart_fraction=st.sampled_from([0.3, 1.0]),
        rate_factor=st.sampled_from([0.5, 1.0, 2.0]),
        work_variation=st.sampled_from([0.0, 0.6, 1.2]),
    )
)
@example(Scenario(dispatcher_count=1, restart=1.0))
@example(Scenario(dispatcher_count=3, skew=1.0, seed=2, restart=1.0))
@example(Scenario(dispatcher_count=30, restart=1.0))
@example(Scenario(dispatcher_count=200, skew=1.0))
@example(Scenario(dispatcher_count=6, skew=1.0, work_variation=1.2))
@example(Scenario(dispatcher_count=300, skew=0.5, rate=8.0, seed=3, learn_delay=0.5, work_variation=1.2))
def test_all_dispatchers_together_keep_to_the_budget_of_a_cold_worker(scenario):
    """In no window more than N + 2 sqrt(N) + 2 requests, nor more work than that many mean requests."""
    sent = run_scenario(scenario)
    # with many dispatchers and little traffic, few have a request in their turn
    assert sent or scenario.dispatcher_count > 10
    assert max_fill(scenario, sent) <= 1
    assert max_fill(scenario, sent, by_work=True) <= 1


CASES = {
    "steep": {"rules": FLEETS[1]},
    "short": {"rules": FLEETS[2]},
    "steep and short": {"rules": FLEETS[3]},
    "flat": {"rules": FLEETS[4]},
    "fast workers": {"rate": 100.0},
    "late lists": {"learn_delay": 2.0},
    "late lists to a part": {"learn_delay": 2.0, "delayed_fraction": 0.5},
    "dispatchers restart": {"restart": 1.0},
    "fast workers, dispatchers restart": {"rules": FLEETS[1], "rate": 60.0, "restart": 1.0},
    "dispatchers restart with the worker": {"restart": 0.05},
    "some dispatchers restart": {"restart": 1.0, "restart_fraction": 0.5},
    "the worker restarts": {"second_boot": 3.0},
    "the worker restarts, then some dispatchers": {
        "second_boot": 2.0,
        "restart": 2.5,
        "restart_fraction": 0.5,
    },
    "twice the traffic": {"rate_factor": 2.0},
    "half the traffic": {"rate_factor": 0.5},
    "uneven work": {"work_variation": 1.2},
    "uneven work and little of it": {"work_variation": 1.2, "rate": 1.0},
    "uneven work, dispatchers restart": {"work_variation": 1.2, "rate": 8.0, "restart": 1.0},
    "uneven work, some restart, late lists": {
        "work_variation": 1.2,
        "restart": 0.5,
        "restart_fraction": 0.5,
        "learn_delay": 1.0,
    },
}


@pytest.mark.parametrize("dispatcher_count", [1, 3, 30, 200])
@pytest.mark.parametrize("case", CASES)
def test_each_fault_with_one_dispatcher_few_and_many(case, dispatcher_count):
    """Before the fixes, the limit was exceeded by a factor of 1.46 on a steep ramp, of 1.18 if 200
    dispatchers restarted with or after the worker, and of 2.57 by work for one dispatcher with little and
    uneven work.
    """
    for seed in (1, 2):
        scenario = Scenario(dispatcher_count=dispatcher_count, seed=seed, **CASES[case])
        sent = run_scenario(scenario)
        assert max_fill(scenario, sent) <= 1, seed
        assert max_fill(scenario, sent, by_work=True) <= 1, seed


@pytest.mark.parametrize("dispatcher_count", [1, 3, 30, 200])
def test_a_dispatcher_that_does_not_know_of_a_second_start_goes_by_the_first(dispatcher_count):
    """A known limitation: until its endpoint list shows the second start, a dispatcher uses the capacity that
    follows from the first one. Those that know of it keep to the budget by themselves.
    """
    scenario = Scenario(dispatcher_count=dispatcher_count, second_boot=4.0, learn_delay=2.0)
    sent = run_scenario(scenario)
    assert any(not s.known for s in sent)
    assert max_fill(scenario, [s for s in sent if s.known]) <= 1

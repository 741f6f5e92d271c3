"""Slow start with dispatchers that each know a part of the workers: their total keeps to one budget."""

import random
from dataclasses import dataclass
from math import inf, sqrt

import pytest
from helpers import SETTINGS, Recorder
from hypothesis import given, settings
from hypothesis import strategies as st
from test_ramp import FLEETS

from lapistrestle.deployment import translation
from lapistrestle.directory.region_estimate import RegionEstimate
from lapistrestle.policy.dispatcher import Dispatcher
from lapistrestle.policy.entities import Function, Request, Worker
from lapistrestle.policy.fleet_guidance import FleetGuidance
from lapistrestle.policy.types import WorkerInfo
from lapistrestle.wire.directory import RegionSums

SECOND = 10_000
BOOT = 30 * SECOND
SUMS_INTERVAL = SECOND  # interval of the sums of the region
WORK = 800  # ticks of a request


@dataclass
class Fleet:
    """Workers of size 1 that serve from the start; some of them restart together with the observed one."""

    warm: int
    cold: int  # restart together with the observed worker

    def sums(self, now, settings):
        size = self.warm + (self.cold + 1 if now >= BOOT else self.cold)
        warm = self.warm + sum(capacity_fraction(now, settings) for _ in range(self.cold + (now >= BOOT)))
        return RegionSums(size=size, warm=warm, serving=int(size), instances=int(size))

    def booted(self, number):
        return BOOT if number >= self.warm else None


def capacity_fraction(now, settings):
    if now < BOOT:
        return 1.0
    least = settings.slow_start_share
    return min(1.0, least + (1 - least) * (now - BOOT) / settings.slow_start_duration)


def make_dispatcher(number, dispatcher_count, seed, clock, has_sums, rules):
    slow_start = {**SETTINGS["rules"], **rules.settings()}
    settings = translation.to_settings(
        {**SETTINGS, "balancers": dispatcher_count, "me": number, "rules": slow_start}
    )
    fleet = FleetGuidance()
    if has_sums:
        fleet.region = RegionEstimate(clock, settings.slow_start_share, settings.slow_start_duration)
    return Dispatcher(Recorder(), settings, seed * 1000 + number, 0, fleet)


def run_scenario(dispatcher_count, known_workers, fleet, rate, seed, has_sums=True, rules=FLEETS[0]):
    """Return the settings, and the ticks at which requests were sent to a worker in slow start.

    Every request is for that worker, if its budget allows. It starts at BOOT, and every dispatcher knows it
    and `known_workers` other workers chosen at random. `rate` is the number of requests per second of each
    warm worker. With `has_sums`, dispatchers receive the sums of the region.
    """
    random_source, sent, at = random.Random(seed), [], 0.0
    now, workers = 0, fleet.warm + fleet.cold
    clock = lambda: now  # noqa: E731
    dispatchers = [
        make_dispatcher(i, dispatcher_count, seed, clock, has_sums, rules) for i in range(dispatcher_count)
    ]
    parts = [random_source.sample(range(workers), known_workers) for _ in range(dispatcher_count)]
    for dispatcher, part in zip(dispatchers, parts, strict=True):
        dispatcher.on_endpoints([(Worker(f"w{k}"), WorkerInfo(f"w{k}")) for k in part], snapshot=True)
    function, next_sums, restarted = Function("f", 0, 100.0, 1), 0, False
    watched = min(6 * SECOND, int(rules.ramp_seconds * SECOND))  # then it is warm, and has no limit
    while at < BOOT + watched:
        at += random_source.expovariate(workers * rate) * SECOND
        now = int(at)
        if has_sums and now >= next_sums:
            next_sums = now + SUMS_INTERVAL
            for dispatcher in dispatchers:
                dispatcher.fleet.region.update(fleet.sums(now, dispatcher.settings), now)
        if not restarted and now >= BOOT:
            restarted = True
            for dispatcher in dispatchers:
                dispatcher.now = now
                restarted_workers = [
                    s for s in dispatcher.endpoints.workers if fleet.booted(int(s.name[1:])) is not None
                ]
                dispatcher.on_endpoints(
                    [(s, WorkerInfo(s.name, booted_at=BOOT)) for s in restarted_workers], snapshot=False
                )
                dispatcher.on_endpoints(
                    [(Worker("cold"), WorkerInfo("cold", booted_at=BOOT))], snapshot=False
                )
        dispatcher = random_source.choice(dispatchers)
        dispatcher.now = now
        cold = next((worker for worker in dispatcher.endpoints.workers if worker.name == "cold"), None)
        request = Request("r", function, 0, 0, now + 3 * SECOND)
        if cold is not None and dispatcher.slow_start.has_capacity(cold, request):
            cold.sent_in_slow_start.append((now, dispatcher.slow_start.weight(request)))
            sent.append(now)
            continue
        if random_source.random() > fleet.sums(now, dispatcher.settings).warm / workers:
            continue  # workers that restarted take less
        dispatcher.latency.by_method[0].add(now, WORK)
        dispatcher.throughput.ok_answers.add(now, 1)
        dispatcher.slow_start.ok_work.add(
            now, dispatcher.latency.typical(0) / max(dispatcher.slow_start.warm_size(), 1e-9)
        )
    return dispatchers[0].settings, sent


def max_excess(settings, sent, rate):
    """Return the highest excess of a window over its limit; at most 0 if the limit is kept."""
    window, highest = settings.overload_window, -inf
    for number, first in enumerate(sent):
        count = sum(1 for when in sent[number:] if when < first + window)
        budget = settings.overload_factor * capacity_fraction(first, settings) * window / SECOND * rate
        highest = max(highest, count - (budget + 2 * sqrt(budget) + 2))
    return highest


@settings(max_examples=20, deadline=None, derandomize=True)
@given(
    dispatcher_count=st.one_of(st.sampled_from([1, 3, 30, 200]), st.integers(2, 120)),
    known_workers=st.sampled_from([1, 2, 8]),
    fleet=st.sampled_from([Fleet(30, 0), Fleet(60, 0), Fleet(30, 30), Fleet(8, 24)]),
    rate=st.sampled_from([1.0, 3.0, 8.0]),
    seed=st.integers(1, 1000),
    rules=st.sampled_from(FLEETS),
)
def test_dispatchers_that_each_know_a_part_keep_to_one_budget(
    dispatcher_count, known_workers, fleet, rate, seed, rules
):
    settings, sent = run_scenario(dispatcher_count, known_workers, fleet, rate, seed, rules=rules)
    assert max_excess(settings, sent, rate) <= 0, len(sent)


@pytest.mark.parametrize("dispatcher_count", [1, 3, 30, 200])
@pytest.mark.parametrize("rules", FLEETS)
def test_one_dispatcher_few_and_many_that_know_parts_keep_to_one_budget(dispatcher_count, rules):
    settings, sent = run_scenario(dispatcher_count, 2, Fleet(30, 0), 20.0, 1, rules=rules)
    assert sent and max_excess(settings, sent, 20.0) <= 0


@pytest.mark.parametrize("known_workers", [1, 2])
def test_without_the_sums_of_the_region_the_budget_is_exceeded(known_workers):
    """Counter-example: a dispatcher without the sums takes the workers that it knows for the whole region, so
    that the cold worker, which all of them know, is sent a full budget by each.
    """
    settings, sent = run_scenario(40, known_workers, Fleet(40, 0), 3.0, 1, has_sums=False)
    assert max_excess(settings, sent, 3.0) > 0
    settings, sent = run_scenario(40, known_workers, Fleet(40, 0), 3.0, 1)
    assert sent and max_excess(settings, sent, 3.0) <= 0


@settings(max_examples=200, deadline=None, derandomize=True)
@given(
    boots=st.lists(st.integers(-6 * SECOND, 0), min_size=1, max_size=30),
    updated_at=st.integers(0, 10 * SECOND),
    delay=st.integers(0, 20 * SECOND),
    removed=st.integers(0, 29),
    share=st.sampled_from([0.1, 0.2, 0.9]),
    ramp=st.sampled_from([SECOND, 5 * SECOND]),
)
def test_the_estimated_warm_size_is_never_less_than_the_actual_one(
    boots, updated_at, delay, removed, share, ramp
):
    """However old the sums are, for the same workers or fewer; workers that joined since are not included."""

    def warm(workers, now):
        return sum(min(1.0, share + (1 - share) * (now - boot) / ramp) for boot in workers)

    now = updated_at
    region = RegionEstimate(lambda: now, share, ramp)
    assert region.warm_size == inf  # without sums, workers in slow start get no budget
    region.update(RegionSums(len(boots), warm(boots, updated_at), serving=len(boots)), updated_at)
    now = updated_at + delay
    assert region.warm_size >= warm(boots[: len(boots) - removed] or boots, now) - 1e-9
    assert region.warm_size <= len(boots)

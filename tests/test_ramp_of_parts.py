"""The cold ramp over dispatchers that each see a part of the fleet: the sum of all keeps to one budget."""

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
TOLD_EVERY = SECOND  # the sums of the region
WORK = 800  # tenths of a millisecond


@dataclass
class Fleet:
    """Workers of size 1 that serve from the start, some of them as cold as the one that is looked at."""

    warm: int
    cold: int  # restarted together with the one that is looked at

    def sums(self, now, settings):
        size = self.warm + (self.cold + 1 if now >= BOOT else self.cold)
        warm = self.warm + sum(warmth(now, settings) for _ in range(self.cold + (now >= BOOT)))
        return RegionSums(size=size, warm=warm, serving=int(size), instances=int(size))

    def booted(self, number):
        return BOOT if number >= self.warm else None


def warmth(now, settings):
    if now < BOOT:
        return 1.0
    least = settings.slow_start_share
    return min(1.0, least + (1 - least) * (now - BOOT) / settings.slow_start_duration)


def made(number, of, seed, clock, told, rules):
    slow_start = {**SETTINGS["rules"], **rules.settings()}
    settings = translation.to_settings({**SETTINGS, "balancers": of, "me": number, "rules": slow_start})
    guidance = FleetGuidance()
    if told:
        guidance.region = RegionEstimate(clock, settings.slow_start_share, settings.slow_start_duration)
    return Dispatcher(Recorder(), settings, seed * 1000 + number, 0, guidance)


def sent_to_the_cold_one(of, seen, fleet, pace, seed, told=True, rules=FLEETS[0]):
    """When call-outs went to a worker that starts at BOOT and stands in every dispatcher's prefix beside
    `seen` workers of its own draw, if every RPC would go there. `pace`: RPCs that a warm worker takes in a
    second; the whole fleet is as busy as that. `told`: whether the region's sums are.
    """
    chance, sends, at = random.Random(seed), [], 0.0
    now, workers = 0, fleet.warm + fleet.cold
    clock = lambda: now  # noqa: E731
    all_ = [made(i, of, seed, clock, told, rules) for i in range(of)]
    parts = [chance.sample(range(workers), seen) for _ in range(of)]
    for dispatcher, part in zip(all_, parts, strict=True):
        dispatcher.on_endpoints([(Worker(f"w{k}"), WorkerInfo(f"w{k}")) for k in part], snapshot=True)
    function, next_sums, restarted = Function("f", 0, 100.0, 1), 0, False
    watched = min(6 * SECOND, int(rules.ramp * SECOND))  # then it is warm, and nothing binds
    while at < BOOT + watched:
        at += chance.expovariate(workers * pace) * SECOND
        now = int(at)
        if told and now >= next_sums:
            next_sums = now + TOLD_EVERY
            for dispatcher in all_:
                dispatcher.fleet.region.update(fleet.sums(now, dispatcher.settings), now)
        if not restarted and now >= BOOT:
            restarted = True
            for dispatcher in all_:
                dispatcher.now = now
                again = [s for s in dispatcher.endpoints.workers if fleet.booted(int(s.name[1:])) is not None]
                dispatcher.on_endpoints(
                    [(s, WorkerInfo(s.name, booted_at=BOOT)) for s in again], snapshot=False
                )
                dispatcher.on_endpoints(
                    [(Worker("cold"), WorkerInfo("cold", booted_at=BOOT))], snapshot=False
                )
        dispatcher = chance.choice(all_)
        dispatcher.now = now
        cold = next((worker for worker in dispatcher.endpoints.workers if worker.name == "cold"), None)
        request = Request("r", function, 0, 0, now + 3 * SECOND)
        if cold is not None and dispatcher.slow_start.has_capacity(cold, request):
            cold.sent_in_slow_start.append((now, dispatcher.slow_start.weight(request)))
            sends.append(now)
            continue
        if chance.random() > fleet.sums(now, dispatcher.settings).warm / workers:
            continue  # what restarted takes less
        dispatcher.latency.by_method[0].add(now, WORK)
        dispatcher.throughput.ok_answers.add(now, 1)
        dispatcher.slow_start.ok_work.add(
            now, dispatcher.latency.typical(0) / max(dispatcher.slow_start.warm_size(), 1e-9)
        )
    return all_[0].settings, sends


def beyond(settings, sends, pace):
    """By how much the fullest window is above the budget and what chance may add; at most 0 is right."""
    window, worst = settings.overload_window, -inf
    for number, first in enumerate(sends):
        count = sum(1 for when in sends[number:] if when < first + window)
        budget = settings.overload_factor * warmth(first, settings) * window / SECOND * pace
        worst = max(worst, count - (budget + 2 * sqrt(budget) + 2))
    return worst


@settings(max_examples=20, deadline=None, derandomize=True)
@given(
    of=st.one_of(st.sampled_from([1, 3, 30, 200]), st.integers(2, 120)),
    seen=st.sampled_from([1, 2, 8]),
    fleet=st.sampled_from([Fleet(30, 0), Fleet(60, 0), Fleet(30, 30), Fleet(8, 24)]),
    pace=st.sampled_from([1.0, 3.0, 8.0]),
    seed=st.integers(1, 1000),
    rules=st.sampled_from(FLEETS),
)
def test_dispatchers_that_each_see_a_part_keep_to_one_budget(of, seen, fleet, pace, seed, rules):
    settings, sends = sent_to_the_cold_one(of, seen, fleet, pace, seed, rules=rules)
    assert beyond(settings, sends, pace) <= 0, len(sends)


@pytest.mark.parametrize("of", [1, 3, 30, 200])
@pytest.mark.parametrize("rules", FLEETS)
def test_parts_seen_by_one_dispatcher_few_and_many_keep_to_one_budget(of, rules):
    settings, sends = sent_to_the_cold_one(of, 2, Fleet(30, 0), 20.0, 1, rules=rules)
    assert sends and beyond(settings, sends, 20.0) <= 0


@pytest.mark.parametrize("seen", [1, 2])
def test_counted_over_the_part_seen_the_budget_is_broken(seen):
    """The counter-example: each gets the same from its own worker as if that were all there is, so that the
    cold one, which all see, is sent as much as there are dispatchers times its part.
    """
    settings, sends = sent_to_the_cold_one(40, seen, Fleet(40, 0), 3.0, 1, told=False)
    assert beyond(settings, sends, 3.0) > 0
    settings, sends = sent_to_the_cold_one(40, seen, Fleet(40, 0), 3.0, 1)
    assert sends and beyond(settings, sends, 3.0) <= 0


@settings(max_examples=200, deadline=None, derandomize=True)
@given(
    boots=st.lists(st.integers(-6 * SECOND, 0), min_size=1, max_size=30),
    told=st.integers(0, 10 * SECOND),
    later=st.integers(0, 20 * SECOND),
    gone=st.integers(0, 29),
    share=st.sampled_from([0.1, 0.2, 0.9]),
    ramp=st.sampled_from([SECOND, 5 * SECOND]),
)
def test_the_warm_size_is_never_taken_for_less_than_it_is_by_now(boots, told, later, gone, share, ramp):
    """However old the sums are, of the same workers or fewer. Those that joined since are not in it."""

    def warm(workers, now):
        return sum(min(1.0, share + (1 - share) * (now - boot) / ramp) for boot in workers)

    now = told
    region = RegionEstimate(lambda: now, share, ramp)
    assert region.warm_size == inf  # of answers over it nothing is left for cold ones
    region.update(RegionSums(len(boots), warm(boots, told), serving=len(boots)), told)
    now = told + later
    assert region.warm_size >= warm(boots[: len(boots) - gone] or boots, now) - 1e-9
    assert region.warm_size <= len(boots)

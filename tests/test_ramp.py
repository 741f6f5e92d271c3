"""The cold ramp over a fleet of dispatchers that share nothing: the sum of what all send to one worker."""

import random
from math import sqrt

from helpers import SETTINGS, Recorder
from hypothesis import example, given, settings
from hypothesis import strategies as st

from lapistrestle.choice import Dispatcher
from lapistrestle.deployment import words
from lapistrestle.interface import SrvFacts
from lapistrestle.state import Fn, Rpc, Srv

SECOND = 10_000
BOOT = 30 * SECOND
WARM = 9  # workers that serve all the while


def made(number, of, seed, now):
    facts = words.facts({**SETTINGS, "balancers": of, "me": number})
    dispatcher = Dispatcher(Recorder(), facts, seed * 1000 + number, now)
    dispatcher.listed([(Srv(f"w{k}"), SrvFacts(f"w{k}")) for k in range(WARM)], whole=True)
    return dispatcher


def sent_to_the_cold_one(of, skew, pace, seed, restart, late, uneven):
    """When call-outs went to a worker that starts at BOOT, if every RPC would go there. `pace`: RPCs that a
    warm worker takes in a second; `restart`: seconds into the ramp at which all dispatchers restart; `late`:
    seconds over which they hear of the start; `uneven`: variation of the work that hints tell."""
    chance, sends, work = random.Random(seed), [], 800
    weights = [1 / (i + 1) ** skew for i in range(of)]
    all_ = [made(i, of, seed, 0) for i in range(of)]
    hears = [BOOT + int(late * SECOND * chance.random()) for _ in range(of)]
    fn, at, again = Fn("f", 0, 100.0, 1), 0.0, restart is not None
    while at < BOOT + 6 * SECOND:
        at += chance.expovariate(WARM * pace) * SECOND
        now = int(at)
        if again and now >= BOOT + restart * SECOND:
            again, all_ = False, [made(i, of, seed, now) for i in range(of)]
        (i,) = chance.choices(range(of), weights)
        dispatcher = all_[i]
        dispatcher.now = now
        cold = next((srv for srv in dispatcher.srvs if srv.name == "cold"), None)
        if cold is None and now >= hears[i]:
            cold = Srv("cold")
            dispatcher.listed([(cold, SrvFacts("cold", booted=BOOT))], whole=False)
        scale = chance.gammavariate(uneven**-2, uneven**2) if uneven else 1.0
        rpc = Rpc("r", fn, 0, 0, now + 3 * SECOND, scale=max(0.2, scale))
        if cold is not None and dispatcher.cold_room(cold, rpc):
            cold.sends.append((now, dispatcher.heft(rpc)))
            sends.append(now)
            continue
        dispatcher.light[0].add(now, work)
        dispatcher.ok_count.add(now, 1)
        dispatcher.ok_weight.add(now, dispatcher.weight(0) / max(dispatcher.warm(), 1e-9))
    return all_[0].facts, sends


@settings(max_examples=25, deadline=None, derandomize=True)
@given(
    of=st.one_of(st.integers(1, 40), st.integers(41, 300)),
    skew=st.sampled_from([0.0, 0.5, 1.0, 1.5]),
    pace=st.sampled_from([1.0, 3.0, 8.0, 20.0]),
    seed=st.integers(1, 1000),
    restart=st.one_of(st.none(), st.floats(0.1, 4.0)),
    late=st.sampled_from([0.0, 0.5, 2.0]),
    uneven=st.sampled_from([0.0, 0.6, 1.2]),
)
@example(of=1, skew=0.0, pace=20.0, seed=1, restart=1.0, late=0.0, uneven=0.0)
@example(of=3, skew=1.0, pace=20.0, seed=2, restart=1.0, late=0.0, uneven=0.0)
@example(of=30, skew=0.0, pace=20.0, seed=1, restart=1.0, late=0.0, uneven=0.0)
@example(of=200, skew=1.0, pace=20.0, seed=1, restart=None, late=0.0, uneven=0.0)
@example(of=6, skew=1.0, pace=20.0, seed=1, restart=None, late=0.0, uneven=1.2)
@example(of=300, skew=0.5, pace=8.0, seed=3, restart=None, late=0.5, uneven=1.2)
def test_the_sum_of_all_keeps_to_the_budget_of_a_cold_worker(of, skew, pace, seed, restart, late, uneven):
    """Beyond the budget of N only 2 x root of N + 2 are chance. N is reckoned from what warm workers take,
    which is under what they could. Dispatchers that restarted had spent their part a second time."""
    facts, sends = sent_to_the_cold_one(of, skew, pace, seed, restart, late, uneven)
    window, cold = facts["fall_time"], facts["cold_share"]
    assert sends or of > 10  # of many that see little, hardly one asks in its turn
    for number, first in enumerate(sends):
        count = sum(1 for when in sends[number:] if when < first + window)
        share = min(1.0, cold + (1 - cold) * (first - BOOT) / facts["ramp_time"])
        budget = facts["fall_multiple"] * share * window / SECOND * pace
        assert count <= budget + 2 * sqrt(budget) + 2, (count, budget)

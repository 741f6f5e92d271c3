"""The cold ramp over a fleet of dispatchers that share nothing: the sum of what all send to one worker.

Times are whole tenths of a millisecond, as in the module; the plays are given in seconds.
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
WATCHED = 6 * SECOND  # of the ramp
WARM = 9  # workers that serve all the while
WORK = 800  # of a call of mean work
MICROSECONDS = 1_000_000  # in a second, as the settings count


class Silent(Recorder):
    """A host that keeps nothing: the plays are long."""

    def __getattr__(self, word: str) -> Any:
        return lambda *args: None


@dataclass(frozen=True)
class Rules:
    """The settings of slow start: seconds, and parts of a worker's capacity."""

    cold: float = 0.2
    ramp: float = 10.0
    fall: float = 2.0
    multiple: float = 2.0

    def settings(self):
        return {
            "cold-from": self.cold,
            "ramp-time": int(self.ramp * MICROSECONDS),
            "fall": int(self.fall * MICROSECONDS),
            "fall-multiple": self.multiple,
        }

    def share(self, age):
        """Of its capacity that a worker has, `age` after its start."""
        return min(1.0, self.cold + (1 - self.cold) * age / (self.ramp * SECOND))

    def budget(self, age, pace):
        """N: the calls of mean work in a window that begins at this age."""
        return self.multiple * self.share(age) * self.fall * pace


@dataclass(frozen=True)
class Play:
    """Every call would go to a worker that starts at BOOT; what it may not have goes to the warm ones."""

    of: int  # dispatchers
    pace: float = 20.0  # calls that a warm worker takes in a second
    skew: float = 0.0  # of the traffic over the dispatchers, a power law's exponent
    seed: int = 1
    rules: Rules = Rules()
    late: float = 0.0  # seconds over which dispatchers hear of a start
    late_part: float = 1.0  # of the dispatchers, that hear late
    restart: float | None = None  # seconds into the ramp at which dispatchers restart
    restart_part: float = 1.0  # of the dispatchers, that restart
    second_boot: float | None = None  # seconds into the ramp at which the worker restarts under its name
    jump: float = 1.0  # pace from the boot on, in the pace before
    uneven: float = 0.0  # variation of the work that hints tell

    def made(self, number, now):
        rules = {**SETTINGS["rules"], **self.rules.settings()}
        facts = translation.to_settings({**SETTINGS, "balancers": self.of, "me": number, "rules": rules})
        dispatcher = Dispatcher(Silent(), facts, self.seed * 1000 + number, now)
        dispatcher.on_endpoints([(Worker(f"w{k}"), WorkerInfo(f"w{k}")) for k in range(WARM)], snapshot=True)
        return dispatcher

    def boots(self):
        second = [] if self.second_boot is None else [BOOT + int(self.second_boot * SECOND)]
        return [BOOT, *second]


@dataclass(frozen=True)
class Sent:
    """One call that went to the cold worker."""

    at: int
    work: float  # in calls of mean work
    boot: int  # the start of the process that it met
    told: bool  # the dispatcher had heard of that start


def sent_to_the_cold_one(play):
    """What all dispatchers sent to the worker while it was watched."""
    chance, sends, scales = random.Random(play.seed), [], []
    weights = [1 / (i + 1) ** play.skew for i in range(play.of)]
    all_ = [play.made(i, 0) for i in range(play.of)]
    late = [chance.random() < play.late_part for _ in range(play.of)]
    boots = play.boots()
    hears = [[b + late[i] * int(play.late * SECOND * chance.random()) for b in boots] for i in range(play.of)]
    restarts = [play.restart is not None and chance.random() < play.restart_part for _ in range(play.of)]
    cold, functions = (
        [Worker("cold") for _ in range(play.of)],
        [Function("f", 0, 100.0, 1) for _ in range(play.of)],
    )
    at, again = 0.0, any(restarts)
    while at < boots[-1] + WATCHED:
        pace = play.pace * (play.jump if at >= BOOT else 1.0)
        at += chance.expovariate(WARM * pace) * SECOND
        now = int(at)
        if again and now >= BOOT + play.restart * SECOND:
            again = False
            for i in [i for i in range(play.of) if restarts[i]]:
                all_[i], cold[i], functions[i] = play.made(i, now), Worker("cold"), Function("f", 0, 100.0, 1)
        (i,) = chance.choices(range(play.of), weights)
        dispatcher, function = all_[i], functions[i]
        dispatcher.now = now
        heard = max((b for b, hear in zip(boots, hears[i], strict=True) if now >= hear), default=None)
        if heard is not None and cold[i].booted_at != heard:
            dispatcher.on_endpoints([(cold[i], WorkerInfo("cold", booted_at=heard))], snapshot=False)
        scale = chance.gammavariate(play.uneven**-2, play.uneven**2) if play.uneven else 1.0
        scale = max(0.2, scale)
        scales.append(scale)
        request = Request(
            "r", function, 0, 0, now + 3 * SECOND, scale=scale, accepted_at=now, state=State.OUT
        )
        boot = max((b for b in boots if now >= b), default=None)
        worker = dispatcher.endpoints.workers[chance.randrange(WARM)]
        if (
            heard is not None
            and dispatcher.slow_start.share(cold[i]) < 1
            and dispatcher.slow_start.has_capacity(cold[i], request)
        ):
            worker = cold[i]
            sends.append(Sent(now, scale, boot, heard == boot))
        elif worker is cold[i]:
            worker = next(s for s in dispatcher.endpoints.workers if s is not cold[i])
        dispatcher.attempts.send(request, function.replica(worker))
        dispatcher.now = now + 1
        dispatcher.on_attempt_finished(request.attempts[-1], Outcome.OK, AttemptResult(int(WORK * scale)))
    mean = sum(scales) / len(scales)
    return [replace(s, work=s.work / mean) for s in sends]


def allowed(budget):
    """The stricter of the operators' bounds for every N. Their terms give N + 3 root N + 3 under 30 calls;
    the module keeps to the bound for more there too, and so is held to it.
    """
    return budget + 2 * sqrt(budget) + 2


def fullest(play, sends, by_work=False):
    """The fullest window of any process of the worker, as a part of what it is allowed."""
    worst = 0.0
    pace = play.pace * max(1.0, play.jump)
    for boot in play.boots():
        here = [s for s in sends if s.boot == boot]
        window, total = deque[Sent](), 0.0
        for s in here:
            window.append(s)
            total += s.work if by_work else 1
            while window[0].at <= s.at - play.rules.fall * SECOND:
                gone = window.popleft()
                total -= gone.work if by_work else 1
            budget = play.rules.budget(window[0].at - boot, pace)
            worst = max(worst, total / allowed(budget))
    return worst


# the settings of slow start as different fleets have them: short and long windows, steep and flat ramps
FLEETS = (
    Rules(),
    Rules(0.15, 9, 3, 4),
    Rules(0.17, 6.3, 2, 2),
    Rules(0.16, 5.6, 2, 4),
    Rules(0.18, 15, 3, 3.5),
)


@settings(max_examples=40, deadline=None, derandomize=True)
@given(
    play=st.builds(
        Play,
        of=st.one_of(st.sampled_from([1, 3, 30, 200]), st.integers(1, 40), st.integers(41, 300)),
        pace=st.sampled_from([1.0, 3.0, 8.0, 20.0]),
        skew=st.sampled_from([0.0, 0.5, 1.0, 1.5]),
        seed=st.integers(1, 1000),
        rules=st.sampled_from(FLEETS),
        late=st.sampled_from([0.0, 0.5, 2.0]),
        late_part=st.sampled_from([0.3, 1.0]),
        restart=st.one_of(st.none(), st.floats(0.1, 4.0)),
        restart_part=st.sampled_from([0.3, 1.0]),
        jump=st.sampled_from([0.5, 1.0, 2.0]),
        uneven=st.sampled_from([0.0, 0.6, 1.2]),
    )
)
@example(Play(of=1, restart=1.0))
@example(Play(of=3, skew=1.0, seed=2, restart=1.0))
@example(Play(of=30, restart=1.0))
@example(Play(of=200, skew=1.0))
@example(Play(of=6, skew=1.0, uneven=1.2))
@example(Play(of=300, skew=0.5, pace=8.0, seed=3, late=0.5, uneven=1.2))
def test_the_sum_of_all_keeps_to_the_budget_of_a_cold_worker(play):
    """In no window more than N + 2 x root of N + 2 calls, nor more work than so many of mean work."""
    sends = sent_to_the_cold_one(play)
    assert sends or play.of > 10  # of many that see little, hardly one asks in its turn
    assert fullest(play, sends) <= 1
    assert fullest(play, sends, by_work=True) <= 1


CASES = {
    "steep": {"rules": FLEETS[1]},
    "short": {"rules": FLEETS[2]},
    "steep and short": {"rules": FLEETS[3]},
    "flat": {"rules": FLEETS[4]},
    "fast workers": {"pace": 100.0},
    "late lists": {"late": 2.0},
    "late lists to a part": {"late": 2.0, "late_part": 0.5},
    "dispatchers restart": {"restart": 1.0},
    "fast workers, dispatchers restart": {"rules": FLEETS[1], "pace": 60.0, "restart": 1.0},
    "dispatchers restart with the worker": {"restart": 0.05},
    "some dispatchers restart": {"restart": 1.0, "restart_part": 0.5},
    "the worker restarts": {"second_boot": 3.0},
    "the worker restarts, then some dispatchers": {"second_boot": 2.0, "restart": 2.5, "restart_part": 0.5},
    "twice the traffic": {"jump": 2.0},
    "half the traffic": {"jump": 0.5},
    "uneven work": {"uneven": 1.2},
    "uneven work and little of it": {"uneven": 1.2, "pace": 1.0},
    "uneven work, dispatchers restart": {"uneven": 1.2, "pace": 8.0, "restart": 1.0},
    "uneven work, some restart, late lists": {
        "uneven": 1.2,
        "restart": 0.5,
        "restart_part": 0.5,
        "late": 1.0,
    },
}


@pytest.mark.parametrize("of", [1, 3, 30, 200])
@pytest.mark.parametrize("case", CASES)
def test_each_trouble_with_one_dispatcher_few_and_many(case, of):
    """Without the mends: up to 1.46 of what is allowed on a steep ramp, 1.18 of it where 200 restart with the
    worker or after it, 2.57 of it by work where one dispatcher has uneven work and little of it.
    """
    for seed in (1, 2):
        play = Play(of=of, seed=seed, **CASES[case])
        sends = sent_to_the_cold_one(play)
        assert fullest(play, sends) <= 1, seed
        assert fullest(play, sends, by_work=True) <= 1, seed


@pytest.mark.parametrize("of", [1, 3, 30, 200])
def test_who_has_not_heard_of_a_second_start_goes_by_the_first(of):
    """The limit of what a dispatcher can do: under the old name it goes on by the share that the first start
    gives, until its list tells. Those that have heard keep to the budget by themselves.
    """
    play = Play(of=of, second_boot=4.0, late=2.0)
    sends = sent_to_the_cold_one(play)
    assert any(not s.told for s in sends)
    assert fullest(play, [s for s in sends if s.told]) <= 1

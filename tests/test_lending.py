"""Loads that all edges of a fleet share: who borrows of whom, and that their sum stays within the whole."""

from functools import partial

import pytest
from days import Played
from hypothesis import given
from hypothesis import strategies as st
from test_fleet_process import fleet_day

from lapistrestle.edge.program import Edge
from lapistrestle.fleet.allowance import Allowance, AllowanceSettings
from lapistrestle.fleet.lending import Lending
from lapistrestle.policy.dispatcher import Dispatcher
from lapistrestle.wire.fleet import Claim, Lend, Rank

SECOND = 10_000
WHOLE = 8


class Ring:
    """Some dispatchers with one clock and links that lose what they are told to."""

    def __init__(self, count):
        self.now, self.lost, self.words, self.use = 0, False, [], [0] * count
        self.claims = [Claim(f"e-{i}", 1, i, 0, Rank.ALIVE, "127.0.0.1", 7000 + i) for i in range(count)]
        self.made = [
            Lending(self.cut(i, count), partial(self.use.__getitem__, i), partial(self.say, i), i)
            for i in range(count)
        ]

    @staticmethod
    def cut(number, count):
        return Allowance("loads", WHOLE, count, number, AllowanceSettings(), 0)

    def say(self, sender, to, word):
        if not self.lost:
            self.words.append((sender, int(to.name[2:]), word))

    def step(self, wants):
        """Half a second: each wants so many, uses what it may, and looks; then the words arrive."""
        self.now += SECOND // 2
        for i, (made, want) in enumerate(zip(self.made, wants, strict=True)):
            part = made.part(self.now)
            self.use[i] = min(want, part)
            for _ in range(want - part):
                made.wish()
            others = [claim for claim in self.claims if claim.name != f"e-{i}"]
            made.update(others, True, self.now)
        words, self.words = self.words, []
        for sender, to, word in words:
            self.made[to].heard(self.claims[sender], word, self.now)
        assert sum(min(u, m.part(self.now)) for u, m in zip(self.use, self.made, strict=True)) <= WHOLE


def test_one_that_needs_more_borrows_and_what_is_not_needed_goes_back():
    ring = Ring(4)
    most = 0
    for _ in range(40):
        ring.step([8, 0, 0, 0])
        most = max(most, ring.use[0])
    assert most >= 4  # its own 2, and of the 1 that each of three others lends, those that are not settling
    for _ in range(10):
        ring.step([0, 0, 0, 0])
    assert [made.part(ring.now) for made in ring.made] == [2, 2, 2, 2]
    assert [made.allowance.lent_units() for made in ring.made] == [0, 0, 0, 0]


@given(st.lists(st.tuples(st.lists(st.integers(0, 9), min_size=4, max_size=4), st.booleans()), max_size=60))
def test_whoever_wants_what_the_sum_stays_within_the_whole(steps):
    ring = Ring(4)
    for wants, lost in steps:
        ring.lost = lost
        ring.step(wants)


def test_what_was_put_to_use_since_the_last_look_is_not_lent():
    ring = Ring(2)
    for _ in range(12):
        ring.step([0, 0])
    ring.use[1] = 4  # all of it, begun since
    ring.made[1].heard(ring.claims[0], Lend("loads", 1, ring.now, 2), ring.now)
    assert ring.words == [] and ring.made[1].part(ring.now) == 4


def test_one_that_is_no_member_uses_nothing():
    ring = Ring(2)
    ring.made[0].update([], False, SECOND)
    assert ring.made[0].part(SECOND) == 0


def test_a_word_for_another_allowance_changes_nothing():
    ring = Ring(2)
    for _ in range(20):
        ring.step([8, 0])
    part = ring.made[0].part(ring.now)
    other = Lending(
        Allowance("trials", WHOLE, 2, 0, AllowanceSettings(), 0), lambda: 8, partial(ring.say, 0), 0
    )
    other.wish()
    other.update([ring.claims[1]], True, ring.now)
    ring.made[1].heard(ring.claims[0], ring.words[0][2], ring.now)
    assert ring.made[0].part(ring.now) == part


class Watched(Dispatcher):
    """Writes down the most loads that all instances of a day had under way at one moment."""

    living = ()
    most = 0

    def __init__(self, *args):
        super().__init__(*args)
        others = [d for d in Watched.living if d.settings.instance_index != self.settings.instance_index]
        Watched.living = (*others, self)

    def note_loads(self):
        Watched.most = max(Watched.most, sum(worker.loads for d in Watched.living for worker in d.workers))

    def send(self, request, replica):
        sent = super().send(request, replica)
        self.note_loads()
        return sent

    def order(self, replica, count, part=1.0):
        ordered = super().order(replica, count, part)
        self.note_loads()
        return ordered


TROUBLES = [
    {"kind": "edges_lossy", "at": "9 s", "lasts": "8 s", "share": 0.3, "by": "200 ms"},
    {"kind": "edges_apart", "at": "15 s", "lasts": "3 s", "share": 0.5},
    {"kind": "balancer_stall", "at": "14 s", "lasts": "2 s", "share": 0.5},
    {"kind": "edge_kill", "at": "18 s", "lasts": "1 s", "share": 0.3},
    {"kind": "burst", "at": "12 s", "lasts": "6 s", "factor": 4},
]


@pytest.mark.parametrize(("loads", "within"), [(WHOLE, True), (0, False)])
def test_loads_under_way_of_all_edges_stay_within_the_whole_whatever_breaks(loads, within):
    """Without the bound the same day has more under way, so that the day shows something."""
    Watched.living, Watched.most = (), 0
    script = fleet_day(TROUBLES, length="26 s", edges=4, seed=3, traffic={"rate": 80, "functions": 60})
    script["deployment"]["fleet"]["loads"] = loads
    script["deployment"]["dispatcher"] |= {"of": 4}
    script["deployment"]["orders"]["time_out"] = "3 s"  # loans are three times as long, and begin after that
    played = Played(script, partial(Edge, make=Watched))
    assert played.breaches() == [] and (Watched.most <= WHOLE) == within

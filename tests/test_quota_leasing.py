"""A quota of loads shared by all edges of a fleet: leases among them, and the limit of the sum."""

from collections.abc import Callable
from functools import partial
from typing import Any, ClassVar

import pytest
from days import Played
from hypothesis import given
from hypothesis import strategies as st
from test_fleet_process import fleet_day

from lapistrestle.edge.program import Edge
from lapistrestle.fleet.quota_leasing import QuotaLeasing
from lapistrestle.fleet.quota_share import QuotaSettings, QuotaShare
from lapistrestle.policy.dispatcher import Dispatcher
from lapistrestle.wire.fleet import LeaseMessage, LeaseRequest, MemberRecord, MemberStatus

SECOND = 10_000
WHOLE = 8


class Ring:
    """Dispatchers with a common clock, and links that lose all messages while `lost` is set."""

    def __init__(self, count: int) -> None:
        self.now, self.lost, self.use = 0, False, [0] * count
        self.messages: list[tuple[int, int, LeaseMessage]] = []
        self.records = [
            MemberRecord(f"e-{i}", 1, i, 0, MemberStatus.ALIVE, "127.0.0.1", 7000 + i) for i in range(count)
        ]
        self.made = [
            QuotaLeasing(self.cut(i, count), partial(self.use.__getitem__, i), partial(self.say, i), i)
            for i in range(count)
        ]

    @staticmethod
    def cut(number: int, count: int) -> QuotaShare:
        return QuotaShare("loads", WHOLE, count, number, QuotaSettings(), 0)

    def say(self, sender: int, to: MemberRecord, message: LeaseMessage) -> None:
        if not self.lost:
            self.messages.append((sender, int(to.name[2:]), message))

    def step(self, wants: list[int]) -> None:
        """Advance by half a second: each uses units up to its demand and updates; then messages arrive."""
        self.now += SECOND // 2
        for i, (made, want) in enumerate(zip(self.made, wants, strict=True)):
            part = made.available(self.now)
            self.use[i] = min(want, part)
            for _ in range(want - part):
                made.record_shortage()
            others = [record for record in self.records if record.name != f"e-{i}"]
            made.update(others, True, self.now)
        messages, self.messages = self.messages, []
        for sender, to, message in messages:
            self.made[to].on_message(self.records[sender], message, self.now)
        assert sum(min(u, m.available(self.now)) for u, m in zip(self.use, self.made, strict=True)) <= WHOLE


def test_a_short_member_borrows_and_returns_unneeded_units() -> None:
    ring = Ring(4)
    most = 0
    for _ in range(40):
        ring.step([8, 0, 0, 0])
        most = max(most, ring.use[0])
    assert most >= 4  # its own 2, and those of the 1 leased by each of three others that are not settling
    for _ in range(10):
        ring.step([0, 0, 0, 0])
    assert [made.available(ring.now) for made in ring.made] == [2, 2, 2, 2]
    assert [made.share.leased_out_units() for made in ring.made] == [0, 0, 0, 0]


@given(st.lists(st.tuples(st.lists(st.integers(0, 9), min_size=4, max_size=4), st.booleans()), max_size=60))
def test_the_sum_stays_within_the_quota_for_any_demand(steps: list[tuple[list[int], bool]]) -> None:
    ring = Ring(4)
    for wants, lost in steps:
        ring.lost = lost
        ring.step(wants)


def test_units_in_use_since_the_last_update_are_not_leased() -> None:
    ring = Ring(2)
    for _ in range(12):
        ring.step([0, 0])
    ring.use[1] = 4  # all units, since the last update
    ring.made[1].on_message(ring.records[0], LeaseRequest("loads", 1, ring.now, 2), ring.now)
    assert ring.messages == [] and ring.made[1].available(ring.now) == 4


def test_a_displaced_member_uses_no_units() -> None:
    ring = Ring(2)
    ring.made[0].update([], False, SECOND)
    assert ring.made[0].available(SECOND) == 0


def test_a_message_for_another_quota_is_ignored() -> None:
    ring = Ring(2)
    for _ in range(20):
        ring.step([8, 0])
    part = ring.made[0].available(ring.now)
    other = QuotaLeasing(
        QuotaShare("trials", WHOLE, 2, 0, QuotaSettings(), 0), lambda: 8, partial(ring.say, 0), 0
    )
    other.record_shortage()
    other.update([ring.records[1]], True, ring.now)
    ring.made[1].on_message(ring.records[0], ring.messages[0][2], ring.now)
    assert ring.made[0].available(ring.now) == part


class Watched(Dispatcher):
    """Records the maximum number of concurrent loads of all edges of a day."""

    living: ClassVar[tuple["Watched", ...]] = ()
    most: ClassVar[int] = 0

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        me = self.settings.instance_index
        others = [d for d in Watched.living if d.settings.instance_index != me]
        Watched.living = (*others, self)
        attempts: Any = self.attempts
        attempts.send = self.then_note(attempts.send)
        preloading: Any = self.preloading
        preloading.preload = self.then_note(preloading.preload)

    def then_note(self, act: Callable[..., Any]) -> Callable[..., Any]:
        def noted(*args: Any) -> Any:
            done = act(*args)
            self.note_loads()
            return done

        return noted

    def note_loads(self) -> None:
        workers = (worker for d in Watched.living for worker in d.endpoints.workers)
        Watched.most = max(Watched.most, sum(worker.functions_loading for worker in workers))


TROUBLES = [
    {"kind": "edges_lossy", "at": "9 s", "lasts": "8 s", "share": 0.3, "by": "200 ms"},
    {"kind": "edges_apart", "at": "15 s", "lasts": "3 s", "share": 0.5},
    {"kind": "balancer_stall", "at": "14 s", "lasts": "2 s", "share": 0.5},
    {"kind": "edge_kill", "at": "18 s", "lasts": "1 s", "share": 0.3},
    {"kind": "burst", "at": "12 s", "lasts": "6 s", "factor": 4},
]


@pytest.mark.parametrize(("loads", "within"), [(WHOLE, True), (0, False)])
def test_concurrent_loads_of_all_edges_stay_within_the_quota_despite_faults(loads: int, within: bool) -> None:
    """Without the limit the same day has more concurrent loads, which shows that the limit matters."""
    Watched.living, Watched.most = (), 0
    script = fleet_day(TROUBLES, length="26 s", edges=4, seed=3, traffic={"rate": 80, "functions": 60})
    script["deployment"]["fleet"]["loads"] = loads
    script["deployment"]["dispatcher"] |= {"of": 4}
    script["deployment"]["orders"]["time_out"] = "3 s"  # leases are three times as long, and start after that
    played = Played(script, partial(Edge, make=Watched))
    assert played.violations() == [] and (Watched.most <= WHOLE) == within

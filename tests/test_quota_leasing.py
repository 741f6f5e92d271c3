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
QUOTA = 8


class LeasingFleet:
    """Dispatchers with a common clock, and links that lose all messages while `lost` is set."""

    def __init__(self, count: int) -> None:
        self.now, self.loses_messages, self.use = 0, False, [0] * count
        self.messages: list[tuple[int, int, LeaseMessage]] = []
        self.records = [
            MemberRecord(f"e-{i}", 1, i, 0, MemberStatus.ALIVE, "127.0.0.1", 7000 + i) for i in range(count)
        ]
        self.members = [
            QuotaLeasing(self.share_of(i, count), partial(self.use.__getitem__, i), partial(self.send, i), i)
            for i in range(count)
        ]

    @staticmethod
    def share_of(number: int, count: int) -> QuotaShare:
        return QuotaShare("loads", QUOTA, count, number, QuotaSettings(), 0)

    def send(self, sender: int, to: MemberRecord, message: LeaseMessage) -> None:
        if not self.loses_messages:
            self.messages.append((sender, int(to.name[2:]), message))

    def step(self, demands: list[int]) -> None:
        """Advance by half a second: each uses units up to its demand and updates; then messages arrive."""
        self.now += SECOND // 2
        for i, (leasing, demand) in enumerate(zip(self.members, demands, strict=True)):
            available = leasing.available(self.now)
            self.use[i] = min(demand, available)
            for _ in range(demand - available):
                leasing.record_shortage()
            others = [record for record in self.records if record.name != f"e-{i}"]
            leasing.update(others, True, self.now)
        messages, self.messages = self.messages, []
        for sender, to, message in messages:
            self.members[to].on_message(self.records[sender], message, self.now)
        assert (
            sum(min(u, m.available(self.now)) for u, m in zip(self.use, self.members, strict=True)) <= QUOTA
        )


def test_a_short_member_borrows_and_returns_unneeded_units() -> None:
    fleet = LeasingFleet(4)
    max_use = 0
    for _ in range(40):
        fleet.step([8, 0, 0, 0])
        max_use = max(max_use, fleet.use[0])
    assert max_use >= 4  # its own 2, and those of the 1 leased by each of three others that are not settling
    for _ in range(10):
        fleet.step([0, 0, 0, 0])
    assert [leasing.available(fleet.now) for leasing in fleet.members] == [2, 2, 2, 2]
    assert [leasing.share.leased_out_units() for leasing in fleet.members] == [0, 0, 0, 0]


@given(st.lists(st.tuples(st.lists(st.integers(0, 9), min_size=4, max_size=4), st.booleans()), max_size=60))
def test_the_sum_stays_within_the_quota_for_any_demand(steps: list[tuple[list[int], bool]]) -> None:
    fleet = LeasingFleet(4)
    for demands, is_lossy in steps:
        fleet.loses_messages = is_lossy
        fleet.step(demands)


def test_units_in_use_since_the_last_update_are_not_leased() -> None:
    fleet = LeasingFleet(2)
    for _ in range(12):
        fleet.step([0, 0])
    fleet.use[1] = 4  # all units, since the last update
    fleet.members[1].on_message(fleet.records[0], LeaseRequest("loads", 1, fleet.now, 2), fleet.now)
    assert fleet.messages == [] and fleet.members[1].available(fleet.now) == 4


def test_a_displaced_member_uses_no_units() -> None:
    fleet = LeasingFleet(2)
    fleet.members[0].update([], False, SECOND)
    assert fleet.members[0].available(SECOND) == 0


def test_a_message_for_another_quota_is_ignored() -> None:
    fleet = LeasingFleet(2)
    for _ in range(20):
        fleet.step([8, 0])
    available = fleet.members[0].available(fleet.now)
    other = QuotaLeasing(
        QuotaShare("trials", QUOTA, 2, 0, QuotaSettings(), 0), lambda: 8, partial(fleet.send, 0), 0
    )
    other.record_shortage()
    other.update([fleet.records[1]], True, fleet.now)
    fleet.members[1].on_message(fleet.records[0], fleet.messages[0][2], fleet.now)
    assert fleet.members[0].available(fleet.now) == available


class LoadCountingDispatcher(Dispatcher):
    """Records the maximum number of concurrent loads of all edges of a day."""

    instances: ClassVar[tuple["LoadCountingDispatcher", ...]] = ()
    max_loads: ClassVar[int] = 0

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        me = self.settings.instance_index
        others = [d for d in LoadCountingDispatcher.instances if d.settings.instance_index != me]
        LoadCountingDispatcher.instances = (*others, self)
        attempts: Any = self.attempts
        attempts.send = self.counting_loads(attempts.send)
        preloading: Any = self.preloading
        preloading.preload = self.counting_loads(preloading.preload)

    def counting_loads(self, act: Callable[..., Any]) -> Callable[..., Any]:
        def act_and_count(*args: Any) -> Any:
            done = act(*args)
            self.count_loads()
            return done

        return act_and_count

    def count_loads(self) -> None:
        workers = (worker for d in LoadCountingDispatcher.instances for worker in d.endpoints.workers)
        LoadCountingDispatcher.max_loads = max(
            LoadCountingDispatcher.max_loads, sum(worker.functions_loading for worker in workers)
        )


FAULTS = [
    {"kind": "edges_lossy", "at": "9 s", "lasts": "8 s", "share": 0.3, "by": "200 ms"},
    {"kind": "edges_apart", "at": "15 s", "lasts": "3 s", "share": 0.5},
    {"kind": "balancer_stall", "at": "14 s", "lasts": "2 s", "share": 0.5},
    {"kind": "edge_kill", "at": "18 s", "lasts": "1 s", "share": 0.3},
    {"kind": "burst", "at": "12 s", "lasts": "6 s", "factor": 4},
]


@pytest.mark.parametrize(("loads", "within"), [(QUOTA, True), (0, False)])
def test_concurrent_loads_of_all_edges_stay_within_the_quota_despite_faults(loads: int, within: bool) -> None:
    """Without the limit the same day has more concurrent loads, which shows that the limit matters."""
    LoadCountingDispatcher.instances, LoadCountingDispatcher.max_loads = (), 0
    script = fleet_day(FAULTS, length="26 s", edges=4, seed=3, traffic={"rate": 80, "functions": 60})
    script["deployment"]["fleet"]["loads"] = loads
    script["deployment"]["dispatcher"] |= {"of": 4}
    script["deployment"]["orders"]["time_out"] = "3 s"  # leases are three times as long, and start after that
    played = Played(script, partial(Edge, make=LoadCountingDispatcher))
    assert played.violations() == [] and (LoadCountingDispatcher.max_loads <= QUOTA) == within

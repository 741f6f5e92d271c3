"""Shares of a quota: their sum never exceeds it under any schedule, and injected faults are detected."""

import random
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lapistrestle.fleet.quota_share import Lease, OpenRequest, QuotaSettings, QuotaShare
from lapistrestle.wire.fleet import LeaseGrant, LeaseMessage, LeaseRequest, ProcessId

QUOTA, SETTINGS = 100, QuotaSettings(lease_duration=4_000, settling_time=500, clock_drift=0.1)

Datagram = tuple[int, ProcessId, int, ProcessId, LeaseMessage]  # receiver, sender, message
Use = tuple[float, int]  # end of the use (true time), units


class Schedule:
    """Dispatchers with drifting clocks, and datagrams that are lost, duplicated and delayed at random."""

    def __init__(self, seed: int, count: int = 4, kind: type[QuotaShare] = QuotaShare) -> None:
        self.random, self.kind, self.now = random.Random(seed), kind, 0
        self.rates = [self.random.uniform(0.92, 1.08) for _ in range(count)]
        self.boots = [0] * count
        self.shares = [self.make(i) for i in range(count)]
        self.dead = set[int]()
        self.stalled = set[int]()
        self.datagrams: list[Datagram] = []
        self.max_total = 0
        self.uses: list[list[Use]] = [[] for _ in range(count)]

    def make(self, i: int) -> QuotaShare:
        return self.kind("loads", QUOTA, len(self.rates), i, SETTINGS, self.clock(i))

    def clock(self, i: int) -> int:
        return 10_000 * i + int(self.now * self.rates[i])

    def process_id(self, i: int) -> ProcessId:
        return (f"e{i}", self.boots[i], 0)

    def send(self, target: int, source: int, message: LeaseMessage) -> None:
        sent = (target, self.process_id(target), source, self.process_id(source), message)
        self.datagrams += [sent] * self.random.choice((0, 1, 1, 2))

    def step(self) -> int:
        rng, count = self.random, len(self.shares)
        self.now += rng.choice((0, 5, 20, 100, 700))
        i = rng.randrange(count)
        act = rng.choice((*("ask", "use", "take") * 8, "back", "back", "fate"))
        if act == "fate":
            fate = rng.choice(("kill", "start", "start", "restart", "restart", "still", "wake", "wake"))
            if fate in ("kill", "restart"):
                self.dead.add(i)
                self.uses[i].clear()
            if fate in ("start", "restart") and i in self.dead:
                self.boots[i] += 1
                self.dead.discard(i)
                self.shares[i] = self.make(i)
            elif fate in ("still", "wake"):
                (self.stalled.add if fate == "still" else self.stalled.discard)(i)
        if i not in self.dead | self.stalled:
            self.act(act, i)
        return self.total()

    def run(self, steps: int) -> int:
        """Run steps. Returns the maximum of `total` so far."""
        for _ in range(steps):
            self.step()
        return self.max_total

    def act(self, act: str, i: int) -> None:
        share, now, rng = self.shares[i], self.clock(i), self.random
        self.uses[i] = [(until, units) for until, units in self.uses[i] if until > self.now]
        in_use = sum(units for _, units in self.uses[i])
        share.record_use(in_use, now)
        if act == "ask":
            share.demand = rng.choice((0, 10, 60))
            other = rng.randrange(len(self.shares))
            if other != i:
                request = share.request_lease(self.process_id(other), rng.randint(1, 60), now)
                if request:
                    self.send(other, i, request)
        elif act == "use" and (room := share.available(now) - in_use) > 0:
            units = rng.randint(1, room)
            self.uses[i].append((self.now + SETTINGS.settling_time / 1.1, units))
            share.record_use(in_use + units, now)
        elif act == "back":
            share.demand = 0
            for lender, returned in share.return_unneeded(now):
                self.send(int(lender[0][1:]), i, returned)
        elif act == "take" and self.datagrams:
            target, process_id, source, sender, message = self.datagrams.pop(
                rng.randrange(len(self.datagrams))
            )
            if target in self.dead | self.stalled or self.process_id(target) != process_id:
                return
            receiver, clock = self.shares[target], self.clock(target)
            if isinstance(message, LeaseRequest):
                answer = receiver.grant_lease(sender, message, clock)
                if answer:
                    self.send(source, target, answer)
            elif isinstance(message, LeaseGrant):
                receiver.on_grant(sender, message, clock)
            else:
                receiver.on_return(sender, message)

    def total(self) -> int:
        """Units that all dispatchers together use or may use at this true time."""
        total = 0
        for i, share in enumerate(self.shares):
            used = sum(units for until, units in self.uses[i] if until > self.now)
            total += max(used, 0 if i in self.dead else share.available(self.clock(i)))
        self.max_total = max(self.max_total, total)
        return total


@settings(max_examples=150, deadline=None)
@given(st.integers(0, 2**32), st.integers(2, 6))
def test_the_sum_never_exceeds_the_quota(seed: int, count: int) -> None:
    assert Schedule(seed, count).run(400) <= QUOTA


class ShortensLeases(QuotaShare):
    """Fault: an expired lease is used again though the borrower may still use it."""

    def longest_lease(self) -> int:
        return int(self.settings.lease_duration * 0.7)


class CountsFromGrant(QuotaShare):
    """Fault: the borrower counts the lease from the grant, not from its request."""

    def on_grant(self, lender: ProcessId, message: LeaseGrant, now: int) -> None:
        if self.open_requests.get(message.number) == (lender, message.requested_at):
            self.open_requests[message.number] = OpenRequest(lender, now)
            super().on_grant(
                lender, LeaseGrant(message.quota, message.number, now, message.units, message.duration), now
            )


class LeasesUnitsInUse(QuotaShare):
    """Fault: units in use within the settling time are leased out."""

    def peak_use(self, now: int) -> int:
        return 0


class AcceptsDuplicateGrants(QuotaShare):
    """Fault: a duplicate grant counts twice."""

    def on_grant(self, lender: ProcessId, message: LeaseGrant, now: int) -> None:
        self.borrowed[lender, message.number * 1_000 + len(self.borrowed)] = Lease(
            message.units, now + message.duration // 2
        )


class AcceptsGrantsOfPredecessor(QuotaShare):
    """Fault: a grant to the previous process with the same request number is accepted."""

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self.last_number = 0

    def on_grant(self, lender: ProcessId, message: LeaseGrant, now: int) -> None:
        if message.number in self.open_requests:
            asked = self.open_requests[message.number].requested_at
            super().on_grant(
                lender,
                LeaseGrant(message.quota, message.number, asked, message.units, message.duration),
                now,
            )


class UsesWholeShareAtStart(QuotaShare):
    """Fault: a new process uses its whole share at once, whatever its predecessor leased out."""

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self.full_from = 0


FAULTY = (
    ShortensLeases,
    CountsFromGrant,
    LeasesUnitsInUse,
    AcceptsDuplicateGrants,
    UsesWholeShareAtStart,
    AcceptsGrantsOfPredecessor,
)


@pytest.mark.parametrize("faulty", FAULTY)
def test_an_injected_fault_exceeds_the_quota(faulty: type[QuotaShare]) -> None:
    assert any(Schedule(seed, 4, faulty).run(400) > QUOTA for seed in range(400))


def test_units_are_leased_on_demand_and_returned() -> None:
    a, b = (QuotaShare("loads", 100, 2, i, SETTINGS, 0) for i in (0, 1))
    now = 10_000
    assert (a.available(now), b.available(now)) == (50, 50)
    b.demand = 60
    message = b.request_lease(("a", 0, 0), 10, now)
    assert message is not None
    grant = a.grant_lease(("b", 0, 0), message, now)
    assert grant is not None
    b.on_grant(("a", 0, 0), grant, now)
    assert (a.available(now), b.available(now)) == (40, 60)
    b.demand = 0
    [(lender, back)] = b.return_unneeded(now + 1_000)
    assert b.available(now + 1_000) == 50 and lender == ("a", 0, 0)
    a.on_return(("b", 0, 0), back)
    assert a.available(now + 1_100) == 50


def test_reserved_units_are_never_leased_and_available_at_once_after_a_start() -> None:
    a = QuotaShare("loads", 100, 2, 0, SETTINGS, 0)
    assert a.available(0) == 25 and a.grant_lease(("b", 0, 0), LeaseRequest("loads", 1, 0, 50), 0) is None
    now = a.full_from
    given = [a.grant_lease(("b", 0, 0), LeaseRequest("loads", n, 0, 50), now) for n in range(2, 12)]
    assert sum(g.units for g in given if g) == 25 and a.available(now) == 25


def test_an_unreturned_lease_expires() -> None:
    a = QuotaShare("loads", 100, 2, 0, SETTINGS, 0)
    now = a.full_from
    grant = a.grant_lease(("b", 0, 0), LeaseRequest("loads", 1, 0, 10), now)
    assert grant and a.available(now) == 40
    assert a.available(now + a.longest_lease() - 1) == 40 and a.available(now + a.longest_lease()) == 50


def test_shares_add_up_to_the_quota_and_an_unknown_member_has_none() -> None:
    for of in (1, 3, 7, 200, 333):
        assert sum(QuotaShare("x", QUOTA, of, i, SETTINGS, 0).own_units for i in range(of)) == QUOTA
    assert QuotaShare("x", QUOTA, 3, 5, SETTINGS, 0).available(10**9) == 0

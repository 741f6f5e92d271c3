"""Shares of a quota whose sum never exceeds it at any time, free of I/O (docs/fleet.md).

The quota is divided by member index: each dispatcher owns its units exclusively. Units follow demand by
leases (Gray, Cheriton, SOSP 1989). The lender reduces its use before it sends the grant, and uses the units
again only when the lease has expired on its own clock, counted from the receipt of the request; the borrower
counts the lease from when it *sent* the request, and both allow for clock drift. So no lost, late or
duplicated message, no crash and no stall makes two dispatchers use the same unit. While a dispatcher is down,
its own units are unused.

A process that starts does not know what its predecessor has leased out. Until the longest lease has expired
it uses only the reserved part of its units, which is never leased out.
"""

from collections import deque
from dataclasses import dataclass
from typing import NamedTuple

from lapistrestle.ticks import SECOND
from lapistrestle.wire.fleet import LeaseGrant, LeaseRequest, LeaseReturn, ProcessId

MAX_OPEN_REQUESTS = 8  # of one dispatcher
MAX_LEASES = 256  # granted at once: guards against a member that floods requests

LeaseKey = tuple[ProcessId, int]  # the other process, and the number of the borrower's request


@dataclass(frozen=True)
class QuotaSettings:
    """Durations and limits of leases. Durations are whole ticks of 0.1 ms."""

    lease_duration: int = 4 * SECOND
    settling_time: int = SECOND  # for which use counts after its end: a rate window, or work in flight
    clock_drift: float = 0.1  # maximum drift of a clock, as a fraction
    reserved_part: float = 0.5  # fraction of own units that is never leased out


@dataclass(frozen=True)
class Lease:
    """Units leased out or borrowed, until a time on the local clock."""

    units: int
    until: int


class OpenRequest(NamedTuple):
    """An own request that was not answered yet."""

    lender: ProcessId
    requested_at: int


class UseSample(NamedTuple):
    """Units in use at one time."""

    at: int
    units: int


class QuotaShare:
    """One dispatcher's share of a quota."""

    def __init__(
        self, name: str, total_units: int, members: int, member_index: int, settings: QuotaSettings, now: int
    ) -> None:
        """`total_units` are divided over `members`; a member index out of range owns none."""
        self.name = name
        self.settings = settings
        self.own_units = 0
        if 0 <= member_index < members:
            next_start = total_units * (member_index + 1) // members
            self.own_units = next_start - total_units * member_index // members
        self.reserved = int(self.own_units * settings.reserved_part)
        # earlier, leases granted by the previous process may still be valid
        self.full_share_from = now + self.longest_lease()
        self.leased_out: dict[LeaseKey, Lease] = {}
        self.borrowed: dict[LeaseKey, Lease] = {}
        self.open_requests: dict[int, OpenRequest] = {}  # by number
        self.use_samples: deque[UseSample] = deque()  # units decreasing, so that the first is the peak
        self.last_number = now  # so that no request number of the previous process is reused
        self.demand = 0  # units wanted
        self.is_suspended = False  # not a member of the fleet: no units may be used

    def longest_lease(self) -> int:
        """Time on the local clock after which every lease requested before has expired everywhere."""
        return int(self.settings.lease_duration * (1 + self.settings.clock_drift)) + 1

    def available(self, now: int) -> int:
        """Units that may be in use now; to be checked at each use, since leases may expire during a stall."""
        if self.is_suspended:
            return 0
        own = self.own_units if now >= self.full_share_from else self.reserved
        self.leased_out = {key: lease for key, lease in self.leased_out.items() if now < lease.until}
        self.borrowed = {key: lease for key, lease in self.borrowed.items() if now < lease.until}
        return own - self.leased_out_units() + self.borrowed_units()

    def leased_out_units(self) -> int:
        """Units leased to others."""
        return sum(lease.units for lease in self.leased_out.values())

    def borrowed_units(self) -> int:
        """Units leased from others."""
        return sum(lease.units for lease in self.borrowed.values())

    def record_use(self, units: int, now: int) -> None:
        """Record the units in use now."""
        while self.use_samples and self.use_samples[-1].units <= units:
            self.use_samples.pop()
        self.use_samples.append(UseSample(now, units))

    def peak_use(self, now: int) -> int:
        """The maximum of units in use within the settling time."""
        while len(self.use_samples) > 1 and self.use_samples[1].at <= now - self.settings.settling_time:
            self.use_samples.popleft()
        return max((sample.units for sample in self.use_samples), default=0)

    def headroom(self, now: int) -> int:
        """Available units that were not in use within the settling time."""
        return max(0, self.available(now) - self.peak_use(now))

    # as a borrower

    def request_lease(self, lender: ProcessId, units: int, now: int) -> LeaseRequest | None:
        """Create a request for units; None if too many requests are open or the share is suspended."""
        duration = self.settings.lease_duration
        self.open_requests = {
            number: request
            for number, request in self.open_requests.items()
            if now < request.requested_at + duration
        }
        if units <= 0 or len(self.open_requests) >= MAX_OPEN_REQUESTS or self.is_suspended:
            return None
        self.last_number += 1
        self.open_requests[self.last_number] = OpenRequest(lender, now)
        return LeaseRequest(self.name, self.last_number, now, units)

    def on_grant(self, lender: ProcessId, grant: LeaseGrant, now: int) -> None:
        """Borrow the units of a grant, once, with a lease that starts at the request.

        A grant that arrives after the end of its lease is ignored. Should a request number of the previous
        process be reused all the same, its grant differs in the time of the request.
        """
        request = self.open_requests.get(grant.number)
        if request != (lender, grant.requested_at) or grant.quota != self.name:
            return
        del self.open_requests[grant.number]
        settings = self.settings
        safe_duration = min(grant.duration, settings.lease_duration) * (1 - settings.clock_drift)
        until = grant.requested_at + int(safe_duration - settings.settling_time)
        if now < until:
            self.borrowed[lender, grant.number] = Lease(grant.units, until)

    def return_unneeded(self, now: int) -> list[tuple[ProcessId, LeaseReturn]]:
        """Give up leases that are not needed and were not in use recently. Returns receivers and messages."""
        headroom = self.headroom(now)
        returns = list[tuple[ProcessId, LeaseReturn]]()
        for (lender, number), lease in list(self.borrowed.items()):
            if lease.units <= headroom and self.demand <= self.available(now) - lease.units:
                headroom -= lease.units
                del self.borrowed[lender, number]
                returns.append((lender, LeaseReturn(self.name, number)))
        return returns

    # as a lender

    def grant_lease(self, borrower: ProcessId, request: LeaseRequest, now: int) -> LeaseGrant | None:
        """Lease out half of what is neither needed nor reserved; None if nothing is.

        A duplicate request gets the same grant again.
        """
        known = self.leased_out.get((borrower, request.number))
        if known is not None and now < known.until:
            return self.grant(request, known.units)
        if request.quota != self.name or now < self.full_share_from or self.is_suspended:
            return None
        if len(self.leased_out) >= MAX_LEASES:
            return None
        unneeded = self.available(now) - max(self.peak_use(now), self.demand)
        leasable = min(self.own_units - self.reserved - self.leased_out_units(), unneeded)
        units = min(request.units, (leasable + 1) // 2)
        if units <= 0:
            return None
        self.leased_out[borrower, request.number] = Lease(units, now + self.longest_lease())
        return self.grant(request, units)

    def grant(self, request: LeaseRequest, units: int) -> LeaseGrant:
        """The grant of `units` for a request."""
        duration = self.settings.lease_duration
        return LeaseGrant(self.name, request.number, request.requested_at, units, duration)

    def on_return(self, borrower: ProcessId, message: LeaseReturn) -> None:
        """End a lease that the borrower returns early."""
        if message.quota == self.name:
            self.leased_out.pop((borrower, message.number), None)

"""The admission controller of one dispatcher in a fleet: counters, load shedding and Retry-After times.

Free of I/O: counts and statistics in, decisions out. The admission level in force is the fleet's, the
dispatcher's own, or none, depending on which statistics are reliable (`statistics_source`). Both levels are
always computed, so that a switch between them starts from current values.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from enum import StrEnum
from math import inf
from typing import Any

from lapistrestle.fleet.gossip_counters import CounterSettings, FleetStatistics, GossipCounters
from lapistrestle.fleet.seeded_random import SeededRandom
from lapistrestle.overload.level_controller import LevelController, Traffic
from lapistrestle.overload.priorities import AdmissionLevel, PriorityLevels, hash_fraction
from lapistrestle.overload.retry_after import RetryReservations
from lapistrestle.overload.retry_budget import RetryTraffic, retry_rate
from lapistrestle.overload.statistics_source import DISPLAY_NAMES, SourceSelector, StatisticsSource
from lapistrestle.overload.unused_capacity import UnusedCapacityBucket
from lapistrestle.policy.settings import Settings
from lapistrestle.ticks import SECOND
from lapistrestle.wire.fleet import ProcessId

UPDATE_EVERY = SECOND // 2  # interval of updates; statistics are not gossiped more often
MIN_RETRY_AFTER = SECOND // 2  # earlier retries would come before the statistics show the rejection's effect
MAX_CUSTOMERS = 24  # with counters of their own; the quotas of further ones are not enforced


class Counter(StrEnum):
    """Counters of requests. Their names and order are part of the layout that all members must share."""

    ADMITTED = "let"
    GOOD = "good"  # finished in time
    BAD = "bad"  # finished late or failed
    EXCLUDED = "gone"  # finished in a way that says nothing about the load of the workers
    FAULT = "fault"  # failed quickly, by a worker's fault
    RETRIES = "again"  # attempts after the first, whether the budget allowed them or not
    CLIENT_RETRIES = "repeat"  # admitted requests that are retries by their clients


class RequestOutcome(StrEnum):
    """How an admitted request finished; the values are those of the host."""

    OK = "ok"
    REJECTED = "denied"
    ABORTED = "aborted"
    CLIENT_GONE = "left"
    MOVED = "moved"  # withdrawn and restarted on another version


@dataclass(frozen=True)
class AdmissionSettings:
    """The settings of a deployment that admission uses. Durations are whole ticks of 0.1 ms."""

    gains: tuple[float, ...]  # of each method
    over_share_gain: float  # factor on the gain of requests beyond a customer's quota
    soft_deadline: int  # mean over the methods
    quotas: tuple[float, ...]  # of each customer, requests a second; 0: none
    longest_retry_after: int  # 0: clients are given no Retry-After

    @classmethod
    def of(cls, settings: Settings) -> "AdmissionSettings":
        """Return the part of the module's settings that admission uses."""
        methods = settings.methods
        return cls(
            gains=tuple(method.gain for method in methods),
            over_share_gain=settings.over_share_gain,
            soft_deadline=sum(method.soft_deadline for method in methods) // max(1, len(methods)),
            quotas=tuple(customer.quota for customer in settings.customers),
            longest_retry_after=settings.max_retry_after if settings.may_retry_after else 0,
        )


class AdmissionController:
    """Admits or rejects requests; `counters` are gossiped, and `update` reads the fleet's statistics."""

    def __init__(
        self,
        settings: AdmissionSettings,
        process_id: ProcessId,
        counter_settings: CounterSettings,
        seed: int,
        log_line: Callable[[str], None],
        now: int,
    ) -> None:
        self.settings = settings
        self.random = SeededRandom(seed)
        self.priorities = PriorityLevels(settings.gains, settings.over_share_gain)
        count = self.priorities.count
        soft_deadline = settings.soft_deadline
        self.demand_counters = [f"asked {priority}" for priority in range(count)]
        counted_customers = min(MAX_CUSTOMERS, len(settings.quotas))
        self.customer_counters = [f"customer {i}" for i in range(counted_customers)]
        columns = [*self.demand_counters, *(counter.value for counter in Counter), *self.customer_counters]
        self.counters = GossipCounters(columns, process_id, counter_settings, now)
        self.fleet_level = LevelController(count, soft_deadline, lambda text: log_line(f"fleet {text}"), now)
        self.own_level = LevelController(count, soft_deadline, lambda _text: None, now)
        self.source_selector = SourceSelector(log_line, now)
        self.reservations = RetryReservations(settings.longest_retry_after, now)
        self.unused_capacity = UnusedCapacityBucket(now)
        self.level = AdmissionLevel(count)  # in force
        self.retry_capacity = 0.0  # requests a second that this dispatcher can offer to retrying clients
        self.quota_fractions = dict[
            int, float
        ]()  # by customer: the fraction of its requests within its quota
        self.fleet_size = 1  # last known
        self.rejected = 0
        self.retry_rate = inf  # retries a second that this dispatcher may make of the fleet's budget
        self.statistics: FleetStatistics | None = None  # the fleet's, as of the last update

    # requests

    def admit(self, method: int, customer: int, is_retry: bool, key: str, now: int) -> int | None:
        """Return None to admit a request, else the Retry-After in ticks of the rejection; 0: without one."""
        is_beyond_quota = hash_fraction(f"share {key}") >= self.quota_fractions.get(customer, 1.0)
        priority = self.priorities.priority_of(method, is_beyond_quota, is_retry)
        self.counters.add(self.demand_counters[priority])
        if customer < len(self.customer_counters):
            self.counters.add(self.customer_counters[customer])
        is_admitted = self.level.admits(priority, key)
        if is_admitted:
            self.unused_capacity.charge(now)
        if is_admitted or self.unused_capacity.try_take(now):
            self.counters.add(Counter.ADMITTED)
            self.counters.add(Counter.CLIENT_RETRIES, int(is_retry))
            return None
        self.rejected += 1
        spread = self.random.fraction()
        return self.reservations.reserve(now, MIN_RETRY_AFTER, self.retry_capacity, spread)

    def count_restart(self) -> None:
        """Count an admitted request that restarts on another version."""
        self.counters.add(Counter.ADMITTED)

    def count_retry(self) -> None:
        """Count an attempt after the first that is sent, or that the retry budget did not allow."""
        self.counters.add(Counter.RETRIES)

    def on_request_finished(
        self, outcome: RequestOutcome, is_late: bool, reached_worker: bool, is_worker_fault: bool = False
    ) -> None:
        """Count an admitted request that has finished.

        A request that reached no worker is no sign of overload, however it finished: the policy sheds load
        itself, and a level that counted these as overload would reject more and more. Nor is a quick failure
        by a worker's fault: it occupied the worker like a served request, and admitting fewer requests would
        only serve fewer.
        """
        is_abandoned = outcome in (RequestOutcome.CLIENT_GONE, RequestOutcome.MOVED)
        if outcome is RequestOutcome.OK and not is_late:
            counter = Counter.GOOD
        elif not reached_worker or (is_abandoned and not is_late):
            counter = Counter.EXCLUDED
        elif is_worker_fault and not is_late:
            counter = Counter.FAULT
        else:
            counter = Counter.BAD
        self.counters.add(counter)

    # statistics

    def update(self, is_present: Callable[[str], bool], size: int, now: int) -> None:
        """Recompute the admission level and the budgets.

        `is_present` says whether a member is alive; `size` counts the members including this one, 0 if it is
        not a member.
        """
        fleet = self.counters.statistics(now, is_present, max(1, size))
        own = self.counters.own_statistics()
        self.statistics = fleet
        if size > 1:
            self.fleet_size = size
        fleet_traffic = self.traffic(fleet)
        own_traffic = self.traffic(own)
        source = self.source_selector.update(fleet.counted, size, own_traffic.admitted, now)
        levels = {
            StatisticsSource.FLEET: self.fleet_level.update(fleet_traffic, now),
            StatisticsSource.OWN: self.own_level.update(own_traffic, now),
            StatisticsSource.NONE: AdmissionLevel(self.priorities.count),
        }
        self.level = levels[source]
        if source is StatisticsSource.FLEET:
            self.update_capacity(self.fleet_level.capacity, fleet_traffic, own_traffic, now)
            self.update_budgets(fleet.rates, own.rates, source)
        else:
            self.update_capacity(self.own_level.capacity, own_traffic, own_traffic, now)
            self.update_budgets(own.rates, own.rates, source)

    def update_capacity(self, capacity: float, traffic: Traffic, own: Traffic, now: int) -> None:
        """Update this dispatcher's part of the capacity, for requests above the level and client retries."""
        bucket = self.unused_capacity
        part = bucket.own_part(sum(own.demand), sum(traffic.demand), traffic.age, now)
        bucket.set_rate(capacity * part if self.is_shedding else inf, now)
        self.retry_capacity = self.capacity_for_retries(own, capacity, part)

    def capacity_for_retries(self, own: Traffic, capacity: float, part: float) -> float:
        """Return the requests a second that this dispatcher's part leaves beyond the first requests."""
        if capacity == inf:
            return 0.0
        by_priority = zip(own.demand, self.priorities.priorities, strict=False)
        first_requests = sum(rate for rate, priority in by_priority if not priority.is_retry)
        return max(0.0, capacity * part - first_requests)

    def update_budgets(
        self, rates: Mapping[str, float], own: Mapping[str, float], source: StatisticsSource
    ) -> None:
        """Update this dispatcher's part of the retry budget, and each customer's fraction within quota."""
        is_known = source is not StatisticsSource.NONE
        self.retry_rate = retry_rate(retry_traffic(rates), retry_traffic(own), is_known)
        self.quota_fractions.clear()
        if not is_known:
            return
        # with its own statistics alone, a dispatcher enforces an equal part of each quota
        divisor = 1 if source is StatisticsSource.FLEET else self.fleet_size
        for i, name in enumerate(self.customer_counters):
            quota = self.settings.quotas[i] / divisor
            rate = rates[name]
            if 0 < quota < rate:
                self.quota_fractions[i] = quota / rate

    @property
    def is_shedding(self) -> bool:
        """Whether the level in force rejects anything."""
        return self.level.priority < self.priorities.count

    def traffic(self, statistics: FleetStatistics) -> Traffic:
        """Return the counters as traffic; excluded requests do not count as admitted."""
        rates = statistics.rates
        totals = statistics.totals
        finished = (Counter.GOOD, Counter.BAD, Counter.EXCLUDED, Counter.FAULT)
        in_flight = totals[Counter.ADMITTED] - sum(totals[counter] for counter in finished)
        return Traffic(
            demand=tuple(rates[name] for name in self.demand_counters),
            admitted=max(0.0, rates[Counter.ADMITTED] - rates[Counter.EXCLUDED]),
            good=rates[Counter.GOOD] + rates[Counter.FAULT],
            bad=rates[Counter.BAD],
            in_flight=max(0.0, in_flight),
            age=statistics.age,
        )

    def show(self) -> dict[str, Any]:
        """Return the state for operators, under the names of `lapistrestle fleet show --json`."""
        statistics = self.statistics
        return {
            "step": DISPLAY_NAMES[self.source_selector.source],
            "shedding": self.fleet_level.state.value,
            "level": round(self.level.value, 3),
            "rungs": self.priorities.count,
            "denied": self.rejected,
            "further": None if self.retry_rate == inf else round(self.retry_rate, 1),
            "told": statistics.counted if statistics else 1,
            "age ms": statistics.age / 10 if statistics else 0.0,
            "rates": {k: round(v, 1) for k, v in statistics.rates.items()} if statistics else {},
            "beyond": {str(i): round(1 - part, 3) for i, part in self.quota_fractions.items()},
        }


def retry_traffic(rates: Mapping[str, float]) -> RetryTraffic:
    """Return the rates from which the retry budget is computed."""
    return RetryTraffic(
        good=rates[Counter.GOOD],
        retries=rates[Counter.RETRIES],
        client_retries=rates[Counter.CLIENT_RETRIES],
    )

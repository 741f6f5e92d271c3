"""Admission control: requests that are rejected before any attempt.

Pressure is measured as the sojourn time by Little's law: requests in flight over the rate of answers. Traffic
beyond a customer's quota is rejected first (docs/design.md, "Denials").
"""

from math import sqrt
from typing import Final

from lapistrestle.policy.attempts import Attempts
from lapistrestle.policy.clock import Clock
from lapistrestle.policy.entities import Request
from lapistrestle.policy.estimates import LONG_TIME_CONSTANT, SHORT_TIME_CONSTANT, DecayingSum
from lapistrestle.policy.latency_estimates import LatencyEstimates
from lapistrestle.policy.ports import Host
from lapistrestle.policy.seeded_random import SeededRandom
from lapistrestle.policy.settings import Settings
from lapistrestle.policy.throughput import Throughput
from lapistrestle.policy.types import EndpointState
from lapistrestle.ticks import SECOND

# Fractions of the latency objective at which a sojourn time starts and stops to count as pressure; the gap
# between them avoids flapping.
PRESSURE_ON_FRACTION: Final = 1 / 2
PRESSURE_OFF_FRACTION: Final = 1 / 4
# Ticks after the start in which the rate of answers is not known yet, so that nothing counts as pressure.
LEARNING_PERIOD: Final = SHORT_TIME_CONSTANT
QUOTA_DRAW_RANGE: Final = 1_000  # resolution of the random draw against a customer's quota


class Admission:
    """Rejects requests that cannot finish in time, and traffic beyond quotas under pressure."""

    def __init__(
        self,
        host: Host,
        settings: Settings,
        clock: Clock,
        rng: SeededRandom,
        latency: LatencyEstimates,
        throughput: Throughput,
        attempts: Attempts,
    ) -> None:
        self.host = host
        self.settings = settings
        self.clock = clock
        self.rng = rng
        self.latency = latency
        self.throughput = throughput
        self.attempts = attempts
        self.under_pressure = False
        self.demand_by_customer = [DecayingSum(LONG_TIME_CONSTANT, clock.now) for _ in settings.customers]

    def admits(self, request: Request) -> bool:
        """Whether the request may be placed. Rejects too many while a backlog drains, as the rate of answers
        still reflects the backlog.
        """
        objective = self.latency.objective(request)
        sojourn_time = self.sojourn_time(objective)
        self.update_pressure(sojourn_time, objective)
        limit = objective * PRESSURE_ON_FRACTION if self.beyond_quota(request) else objective
        return not (sojourn_time > limit or self.cannot_finish_in_time(request))

    def sojourn_time(self, objective: int) -> float:
        """Return the sojourn time in ticks, to compare with a latency objective. The number in flight is
        reduced by its chance variation, as a few requests at a low rate would otherwise count as pressure.
        """
        rate = self.throughput.ok_rate()
        if rate * objective > 1:
            count = self.attempts.warm_count
            sojourn_time = max(0, count - 2 * sqrt(count) - 1) / rate
        else:
            sojourn_time = self.oldest_attempt_age()
        return sojourn_time if self.clock.now > self.clock.started + LEARNING_PERIOD else 0.0

    def oldest_attempt_age(self) -> float:
        """Return the age in ticks of the oldest warm attempt, used if there are too few answers for a rate. A
        burst after an idle period is then not taken for overload.
        """
        now = self.clock.now
        serving = (a.sent_at for a in self.attempts.warm if a.worker.endpoint_state is EndpointState.SERVING)
        return now - next(serving, now)

    def update_pressure(self, sojourn_time: float, objective: int) -> None:
        """Update whether there is pressure, and log each change."""
        if self.under_pressure:
            changes = sojourn_time < objective * PRESSURE_OFF_FRACTION
        else:
            changes = sojourn_time > objective * PRESSURE_ON_FRACTION
        if changes:
            self.under_pressure = not self.under_pressure
            state = "on" if self.under_pressure else "off"
            self.host.log(f"pressure {state}: sojourn time {sojourn_time:.0f} of objective {objective}")

    def cannot_finish_in_time(self, request: Request) -> bool:
        """Whether the request would miss its deadline even without queueing: the client has little patience,
        or the request is heavy. Wrong if its work hint is.
        """
        return request.deadline - self.clock.now < self.latency.isolated(request.function) * request.scale

    def beyond_quota(self, request: Request) -> bool:
        """Whether the request counts as beyond its customer's quota; drawn at random, by the excess of its
        traffic.
        """
        if request.customer >= len(self.demand_by_customer):
            return False
        demand = self.demand_by_customer[request.customer]
        demand.add(self.clock.now, 1)
        quota = self.settings.customers[request.customer].quota
        share = quota / SECOND / self.settings.dispatcher_count
        if share <= 0:
            return False
        return self.rng.randbelow(QUOTA_DRAW_RANGE) > QUOTA_DRAW_RANGE * share / self.throughput.rate(demand)

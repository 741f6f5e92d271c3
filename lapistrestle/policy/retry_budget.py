"""The retry budget: as many retries as recent ok answers, reduced by the share of retries that fail."""

from math import inf
from typing import Final

from lapistrestle.policy.clock import Clock
from lapistrestle.policy.entities import Request
from lapistrestle.policy.estimates import SHORT_TIME_CONSTANT, DecayingMean
from lapistrestle.policy.fleet_guidance import FleetGuidance
from lapistrestle.policy.throughput import Throughput
from lapistrestle.policy.types import Attempt, Outcome
from lapistrestle.ticks import SECOND

# Retries per recent ok answer if all retries succeed. Prevents retries from amplifying an outage.
RETRIES_PER_OK: Final = 1.0
# Retries within the short time constant, regardless of ok answers, so that an idle dispatcher may retry.
MIN_RETRIES: Final = 2
FLEET_MIN_RETRIES: Final = 1  # the same, if the fleet sets a retry budget


class RetryBudget:
    """Recent retries and their outcomes."""

    def __init__(self, clock: Clock, fleet: FleetGuidance, throughput: Throughput) -> None:
        self.clock = clock
        self.fleet = fleet
        self.throughput = throughput
        self.results = DecayingMean(SHORT_TIME_CONSTANT)  # of retries; 1: ok, 0: failed

    def add_result(self, attempt: Attempt, outcome: Outcome) -> None:
        """Record the outcome of a retry. "Not loaded" costs the worker nothing and does not count."""
        if attempt is not attempt.request.attempts[0] and outcome is not Outcome.NOT_LOADED:
            self.results.add(self.clock.now, outcome is Outcome.OK)

    def allows(self, request: Request) -> bool:
        """Whether the request may be retried; always if every attempt was answered "not loaded"."""
        now = self.clock.now
        retries = self.results.count.read(now)
        ok_answers = self.throughput.ok_answers.read(now)
        limit = MIN_RETRIES + RETRIES_PER_OK * ok_answers * self.results.read(1.0)
        if self.fleet.retries_per_second != inf:
            fleet_share = self.fleet.retries_per_second * SHORT_TIME_CONSTANT / SECOND
            limit = min(limit, FLEET_MIN_RETRIES + fleet_share)
        if retries < limit:
            return True
        return all(attempt.outcome is Outcome.NOT_LOADED for attempt in request.attempts)

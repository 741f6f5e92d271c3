"""The retry budget: as many further attempts as recent ok answers, fewer in the measure in which they
failed.
"""

from math import inf
from typing import Final

from lapistrestle.policy.clock import Clock
from lapistrestle.policy.entities import Request
from lapistrestle.policy.estimates import SHORT_TIME_CONSTANT, DecayingMean
from lapistrestle.policy.fleet_guidance import FleetGuidance
from lapistrestle.policy.throughput import Throughput
from lapistrestle.policy.types import Attempt, Outcome
from lapistrestle.ticks import SECOND

# Retries for each recent ok answer, where all retries succeed. Guards against retries that multiply an
# outage.
RETRIES_PER_OK: Final = 1.0
MIN_RETRIES: Final = 2  # within the short memory, whatever succeeds: a dispatcher at rest may retry too
FLEET_MIN_RETRIES: Final = 1  # the same where the fleet's budget is told


class RetryBudget:
    """Recent retries and how they ended."""

    def __init__(self, clock: Clock, fleet: FleetGuidance, throughput: Throughput) -> None:
        self.clock = clock
        self.fleet = fleet
        self.throughput = throughput
        self.results = DecayingMean(SHORT_TIME_CONSTANT)  # of retries: 1 ok, 0 not

    def add_result(self, attempt: Attempt, outcome: Outcome) -> None:
        """Count the attempt if it was a retry. One that met no copy cost nothing and does not count."""
        if attempt is not attempt.request.attempts[0] and outcome is not Outcome.NOT_LOADED:
            self.results.add(self.clock.now, outcome is Outcome.OK)

    def allows(self, request: Request) -> bool:
        """Whether the request may be sent once more; where no attempt met a copy, it always may."""
        now = self.clock.now
        made = self.results.count.read(now)
        ok_answers = self.throughput.ok_answers.read(now)
        most = MIN_RETRIES + RETRIES_PER_OK * ok_answers * self.results.read(1.0)
        if self.fleet.retries_per_second != inf:
            fleet_part = self.fleet.retries_per_second * SHORT_TIME_CONSTANT / SECOND
            most = min(most, FLEET_MIN_RETRIES + fleet_part)
        if made < most:
            return True
        return all(attempt.outcome is Outcome.NOT_LOADED for attempt in request.attempts)

"""One retry budget for the fleet, divided by need.

A retry is worth its cost while what is retried is little beside what is served; past that it is the load that
makes retries needed (Beyer et al., Site Reliability Engineering, 2016, chapter 21). The budget is a part of
what the fleet serves, less what its clients retry by themselves, which costs workers the same. Each
dispatcher takes of it in proportion to the retries that it wants.
"""

from dataclasses import dataclass
from math import inf

RETRY_RATIO = 0.2  # of what is served in time may be retried
MIN_RATE = 1.0  # a second for each dispatcher: without any nothing would show that it works again


@dataclass(frozen=True)
class RetryTraffic:
    """Requests a second, of the fleet or of oneself."""

    good: float  # served in time
    retries: float  # attempts after the first that were wanted, made or not
    client_retries: float = 0.0  # admitted requests that clients had sent before


def retry_rate(fleet: RetryTraffic, own: RetryTraffic, is_known: bool) -> float:
    """Retries a second that one may make; inf where no statistics are known.

    The policy's own limit is the only one then. The fleet's traffic includes one's own.
    """
    if not is_known:
        return inf
    budget = max(0.0, RETRY_RATIO * fleet.good - fleet.client_retries)
    need = own.retries / fleet.retries if fleet.retries > 0 else 0.0
    if fleet.retries > budget:
        return max(MIN_RATE, budget * need)
    return max(MIN_RATE, budget * need, min(RETRY_RATIO * own.good, budget))

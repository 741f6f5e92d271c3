"""One retry budget for the fleet, divided by need.

Retries are worth their cost while they are few compared to the served requests; beyond that they cause the
overload that makes more retries necessary (Beyer et al., Site Reliability Engineering, 2016, chapter 21). The
budget is a fraction of the requests that the fleet serves, less the retries of its clients, which cost
workers the same. Each dispatcher gets a part of it in proportion to the retries that it wants to make.
"""

from dataclasses import dataclass
from math import inf

RETRY_RATIO = 0.2  # retries to requests served in time
MIN_RATE = 1.0  # retries a second of each dispatcher, without which it could not notice a recovery


@dataclass(frozen=True)
class RetryTraffic:
    """Rates in requests a second, of the fleet or of one dispatcher."""

    good: float  # served in time
    retries: float  # attempts after the first, whether the budget allowed them or not
    client_retries: float = 0.0  # admitted requests that are retries by their clients


def retry_rate(fleet: RetryTraffic, own: RetryTraffic, is_known: bool) -> float:
    """Return the retries a second that a dispatcher may make; inf if no statistics are known.

    In that case only the policy's own limit applies. The fleet's traffic includes the dispatcher's own.
    """
    if not is_known:
        return inf
    budget = max(0.0, RETRY_RATIO * fleet.good - fleet.client_retries)
    need = own.retries / fleet.retries if fleet.retries > 0 else 0.0
    if fleet.retries > budget:
        return max(MIN_RATE, budget * need)
    return max(MIN_RATE, budget * need, min(RETRY_RATIO * own.good, budget))

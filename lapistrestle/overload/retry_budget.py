"""One budget of further attempts for the fleet, divided by need: what all together may try again.

A further attempt is worth its cost while what is tried again is little beside what is done; past that it is
the load that makes further ones needed. The budget is a part of what the fleet gets done, less what its
clients repeat by themselves, which costs workers the same. Each takes of it as its wishes stand to all.
"""

from collections.abc import Mapping
from math import inf

RETRY_RATIO = 0.2  # of what is done in time may be tried again
MIN_RATE = 1.0  # a second for each dispatcher: without any nothing would show that it works again


def retry_rate(fleet: Mapping[str, float], own: Mapping[str, float], known: bool) -> float:
    """Further attempts a second that one may make; inf where no figures are `known`: the module's own limit
    is the only one then. Rates a second of `good`, `again` (further attempts wished for, made or not) and
    `repeat` (clients' repeats let in), the fleet's with one's own among them."""
    if not known:
        return inf
    whole = max(0.0, RETRY_RATIO * fleet["good"] - fleet["repeat"])
    need = own["again"] / fleet["again"] if fleet["again"] > 0 else 0.0
    if fleet["again"] > whole:
        return max(MIN_RATE, whole * need)
    return max(MIN_RATE, whole * need, min(RETRY_RATIO * own["good"], whole))

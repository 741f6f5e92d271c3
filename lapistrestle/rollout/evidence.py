"""What is known of a candidate against the settled version in the same minutes, by tests that may be read
at any time.

Edges report running counts for each of their starts and minutes; the largest report of each counts, so that
one that comes twice, late or out of order adds nothing. In each minute the two versions are compared with
each other alone: trouble of the fleet raises both, and tells nothing.

Two test martingales grow with the minutes. By Ville's inequality the odds that one ever reaches 1/p where
its hypothesis is true are at most p, however often it is looked at:

- *harm*, against 'the candidate is no worse': given how many RPCs of a minute went badly, how many of them
  were the candidate's, under odds of HARM_ODDS_RATIO to 1 instead of 1 (Fisher's noncentral hypergeometric
  distribution);
- *good*, against 'the candidate goes badly MAX_ACCEPTED_EXCESS more often': the candidate's bad ones under
  the settled version's rate of the same minutes instead of that rate and MAX_ACCEPTED_EXCESS. The rate is
  itself measured; simulation holds the stated odds to account.
"""

from dataclasses import dataclass, field
from functools import lru_cache
from math import log
from typing import NamedTuple

from scipy.stats import nchypergeom_fisher

HARM_ODDS_RATIO = 2.5  # of going badly, at which harm is looked for
MAX_ACCEPTED_EXCESS = 0.02  # share of RPCs going badly more often, that must be ruled out before a step grows
FALSE_ROLLBACK_PROBABILITY = 0.01  # odds of turning back a candidate that is no worse
FALSE_ADVANCE_PROBABILITY = 0.05  # odds of growing one that is worse by MAX_ACCEPTED_EXCESS, at each step
MIN_REQUESTS_PER_VERSION = 50  # RPCs of each version in what a step is judged by


class OutcomeCounts(NamedTuple):
    """Running counts: RPCs of each version that ended, and those of them that went badly."""

    settled: int = 0
    settled_bad: int = 0
    candidate: int = 0
    candidate_bad: int = 0


@dataclass(frozen=True)
class Verdict:
    log_harm: float  # log of the martingale
    log_safety: float
    settled: int
    candidate: int

    @property
    def must_roll_back(self) -> bool:
        return self.log_harm >= log(1 / FALSE_ROLLBACK_PROBABILITY)

    @property
    def may_advance(self) -> bool:
        enough = min(self.settled, self.candidate) >= MIN_REQUESTS_PER_VERSION
        return enough and not self.must_roll_back and self.log_safety >= log(1 / FALSE_ADVANCE_PROBABILITY)


@dataclass
class Evidence:
    """Of one step. `at` keys a report: edge, its start, and minute."""

    reports: dict[tuple[str, str, int], OutcomeCounts] = field(default_factory=dict)

    def add_report(self, edge: str, start: str, minute: int, tally: OutcomeCounts) -> bool:
        """Take a running count; False if it added nothing."""
        key = (edge, start, minute)
        before = self.reports.get(key, OutcomeCounts())
        after = OutcomeCounts(*map(max, before, tally))
        self.reports[key] = after
        return after != before

    def totals_by_minute(self) -> dict[int, OutcomeCounts]:
        made: dict[int, OutcomeCounts] = {}
        for (_, _, minute), tally in self.reports.items():
            made[minute] = OutcomeCounts(
                *(a + b for a, b in zip(made.get(minute, OutcomeCounts()), tally, strict=True))
            )
        return dict(sorted(made.items()))

    def verdict(self) -> Verdict:
        harm = good = 0.0
        settled = candidate = 0
        for tally in self.totals_by_minute().values():
            settled, candidate = settled + tally.settled, candidate + tally.candidate
            harm += log_harm_ratio(tally)
            good += log_safety_ratio(tally)
        return Verdict(harm, good, settled, candidate)


@lru_cache(maxsize=10_000)  # a minute that is over is asked for again at each look
def log_harm_ratio(tally: OutcomeCounts) -> float:
    """Log of the likelihood ratio of a minute for odds of HARM_ODDS_RATIO against 1."""
    bad = tally.settled_bad + tally.candidate_bad
    every = tally.settled + tally.candidate
    if not bad or bad == every or not tally.settled or not tally.candidate:
        return 0.0
    worse = nchypergeom_fisher.logpmf(tally.candidate_bad, every, tally.candidate, bad, HARM_ODDS_RATIO)
    alike = nchypergeom_fisher.logpmf(tally.candidate_bad, every, tally.candidate, bad, 1.0)
    return float(worse - alike)


def log_safety_ratio(tally: OutcomeCounts) -> float:
    """Log of the likelihood ratio of a minute for the settled rate against it and MAX_ACCEPTED_EXCESS."""
    if not tally.settled or not tally.candidate:
        return 0.0
    rate = (tally.settled_bad + 0.5) / (tally.settled + 1)
    worse = min(0.999, rate + MAX_ACCEPTED_EXCESS)
    fine = tally.candidate - tally.candidate_bad
    return tally.candidate_bad * log(rate / worse) + fine * log((1 - rate) / (1 - worse))

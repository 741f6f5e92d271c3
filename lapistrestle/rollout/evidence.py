"""Sequential tests of a candidate against the settled version, valid at any time of reading.

Edges report cumulative counts for each of their starts and minutes. The largest report of each counts, so
that a repeated, late or reordered report adds nothing. The two versions are compared within each minute only:
a fault of the whole fleet raises the failure rates of both, and is no evidence.

Two test martingales accumulate over the minutes. By Ville's inequality (J. Ville, *Étude critique de la
notion de collectif*, 1939) the probability that one ever reaches 1/p while its null hypothesis is true is at
most p, however often it is evaluated:

- *harm*, with the null hypothesis that the candidate is no worse: given the number of failed requests in a
  minute, the likelihood of the candidate's part of them under odds of HARM_ODDS_RATIO to 1 against odds of 1
  (Fisher's noncentral hypergeometric distribution);
- *safety*, with the null hypothesis that the candidate fails MAX_ACCEPTED_EXCESS more often: the likelihood
  of the candidate's failures under the settled version's rate in the same minute against that rate plus
  MAX_ACCEPTED_EXCESS. The rate is an estimate, so simulations verify the stated probabilities
  (`docs/rollout.md`, *Evidence*).
"""

from dataclasses import dataclass, field
from functools import lru_cache
from math import log
from typing import NamedTuple

from scipy.stats import nchypergeom_fisher

HARM_ODDS_RATIO = 2.5
"""Odds ratio of failure, candidate to settled version, of the alternative hypothesis of the harm test."""

MAX_ACCEPTED_EXCESS = 0.02
"""Excess failure rate of the candidate that must be ruled out before the weight grows."""

FALSE_ROLLBACK_PROBABILITY = 0.01
"""Maximum probability of rolling back a candidate that is no worse."""

FALSE_ADVANCE_PROBABILITY = 0.05
"""Maximum probability, at each step, of advancing a candidate that is worse by MAX_ACCEPTED_EXCESS."""

MIN_REQUESTS_PER_VERSION = 50
"""Requests of each version that a step needs as evidence."""

MAX_RATE = 0.999
"""Upper bound of the failure rate assumed by the safety test, below 1 so that the logarithm exists."""

CACHED_MINUTES = 10_000
"""Minutes whose harm ratio is cached, as past minutes are evaluated again at each tick."""


class OutcomeCounts(NamedTuple):
    """Cumulative counts of finished requests of each version, and of the failed ones among them."""

    settled: int = 0
    settled_bad: int = 0
    candidate: int = 0
    candidate_bad: int = 0

    def plus(self, other: "OutcomeCounts") -> "OutcomeCounts":
        """Return the sum of both."""
        return OutcomeCounts(*(left + right for left, right in zip(self, other, strict=True)))


class ReportKey(NamedTuple):
    """The source of a report: an edge, one of its starts, and a minute of its clock."""

    edge: str
    start: str
    minute: int


@dataclass(frozen=True)
class Verdict:
    """The result of the tests for one step.

    `log_harm` and `log_safety` are the natural logarithms of the two martingales, `settled` and `candidate`
    the numbers of requests of each version that were counted.
    """

    log_harm: float
    log_safety: float
    settled: int
    candidate: int

    @property
    def must_roll_back(self) -> bool:
        """Whether the harm test has rejected that the candidate is no worse."""
        return self.log_harm >= log(1 / FALSE_ROLLBACK_PROBABILITY)

    @property
    def may_advance(self) -> bool:
        """Whether the safety test has rejected, on enough requests, that the candidate is much worse."""
        enough = min(self.settled, self.candidate) >= MIN_REQUESTS_PER_VERSION
        return enough and not self.must_roll_back and self.log_safety >= log(1 / FALSE_ADVANCE_PROBABILITY)


@dataclass
class Evidence:
    """The reports on one step."""

    reports: dict[ReportKey, OutcomeCounts] = field(default_factory=dict)

    def add_report(self, edge: str, start: str, minute: int, counts: OutcomeCounts) -> bool:
        """Merge an edge's cumulative counts. Return whether they added anything."""
        key = ReportKey(edge, start, minute)
        before = self.reports.get(key, OutcomeCounts())
        after = OutcomeCounts(*map(max, before, counts))
        self.reports[key] = after
        return after != before

    def totals_by_minute(self) -> dict[int, OutcomeCounts]:
        """Return the sums over all edges by minute, in order."""
        totals: dict[int, OutcomeCounts] = {}
        for key, counts in self.reports.items():
            totals[key.minute] = totals.get(key.minute, OutcomeCounts()).plus(counts)
        return dict(sorted(totals.items()))

    def verdict(self) -> Verdict:
        """Return the result of both tests over all reports."""
        log_harm = log_safety = 0.0
        settled = candidate = 0
        for counts in self.totals_by_minute().values():
            settled += counts.settled
            candidate += counts.candidate
            log_harm += log_harm_ratio(counts)
            log_safety += log_safety_ratio(counts)
        return Verdict(log_harm, log_safety, settled, candidate)


@lru_cache(maxsize=CACHED_MINUTES)
def log_harm_ratio(counts: OutcomeCounts) -> float:
    """Return the logarithm of a minute's likelihood ratio for odds of HARM_ODDS_RATIO against 1."""
    bad = counts.settled_bad + counts.candidate_bad
    total = counts.settled + counts.candidate
    if not bad or bad == total or not counts.settled or not counts.candidate:
        return 0.0
    worse = nchypergeom_fisher.logpmf(counts.candidate_bad, total, counts.candidate, bad, HARM_ODDS_RATIO)
    alike = nchypergeom_fisher.logpmf(counts.candidate_bad, total, counts.candidate, bad, 1.0)
    return float(worse - alike)


def log_safety_ratio(counts: OutcomeCounts) -> float:
    """Return the logarithm of a minute's likelihood ratio: settled rate against it plus MAX_ACCEPTED_EXCESS.

    The settled rate is estimated as (bad + 1/2) / (all + 1), which is never 0 or 1.
    """
    if not counts.settled or not counts.candidate:
        return 0.0
    rate = (counts.settled_bad + 0.5) / (counts.settled + 1)
    worse_rate = min(MAX_RATE, rate + MAX_ACCEPTED_EXCESS)
    good = counts.candidate - counts.candidate_bad
    return counts.candidate_bad * log(rate / worse_rate) + good * log((1 - rate) / (1 - worse_rate))

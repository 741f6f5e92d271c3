"""What is known of a candidate against the settled version, by tests that may be read at any time.

Edges report running counts for each of their starts and minutes; the largest report of each counts, so that
one that comes twice, late or out of order adds nothing. In each minute the two versions are compared with
each other alone: a fault of the fleet raises both, and tells nothing.

Two test martingales grow with the minutes. By Ville's inequality (J. Ville, *Étude critique de la notion de
collectif*, 1939) the probability that one ever reaches 1/p where its hypothesis is true is at most p,
however often it is looked at:

- *harm*, against 'the candidate is no worse': given how many requests of a minute went badly, how many of
  them were the candidate's, under odds of HARM_ODDS_RATIO to 1 instead of 1 (Fisher's noncentral
  hypergeometric distribution);
- *safety*, against 'the candidate goes badly MAX_ACCEPTED_EXCESS more often': the candidate's bad ones under
  the settled version's rate of the same minutes instead of that rate and MAX_ACCEPTED_EXCESS. The rate is
  itself measured; simulation holds the stated probabilities to account (`docs/rollout.md`, *Evidence*).
"""

from dataclasses import dataclass, field
from functools import lru_cache
from math import log
from typing import NamedTuple

from scipy.stats import nchypergeom_fisher

HARM_ODDS_RATIO = 2.5
"""Odds of going badly, candidate against settled version, at which harm is looked for."""

MAX_ACCEPTED_EXCESS = 0.02
"""Part of the requests going badly more often that must be ruled out before a weight grows."""

FALSE_ROLLBACK_PROBABILITY = 0.01
"""Of rolling back a candidate that is no worse."""

FALSE_ADVANCE_PROBABILITY = 0.05
"""Of advancing one that is worse by MAX_ACCEPTED_EXCESS, at each step."""

MIN_REQUESTS_PER_VERSION = 50
"""Requests of each version in what a step is judged by."""

MAX_RATE = 0.999
"""Of requests going badly, as assumed under the safety hypothesis: its logarithm must exist."""

CACHED_MINUTES = 10_000
"""Minutes whose harm is remembered: one that is over is asked for again at each look."""


class OutcomeCounts(NamedTuple):
    """Running counts: requests of each version that ended, and those of them that went badly."""

    settled: int = 0
    settled_bad: int = 0
    candidate: int = 0
    candidate_bad: int = 0

    def plus(self, other: "OutcomeCounts") -> "OutcomeCounts":
        """Return the sums of both."""
        return OutcomeCounts(*(mine + its for mine, its in zip(self, other, strict=True)))


class ReportKey(NamedTuple):
    """What a report counts for: an edge, which of its starts, and the minute."""

    edge: str
    start: str
    minute: int


@dataclass(frozen=True)
class Verdict:
    """What the evidence of a step amounts to.

    `log_harm` and `log_safety` are the natural logarithms of the two martingales, `settled` and `candidate`
    the requests of each version that they rest on.
    """

    log_harm: float
    log_safety: float
    settled: int
    candidate: int

    @property
    def must_roll_back(self) -> bool:
        """Whether the candidate has been shown to be worse."""
        return self.log_harm >= log(1 / FALSE_ROLLBACK_PROBABILITY)

    @property
    def may_advance(self) -> bool:
        """Whether the candidate has been shown not to be much worse, by enough requests."""
        enough = min(self.settled, self.candidate) >= MIN_REQUESTS_PER_VERSION
        return enough and not self.must_roll_back and self.log_safety >= log(1 / FALSE_ADVANCE_PROBABILITY)


@dataclass
class Evidence:
    """The reports on one step."""

    reports: dict[ReportKey, OutcomeCounts] = field(default_factory=dict)

    def add_report(self, edge: str, start: str, minute: int, counts: OutcomeCounts) -> bool:
        """Take an edge's running counts. Return whether they added anything."""
        key = ReportKey(edge, start, minute)
        before = self.reports.get(key, OutcomeCounts())
        after = OutcomeCounts(*map(max, before, counts))
        self.reports[key] = after
        return after != before

    def totals_by_minute(self) -> dict[int, OutcomeCounts]:
        """Return the sums over all edges, by minute in order."""
        totals: dict[int, OutcomeCounts] = {}
        for key, counts in self.reports.items():
            totals[key.minute] = totals.get(key.minute, OutcomeCounts()).plus(counts)
        return dict(sorted(totals.items()))

    def verdict(self) -> Verdict:
        """Return what all reports amount to."""
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
    """Return the log of a minute's likelihood ratio for odds of HARM_ODDS_RATIO against 1."""
    bad = counts.settled_bad + counts.candidate_bad
    total = counts.settled + counts.candidate
    if not bad or bad == total or not counts.settled or not counts.candidate:
        return 0.0
    worse = nchypergeom_fisher.logpmf(counts.candidate_bad, total, counts.candidate, bad, HARM_ODDS_RATIO)
    alike = nchypergeom_fisher.logpmf(counts.candidate_bad, total, counts.candidate, bad, 1.0)
    return float(worse - alike)


def log_safety_ratio(counts: OutcomeCounts) -> float:
    """Return the log of a minute's likelihood ratio for the settled rate against it and MAX_ACCEPTED_EXCESS.

    The settled rate is estimated as (bad + 1/2) / (all + 1), which is neither 0 nor 1.
    """
    if not counts.settled or not counts.candidate:
        return 0.0
    rate = (counts.settled_bad + 0.5) / (counts.settled + 1)
    worse_rate = min(MAX_RATE, rate + MAX_ACCEPTED_EXCESS)
    good = counts.candidate - counts.candidate_bad
    return counts.candidate_bad * log(rate / worse_rate) + good * log((1 - rate) / (1 - worse_rate))

"""The planner's record of which edges have the replicas for a rollout's next weight. Free of I/O."""

from collections.abc import Collection
from dataclasses import dataclass, field

REPORT_LIFETIME = 30_000
"""Ticks of 0.1 ms for which a report is valid; edges report each second."""

WEIGHT_TOLERANCE = 1e-9
"""For rounding errors of weights that were converted to text and back."""


@dataclass(frozen=True)
class EdgeReport:
    """An edge's last report on a candidate.

    Its replicas suffice for `weight`; `shortage` says what prevents a greater one. `received_at` is in ticks
    of the planner's clock.
    """

    weight: float
    shortage: str
    received_at: int


@dataclass
class Readiness:
    """The last report of each edge, by function and candidate; it expires after `report_lifetime` ticks."""

    report_lifetime: int = REPORT_LIFETIME
    reports: dict[tuple[str, str], dict[str, EdgeReport]] = field(default_factory=dict)

    def on_report(self, function: str, candidate: str, edge: str, report: EdgeReport) -> None:
        """Record an edge's report."""
        self.reports.setdefault((function, candidate), {})[edge] = report

    def on_edge_gone(self, edge: str) -> None:
        """Drop the reports of a disconnected edge."""
        for by_edge in self.reports.values():
            by_edge.pop(edge, None)

    def shortages(
        self, function: str, candidate: str, weight: float, edges: Collection[str], now: int
    ) -> dict[str, str]:
        """Return the edges that are not ready for that weight, with the reasons."""
        reports = self.reports.get((function, candidate), {})
        found: dict[str, str] = {}
        for edge in edges:
            report = reports.get(edge)
            if report is None or now - report.received_at > self.report_lifetime:
                found[edge] = "has not said how its copies stand"
            elif report.weight < weight - WEIGHT_TOLERANCE:
                found[edge] = report.shortage or f"its copies stand for {report.weight:.0%}"
        return found

    def is_ready(
        self, function: str, candidate: str, weight: float, edges: Collection[str], now: int
    ) -> bool:
        """Return whether all edges are ready; false without edges, as there would be no traffic to judge."""
        return bool(edges) and not self.shortages(function, candidate, weight, edges, now)

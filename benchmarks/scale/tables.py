"""The tables of docs/CAPACITY.md, computed from the result files and the assumptions alone."""

import math
from collections.abc import Callable, Mapping, Sequence

from msgspec import Struct

from benchmarks.scale import assumptions
from benchmarks.scale.assumptions import Assumptions
from benchmarks.scale.fitting import Kind
from benchmarks.scale.results import Result, Series
from benchmarks.scale.samples import UNITS, Budget

Results = Mapping[str, Result]
MODULE_IDLE = 9.0  # seconds without a call until the module forgets a function, by the settings of `hollow`
SMALL_EXPONENT = -4  # powers of ten below this are written with an exponent


class UnknownTableError(Exception):
    """The page names an unknown table, or a role that has no result file."""


class BudgetCrossing(Struct, frozen=True):
    """The size at which one metric of a role exceeds its budget."""

    role: str
    dimension: str
    metric: str
    budget: float
    at_target: float
    crossing: float  # size
    target: float  # size


def number(value: float) -> str:
    """Formats with three significant figures and thousands separators."""
    if math.isinf(value):
        return "never"
    if value == 0:
        return "0"
    magnitude = math.floor(math.log10(abs(value)))
    if magnitude < SMALL_EXPONENT:
        return f"{value:.2e}"
    return f"{round(value, 2 - magnitude):,.{max(0, 2 - magnitude)}f}"


def table(head: Sequence[str], rows: Sequence[Sequence[str]]) -> str:
    lines = [f"| {' | '.join(head)} |", "|" + " --- |" * len(head)]
    return "\n".join([*lines, *(f"| {' | '.join(row)} |" for row in rows)])


def unit_of(metric: str) -> str:
    return UNITS.get(metric, "")


def metric_title(metric: str) -> str:
    unit = unit_of(metric)
    return f"{metric.replace('_', ' ')}" + (f", {unit}" if unit else "")


def is_nonzero(series: Series, metric: str) -> bool:
    """Whether a metric is nonzero at any size; the tables omit those that are not."""
    growth = next(growth for growth in series.growths if growth.metric == metric)
    return bool(growth.fit.base or growth.fit.slope)


def growth_table(result: Result) -> str:
    rows = []
    for series in result.series:
        sizes = ", ".join(f"{point.size:,}" for point in series.points[:-1])
        for growth in series.growths:
            if not is_nonzero(series, growth.metric):
                continue
            fit = growth.fit
            slope = "" if fit.kind is Kind.FLAT else number(fit.slope)
            spread = "" if fit.kind is Kind.FLAT else f"{number(fit.slope_low)} to {number(fit.slope_high)}"
            at_target = number(fit.at(series.target))
            row = [
                series.dimension,
                sizes,
                metric_title(growth.metric),
                fit.kind,
                number(fit.base),
                slope,
                spread,
            ]
            rows.append([*row, f"{fit.error:.0%}", at_target])
    head = ["grows", "sizes", "metric", "kind", "base", "slope", "over repeats", "error", "at target"]
    return table(head, rows)


def prediction_table(result: Result) -> str:
    rows = []
    for series in result.series:
        for prediction in series.predictions:
            if not is_nonzero(series, prediction.metric):
                continue
            miss = prediction.measured / prediction.predicted - 1 if prediction.predicted else math.inf
            figures = [number(prediction.predicted), number(prediction.measured), f"{miss:+.0%}"]
            rows.append([series.dimension, f"{prediction.size:,}", metric_title(prediction.metric), *figures])
    return table(["grows", "size", "metric", "predicted", "measured", "miss"], rows)


def scene_table(result: Result) -> str:
    rows = []
    for scene in result.scenes:
        for figure in scene.figures:
            spread = "" if figure.low is None else f"{number(figure.low)} to {number(figure.high or 0.0)}"
            budget = "" if figure.budget is None else number(figure.budget)
            rows.append(
                [
                    scene.name,
                    figure.name,
                    number(figure.value),
                    figure.unit,
                    spread,
                    budget,
                    margin(figure.value, figure.budget),
                ]
            )
    return table(["scene", "figure", "measured", "unit", "over repeats", "budget", "margin"], rows)


def margin(value: float, budget: float | None) -> str:
    """The remaining share of the budget, or the factor by which it is exceeded."""
    if budget is None:
        return ""
    if value <= budget:
        return f"{1 - value / budget:.0%} left"
    return f"over, {number(value / budget)} times" if budget else "over"


def budget_crossings(results: Results) -> list[BudgetCrossing]:
    """Every budget of every role by dimension, ordered by the size of the crossing relative to the target."""
    found = [
        BudgetCrossing(result.role, series.dimension, budget.metric, budget.most, *place, series.target)
        for result in results.values()
        for series in result.series
        for budget in result.budgets
        if budget.counts_in(series.dimension) and (place := crossing(series, budget)) is not None
    ]
    return sorted(found, key=lambda row: (row.crossing / row.target, row.role, row.metric))


def crossing(series: Series, budget: Budget) -> tuple[float, float] | None:
    """The metric at the target size, and the size at which it exceeds the budget."""
    for growth in series.growths:
        if growth.metric == budget.metric and is_nonzero(series, budget.metric):
            return growth.fit.at(series.target), growth.fit.crossing(budget.most)
    return None


def ranking_table(results: Results) -> str:
    rows = []
    for row in budget_crossings(results):
        place = [number(row.crossing), number(row.target), number(row.crossing / row.target)]
        figures = [number(row.budget), number(row.at_target), margin(row.at_target, row.budget)]
        rows.append([row.role, row.dimension, metric_title(row.metric), *place, *figures])
    head = ["role", "grows", "metric", "leaves its budget at", "target", "part of target"]
    return table([*head, "budget", "at target", "margin"], rows)


def origin_table(results: Results) -> str:
    rows = []
    for result in results.values():
        o = result.origin
        quick = "quick" if o.quick else "full"
        rows.append(
            [
                result.role,
                o.commit,
                o.date,
                quick,
                f"{o.seconds:.0f} s",
                str(o.cores),
                str(o.load_before),
                f"`{o.command}`",
            ]
        )
    return table(["role", "commit", "date", "run", "took", "cores", "load before", "command"], rows)


def target_table(given: Assumptions) -> str:
    target = given.target
    return table(
        ["target", "figure"],
        [[n.replace("_", " "), number(getattr(target, n))] for n in target.__struct_fields__],
    )


def assumption_table(given: Assumptions) -> str:
    rows = [
        [f"calls over functions: {s.name}", f"(rank + {s.offset:g}) ** -{s.exponent:g}"]
        for s in (given.spread, *given.sensitivity)
    ]
    for group in (given.instance, given.cold, given.machine, given.restarts, given.network, given.directory):
        name = type(group).__name__.lower()
        rows += [
            [f"{name}: {f.replace('_', ' ')}", number(getattr(group, f))] for f in group.__struct_fields__
        ]
    rows.append(
        [
            "dispatchers of a region that one seldom called function's calls reach",
            str(given.dispatchers_per_function),
        ]
    )
    rows.append(["instances of a function that a dispatcher asks for at first", str(given.prefix)])
    return table(["assumed", "figure"], rows)


def sensitivity_table(given: Assumptions) -> str:
    """Functions in use at one dispatcher, by distribution of calls and number of dispatchers reached."""
    rows = []
    for spread in (given.spread, *given.sensitivity):
        for reach in (None, given.dispatchers_per_function):
            for idle in (MODULE_IDLE, given.directory.watch_idle_seconds):
                in_view = given.functions_in_view(idle, spread, reach)
                first = given.first_calls_per_second(idle, spread, reach)
                part = first / given.target.calls_per_dispatcher
                seldom = f"{given.seldom_called(spread):.0%}"
                reached = "all" if reach is None else str(reach)
                row = [
                    spread.name,
                    seldom,
                    reached,
                    f"{idle:g}",
                    number(in_view),
                    number(first),
                    f"{part:.1%}",
                ]
                rows.append(row)
    head = ["spread", "under one call a minute", "dispatchers reached", "idle, s", "functions in view"]
    return table([*head, "first calls a second", "of all calls"], rows)


RESULT_TABLES: dict[str, Callable[[Results], str]] = {"ranking": ranking_table, "runs": origin_table}
ASSUMPTION_TABLES: dict[str, Callable[[Assumptions], str]] = {
    "target": target_table,
    "assumptions": assumption_table,
    "sensitivity": sensitivity_table,
}
ROLE_TABLES: dict[str, Callable[[Result], str]] = {
    "growth": growth_table,
    "prediction": prediction_table,
    "scenes": scene_table,
}


def make_table(name: str, results: Results) -> str:
    """Makes the table `name`: `ranking`, `runs`, `target`, `assumptions`, `sensitivity`, `growth ROLE`,
    `prediction ROLE` or `scenes ROLE`. Raises `UnknownTableError`.
    """
    if name in RESULT_TABLES:
        return RESULT_TABLES[name](results)
    if name in ASSUMPTION_TABLES:
        return ASSUMPTION_TABLES[name](assumptions.load())
    kind, _, role = name.partition(" ")
    if kind not in ROLE_TABLES or role not in results:
        raise UnknownTableError(
            f"no table called {name!r}: roles with results are {', '.join(results) or 'none'}"
        )
    return ROLE_TABLES[kind](results[role])

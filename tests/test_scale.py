"""The deterministic part of the scale benchmark: counted steps, fits, the input table, the capacity page.

Also how the work of a dispatcher grows with the instances: counted in steps, never timed.
"""

import math
from collections.abc import Callable, Sequence

import msgspec
import pytest

from benchmarks.scale import assumptions, control_work, fitting, measuring, page, roles, running, tables
from benchmarks.scale.fitting import Kind
from benchmarks.scale.samples import Dimension, Sample, Sweep

SIZES = (100, 200, 400, 800)

Shape = Callable[[int], float]


def values(shape: Shape) -> list[float]:
    return [shape(size) for size in SIZES]


@pytest.mark.parametrize(
    ("kind", "shape"),
    [
        (Kind.FLAT, lambda n: 7.0 + 0.0001 * n),
        (Kind.FLAT, lambda n: 9.0 - 0.005 * n),
        (Kind.LOG, lambda n: 3 + 2 * math.log2(n)),
        (Kind.LINEAR, lambda n: 50 + 3 * n),
        (Kind.LINEAR, lambda n: 3_000 + 3 * n),
        (Kind.LINEAR, lambda n: 6e6 * (n / 100)),
        (Kind.LINEAR, lambda n: 6e-6 * (n / 100)),
        (Kind.LINEAR, lambda n: 3.0 * n * (1.02 if n == 200 else 0.99)),
        (Kind.WORSE, lambda n: 10 + 0.5 * n * n),
    ],
)
def test_the_kind_of_growth_is_recognized(kind: Kind, shape: Shape) -> None:
    assert fitting.kind_of(SIZES, values(shape)) is kind


def test_a_fit_predicts_beyond_its_sizes_and_finds_where_a_budget_is_passed() -> None:
    fitted = fitting.fit(SIZES, [values(lambda n: 50 + 3 * n), values(lambda n: 50 + 3 * n)])
    assert fitted.at(8_000) == pytest.approx(24_050)
    assert fitted.error < 1e-9
    assert fitted.crossing(24_050) == pytest.approx(8_000)
    assert fitting.fit(SIZES, [values(lambda n: 7.0)]).crossing(8.0) == math.inf
    log = fitting.fit(SIZES, [values(lambda n: 3 + 2 * math.log2(n))])
    assert log.crossing(3 + 2 * 20) == pytest.approx(2**20)


def test_spread_of_a_slope_is_over_the_repeats() -> None:
    fitted = fitting.fit(
        SIZES, [values(lambda n: 2.0 * n), values(lambda n: 3.0 * n), values(lambda n: 4.0 * n)]
    )
    assert (fitted.slope_low, fitted.slope, fitted.slope_high) == pytest.approx((2, 3, 4))


def test_counted_steps_are_repeatable_and_grow_with_a_deliberate_scan() -> None:
    def scan(size: int) -> int:
        names = [f"w{i}" for i in range(size)]

        def action() -> int:
            found = 0
            for name in names:
                found += name == "w3"
            return found

        return measuring.count_steps(action).instructions

    assert scan(100) == scan(100)
    assert fitting.kind_of(SIZES, [scan(size) for size in SIZES]) is Kind.LINEAR


class Cycle:
    """A reference cycle, whose collection runs code."""

    finalized = 0

    def __init__(self) -> None:
        self.itself = self

    def __del__(self) -> None:
        Cycle.finalized += 1


def test_counted_steps_exclude_finalizers_run_by_the_garbage_collector() -> None:
    """Guards against counts that depend on the garbage which earlier code has left."""

    def act() -> list[list[int]]:
        return [[] for _ in range(5_000)]

    without_cycles = measuring.count_steps(act).instructions
    for _ in range(100):
        Cycle()
    assert measuring.count_steps(act).instructions == without_cycles


def test_a_copy_inside_one_built_in_shows_in_the_peak() -> None:
    """One instruction may copy a whole list, so steps alone don't show linear work."""
    names = list(range(10_000))
    assert measuring.count_steps(lambda: names[5:] + names[:5]).peak_bytes > 8 * len(names)


def test_measured_state_is_the_memory_that_stays_allocated() -> None:
    _, held = measuring.build_measured(lambda: [bytes(1_000) for _ in range(1_000)])
    assert 1_000_000 < held < 1_200_000


def test_sweeps_need_four_sizes_two_apart_and_one_beyond() -> None:
    for sizes, beyond in [((1, 2, 4), 8), ((1, 2, 3, 8), 16), ((1, 2, 4, 8), 9)]:
        with pytest.raises(ValueError, match="instances"):
            Sweep(Dimension.INSTANCES, sizes, beyond, 100.0)


def test_the_input_table_is_checked() -> None:
    inputs = assumptions.load()
    assert inputs.target.dispatchers == 3_900
    assert len(inputs.sensitivity) >= 2
    raw = msgspec.to_builtins(inputs)
    for group, field, wrong in [("target", "regions", 0), ("cold", "part_of_calls", 2), ("cold", "typo", 1)]:
        with pytest.raises(msgspec.ValidationError):
            msgspec.convert({**raw, group: {**raw[group], field: wrong}}, assumptions.Assumptions)


def test_most_functions_are_called_less_than_once_a_minute_as_the_target_says() -> None:
    inputs = assumptions.load()
    rates = inputs.spread.rates(inputs.target.functions, inputs.target.calls_per_second)
    assert sum(rates) == pytest.approx(inputs.target.calls_per_second)
    assert inputs.seldom_called() > 0.5


def test_fewer_dispatchers_for_a_seldom_called_function_mean_fewer_first_calls() -> None:
    inputs = assumptions.load()
    by_all, by_eight = inputs.first_calls_per_second(120.0), inputs.first_calls_per_second(120.0, reach=8)
    assert by_eight < by_all < inputs.target.calls_per_dispatcher
    assert sum(part * rate for part, rate in inputs.calls_at_one(None, 8)) == pytest.approx(
        inputs.target.calls_per_dispatcher
    )


class LinearStateRole:
    """A role whose state grows with the instances, and whose work does not."""

    name, text, budgets, scenes = "toy", "a toy", (), ()
    sweeps = (Sweep(Dimension.INSTANCES, SIZES, 1_600, 1_000.0),)

    def measure(
        self, dimension: Dimension, size: int, seed: int, assumptions: assumptions.Assumptions
    ) -> Sample:
        return Sample(state_bytes=10.0 * size, steps=50, figures={"first call, s": 0.001 * size})


def test_a_role_is_measured_fitted_and_predicted_beyond() -> None:
    result = running.measure_role(LinearStateRole(), running.Plan(("toy",), True, "test"))
    (series,) = result.series
    kinds = {growth.metric: growth.fit.kind for growth in series.growths}
    assert (kinds["state_bytes"], kinds["steps"]) == (Kind.LINEAR, Kind.FLAT)
    beyond = {
        prediction.metric: (prediction.predicted, prediction.measured) for prediction in series.predictions
    }
    assert beyond["state_bytes"] == pytest.approx((16_000, 16_000))
    assert beyond["first call, s"] == pytest.approx((1.6, 1.6))


def test_a_page_is_filled_checked_and_refused() -> None:
    results = {"toy": running.measure_role(LinearStateRole(), running.Plan(("toy",), True, "test"))}
    growth, target = "<!-- table: growth toy -->\n<!-- end -->", "<!-- table: target -->\nold\n<!-- end -->"
    text = f"# A\n\n{growth}\n\nwords\n\n{target}\n"
    assert page.differing(text, results) == ["growth toy", "target"]
    filled = page.written(text, results)
    assert "words" in filled
    assert "| linear |" in filled
    assert page.differing(filled, results) == []
    assert page.written(filled, results) == filled
    assert page.differing(filled.replace("| linear |", "| flat |"), results) == ["growth toy"]
    with pytest.raises(tables.UnknownTableError):
        page.written("<!-- table: growth none -->\n<!-- end -->", results)
    with pytest.raises(page.MalformedPageError):
        page.written("<!-- table: target -->\nno end", results)


def test_every_role_is_registered_with_sweeps_or_scenes() -> None:
    for name, role in roles.all_roles().items():
        assert role.name == name
        assert role.sweeps or role.scenes


def test_the_page_has_the_tables_of_the_result_files() -> None:
    assert page.check() == []


FLEET_SIZES = (250, 500, 1_000, 2_000)
VARIANTS = {
    "whole list": (control_work.with_list, Kind.LINEAR),
    "directory": (control_work.with_directory, Kind.FLAT),
}


def scan(names: Sequence[str]) -> int:
    """Work that visits every instance, added on purpose."""
    return sum(name.endswith("7") for name in names)


@pytest.mark.parametrize("variant", VARIANTS)
def test_how_control_grows_with_instances_that_a_dispatcher_never_calls(variant: str) -> None:
    """With the whole list the work grows linearly; with the directory it is flat, within a tenth."""
    work, kind = VARIANTS[variant]
    counted = [work(instances) for instances in FLEET_SIZES]
    assert fitting.kind_of(FLEET_SIZES, [one.instructions for one in counted]) is kind
    assert len({one.messages for one in counted}) == 1
    assert fitting.kind_of(FLEET_SIZES, [one.bytes for one in counted]) is Kind.FLAT


def test_a_lookup_costs_a_dispatcher_the_same_whatever_else_it_knows() -> None:
    """The dispatcher knows 10 to 80 functions of a fleet of 4,000 instances."""
    views = (10, 20, 40, 80)
    counted = [control_work.with_directory(4_000, called=view).instructions for view in views]
    assert fitting.kind_of(views, counted) is Kind.FLAT, counted


def test_a_linear_scan_added_to_the_dispatcher_with_the_directory_is_detected() -> None:
    counted = [control_work.with_directory(instances, scan).instructions for instances in FLEET_SIZES]
    assert fitting.kind_of(FLEET_SIZES, counted) is Kind.LINEAR


def test_counts_are_the_same_every_time() -> None:
    assert control_work.with_directory(500) == control_work.with_directory(500)
    assert control_work.with_list(250) == control_work.with_list(250)

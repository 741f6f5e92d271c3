"""Experiments: the runs that a file asks for, what counts as a result, and confidence intervals."""

import json
from pathlib import Path
from typing import Any

import click.testing
import pytest
from click.testing import CliRunner
from days import EXAMPLES
from hypothesis import given
from hypothesis import strategies as st

from lapistrestle.command.experiments import results_of
from lapistrestle.command.main import main
from lapistrestle.deployment.load import DeploymentError
from lapistrestle.model.experiment import (
    Experiment,
    PlannedRun,
    Result,
    confidence_interval,
    differences,
    missing_runs,
    plan_runs,
    set_path,
)

DAY: dict[str, Any] = {"name": "d", "traffic": {"rate": 10}, "troubles": [{"kind": "crash"}]}


def test_every_combination_is_run_under_every_seed() -> None:
    plan = plan_runs(Experiment("x", DAY, {"edges": [1, 3], "traffic.rate": [5, 7, 9]}, seeds=2), DAY)
    assert len(plan) == 12 and len({run.key for run in plan}) == 12
    assert [run.seed for run in plan] == [1] * 6 + [2] * 6
    assert plan[0].day == DAY | {"edges": 1, "seed": 1, "traffic": {"rate": 5}}
    assert DAY["traffic"] == {"rate": 10}  # the day itself stays as it is


def test_a_path_may_name_a_setting_left_at_its_default_or_an_item_of_a_list() -> None:
    day: dict[str, Any] = {"troubles": [{"kind": "crash"}]}
    set_path(day, "store.fetches", 4)
    set_path(day, "troubles.0.share", 0.5)
    assert day == {"troubles": [{"kind": "crash", "share": 0.5}], "store": {"fetches": 4}}
    with pytest.raises(DeploymentError, match=r"vary.troubles.7.share"):
        set_path(day, "troubles.7.share", 1)


def test_the_key_of_a_run_depends_on_its_settings_only() -> None:
    one = PlannedRun((("edges", 1),), 1, {"a": 1, "b": 2})
    assert one.key == PlannedRun((), 1, {"b": 2, "a": 1}).key != PlannedRun((), 1, {"a": 1, "b": 3}).key


def result(edges: int, seed: int, service: float, **more: Any) -> Result:
    return Result(f"{edges}-{seed}", [("edges", edges)], seed, {"service": service}, **more)


def test_differences_are_taken_seed_by_seed() -> None:
    """Seeds differ far more than variants do, so that only paired differences show an effect."""
    results = [result(1, seed, 0.5 + 0.05 * seed) for seed in range(6)]
    results += [result(3, seed, 0.52 + 0.05 * seed + 0.001 * (seed % 2)) for seed in range(6)]
    ((variant, gap),) = differences(results, (("edges", 1),), "service").items()
    assert variant == (("edges", 3),) and gap.mean == pytest.approx(0.0205) and not gap.includes_zero
    with pytest.raises(DeploymentError, match="known: edges=1; edges=3"):
        differences(results, (("edges", 9),), "service")


def test_a_failed_run_is_no_result_and_is_run_again() -> None:
    plan = [PlannedRun((), seed, {"seed": seed}) for seed in range(3)]
    results = [Result(plan[0].key, [], 0, build="b")]
    results += [Result(plan[1].key, [], 1, build="b", failed="it broke")]
    results += [Result(plan[2].key, [], 2, build="older")]
    assert [run.seed for run in missing_runs(plan, results, "b")] == [1, 2]


def test_the_interval_of_one_seed_is_infinite() -> None:
    assert confidence_interval([0.7]).half_width == float("inf") and confidence_interval([0.7]).includes_zero


@given(st.lists(st.floats(-1, 1), min_size=2, max_size=30), st.floats(-5, 5))
def test_an_interval_moves_with_its_values(values: list[float], by: float) -> None:
    here, there = confidence_interval(values), confidence_interval([value + by for value in values])
    assert there.mean == pytest.approx(here.mean + by, abs=1e-9)
    assert there.half_width == pytest.approx(here.half_width, abs=1e-9) and here.half_width >= 0


# the command


@pytest.fixture
def file(tmp_path: Path) -> Path:
    path = tmp_path / "try.json5"
    day = {
        "name": "small", "deployment": str(EXAMPLES / "slots.json5"), "length": "5 s",
        "traffic": {"rate": 20, "functions": 4},
    }  # fmt: skip
    path.write_text(json.dumps({"name": "try", "day": day, "vary": {"edges": [1, 2]}, "seeds": 2}))
    return path


def run(*args: object) -> click.testing.Result:
    return CliRunner().invoke(main, ["experiment", *map(str, args)])


def test_runs_are_stored_resumed_compared_and_plotted(file: Path, tmp_path: Path) -> None:
    results_file = tmp_path / "try.results.jsonl"
    first = run("run", file, "--processes", 2)
    assert first.exit_code == 0 and "4 runs, 0 done before" in first.output, first.output
    whole = results_file.read_bytes().splitlines(keepends=True)
    results_file.write_bytes(b"".join(whole[:2]) + whole[2][:40])  # killed in the middle of a line
    assert len(results_of(results_file)) == 2
    again = run("run", file, "--processes", 1)
    assert "4 runs, 2 done before" in again.output and len(results_of(results_file)) == 4
    strip = [[r.key, r.figures] for r in results_of(results_file)]
    assert sorted(strip) == sorted([json.loads(line)["key"], json.loads(line)["figures"]] for line in whole)
    rows = json.loads(run("compare", results_file, "--base", "edges=1", "--json").output)
    assert [row["variant"] for row in rows] == [{"edges": 1}, {"edges": 2}]
    assert rows[0]["difference"] is None and rows[1]["difference"] is not None
    drawn = run("plot", results_file, tmp_path / "p.svg")
    assert drawn.exit_code == 0 and (tmp_path / "p.svg").read_text().count("<path") > 10


def test_an_experiment_killed_in_its_first_line_is_resumed(file: Path, tmp_path: Path) -> None:
    results_file = tmp_path / "try.results.jsonl"
    results_file.write_bytes(b'{"key":"abc')
    assert run("run", file, "--processes", 1).exit_code == 0
    assert len(results_of(results_file)) == 4


@pytest.mark.parametrize(
    ("path", "value", "message"),
    [
        ("edges", 0, "edges"), ("traffic.rates", 5, "did you mean rate"),
        ("troubles", [{"kind": "silent", "at": "1 s"}], "needs sockets"),
    ],
)  # fmt: skip
def test_errors_are_reported_before_anything_runs(
    file: Path, tmp_path: Path, path: str, value: Any, message: str
) -> None:
    content = json.loads(file.read_text())
    content["vary"] = {path: [value]}
    file.write_text(json.dumps(content))
    failed = run("run", file)
    assert failed.exit_code == 1 and message in failed.output
    assert not (tmp_path / "try.results.jsonl").exists()


def test_a_file_that_has_no_results_is_reported(tmp_path: Path) -> None:
    (tmp_path / "r").write_text("{}\n")
    assert "r:1: no line of results" in run("compare", tmp_path / "r").output

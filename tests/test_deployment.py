"""Deployment files: error messages name line, path, value and what was expected; settings are complete."""

import json
import tomllib
from collections.abc import Callable
from dataclasses import fields
from pathlib import Path
from types import ModuleType
from typing import Any

import pytest

from lapistrestle.deployment import load as load_module
from lapistrestle.deployment import translation
from lapistrestle.deployment.load import DeploymentError, load_deployment, load_holder, to_settings
from lapistrestle.policy.settings import MethodSettings, Settings
from lapistrestle.standins.script import read_day, to_plain

EXAMPLES = Path(__file__).parent.parent / "examples"


def recording(kind: Callable[..., Any], named: dict[str, set[str]]) -> Callable[..., Any]:
    """Wrap a settings class to record in `named` which fields its constructor is given."""

    def make(**given: Any) -> Any:
        named[kind.__name__] = set(given)
        return kind(**given)

    return make


def recorded(
    monkeypatch: pytest.MonkeyPatch, module: ModuleType, make: Callable[[], Settings]
) -> tuple[Settings, dict[str, set[str]]]:
    """Return the settings that `make` returns, and the fields given to each settings class."""
    named: dict[str, set[str]] = {}
    for kind in (Settings, MethodSettings):
        monkeypatch.setattr(module, kind.__name__, recording(kind, named))
    return make(), named


METHODS = 'methods: {m: {effect: "idempotent", deadline: "3 s"}}'


@pytest.mark.parametrize("name", ["slots", "archive", "thumbs"])
def test_examples_and_platform_set_every_setting_of_the_module(
    name: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    made, named = recorded(
        monkeypatch, load_module, lambda: to_settings(load_deployment(EXAMPLES / f"{name}.json5"))
    )
    _, platform = recorded(monkeypatch, translation, lambda: translation.to_settings({"profiles": [{}]}))
    assert named["Settings"] == platform["Settings"] == {f.name for f in fields(Settings)}
    assert named["MethodSettings"] == platform["MethodSettings"] == {f.name for f in fields(MethodSettings)}
    assert made.methods[0].deadline in (30_000, 40_000, 25_000)


@pytest.mark.parametrize(
    ("text", "message"),
    [
        (
            "{" + METHODS + ",\n workers: {\n  cold_shar: 1}}",
            "a.json5:3: workers.cold_shar: no such name; did you mean cold_share?",
        ),
        (
            '{methods: {m: {effect: "idempotent",\n deadline: 3}}}',
            'a.json5:2: methods.m.deadline: is 3; expected a duration such as "250 ms", "1.5 s" or "2 min"',
        ),
        (
            '{methods: {m: {effect: "safe", deadline: "3 s"}}}',
            "methods.m.effect: is \"safe\"; expected 'idempotent' or 'tokened' or 'side-effecting'",
        ),
        ("{" + METHODS + ", allowed: {tries: 0}}", "allowed.tries: is 0; expected a whole number >= 1"),
        ("{" + METHODS + ', listen: {port: "x"}}', 'listen.port: is "x"; expected a whole number'),
        ('{methods: {m: {effect: "idempotent"}}}', "methods.m: deadline is missing"),
        (
            '{methods: {m: {effect: "tokened", deadline: "3 s"}}}',
            "methods.m.repeats_remembered: is missing",
        ),
        ("{methods: {}}", "methods: is empty; expected at least one method"),
        ("{" + METHODS + ", dispatcher: {number: 3, of: 3}}", "dispatcher.number: is 3; expected 0 to 2"),
        ("{" + METHODS + ', dispatcher: {zone: "x"}}', 'dispatcher.zone: is "x"; expected one of []'),
        ("{" + METHODS + ', workers: {absent: "miss"}}', "orders.allowed: is false"),
        ("{" + METHODS + ', workers: {ramp: "9 s"}}', "workers.ramp: cold_share below 1 and a ramp go"),
        ("{" + METHODS + ', orders: {window: "5 s"}}', "orders.window: allows no order at all"),
        ("[]", "the file: is []; expected a group { … }"),
        ("{", "is no JSON5"),
        ("{methods: {}, methods: {}}", "is no JSON5"),
    ],
)
def test_invalid_deployments_are_rejected_with_path_and_expectation(
    tmp_path: Path, text: str, message: str
) -> None:
    path = tmp_path / "a.json5"
    path.write_text(text)
    with pytest.raises(DeploymentError) as error:
        load_deployment(path)
    assert message in str(error.value) and str(path) in str(error.value)


def directory(**more: object) -> str:
    """A deployment with a directory of two shards, as text."""
    made: dict[str, object] = {"shards": [[{"port": 7200}, {"port": 7201}], [{"port": 7201}]], **more}
    return "{" + METHODS + ",\n directory: " + json.dumps(made) + "}"


@pytest.mark.parametrize(
    ("text", "message"),
    [
        (directory(shards=[[]]), "directory.shards.0: is empty; a shard needs at least one copy"),
        (directory(shards=[[{"port": 0}]]), "directory.shards.0.0.port: is 0; dispatchers need the port"),
        (directory(shards=[[{"port": 1}, {"port": 1}]]), "directory.shards.0.1: is listed twice"),
        (directory(shards=[[{"zone": "a"}]]), "directory.shards.0.0: port is missing"),
        (directory(epoch=0), "a.json5:2: directory.epoch: is 0; expected a whole number >= 1"),
        (directory(silence="50 ms"), "directory.silence: is under 100 ms"),
        (directory(lease="500 ms"), "directory.lease: is not above the silence"),
        (directory(lookup_time_out="0 s"), "directory.lookup_time_out: is 0; expected a duration above 0"),
        (directory(idle="1 s"), "directory.idle: is under the lease"),
        (directory(first_counts=8), "directory.first_counts: no such name; did you mean first_count?"),
        (
            directory(bytes_per_second=10),
            "directory.bytes_per_second: is 10; expected a whole number >= 1024",
        ),
        (directory()[:-1] + ', roster: {mode: "asked"}}', 'roster.mode: is "asked"; a dispatcher with a'),
    ],
)
def test_invalid_directory_settings_are_rejected(tmp_path: Path, text: str, message: str) -> None:
    path = tmp_path / "a.json5"
    path.write_text(text)
    with pytest.raises(DeploymentError) as error:
        load_deployment(path)
    assert message in str(error.value) and str(path) in str(error.value)


def test_a_directory_without_shards_is_off(tmp_path: Path) -> None:
    path = tmp_path / "a.json5"
    path.write_text("{" + METHODS + ', directory: {epoch: 4, lease: "1 ms"}}')
    assert load_deployment(path).directory.shards == []
    path.write_text(directory())
    made = load_deployment(path).directory
    assert [len(copies) for copies in made.shards] == [2, 1]
    assert (made.lease, made.silence, made.lookup_time_out) == (30_000, 6_000, 2_500)


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("{directory: {}}", "directory.shards: is empty; a holder needs at least one shard"),
        ("{}", "directory is missing"),
        (
            "{directory: {shards: [[{port: 1}]]},\n serve: {shards: [1]}}",
            "a.json5:2: serve.shards.0: is 1; expected 0 to 0",
        ),
        (
            "{directory: {shards: [[{port: 1}]]}, serve: {shards: [0, 0]}}",
            "serve.shards: names a shard twice",
        ),
        (
            "{directory: {shards: [[{port: 1}]]}, serve: {oldest_epoch: 2}}",
            "serve.oldest_epoch: is above directory.epoch",
        ),
        ('{directory: {shards: [[{port: 1}]]}, roster: {mode: "asked"}}', 'roster.mode: is "asked"'),
        ("{directory: {shards: [[{port: 1}]]}, server: {}}", "server: no such name; did you mean serve?"),
    ],
)
def test_invalid_holder_settings_are_rejected(tmp_path: Path, text: str, message: str) -> None:
    path = tmp_path / "a.json5"
    path.write_text(text)
    with pytest.raises(DeploymentError) as error:
        load_holder(path)
    assert message in str(error.value) and str(path) in str(error.value)


def test_a_missing_file_is_rejected(tmp_path: Path) -> None:
    with pytest.raises(DeploymentError, match="can't be read"):
        load_deployment(tmp_path / "none.json5")


@pytest.mark.parametrize("name", ["slots", "archive", "thumbs"])
def test_a_deployment_written_out_reads_the_same(tmp_path: Path, name: str) -> None:
    made = load_deployment(EXAMPLES / f"{name}.json5")
    path = tmp_path / "again.json5"
    path.write_text(json.dumps(to_plain(made)))
    assert to_settings(load_deployment(path)) == to_settings(made)


@pytest.mark.parametrize(
    ("change", "message"),
    [
        ({"troubles": [{"kind": "quake", "at": "1 s"}]}, "troubles.0.kind"),
        ({"troubles": [{"kind": "crash", "at": "9 min"}]}, "past the day's length"),
        ({"troubles": [{"kind": "crash", "at": "1 s", "zone": "moon"}]}, 'is "moon"; known'),
        ({"traffic": {"methods": {"dance": {}}}}, "no such method; known: preview, publish, charge"),
        ({"deployment": {"methods": {}}}, "methods: is empty"),
        ({"edges": 0}, "edges: is 0; expected a whole number >= 1"),
    ],
)
def test_invalid_days_are_rejected(tmp_path: Path, change: dict[str, Any], message: str) -> None:
    path = tmp_path / "day.json5"
    deployment = json.loads(json.dumps(to_plain(load_deployment(EXAMPLES / "thumbs.json5"))))
    path.write_text(json.dumps({"name": "x", "deployment": deployment, **change}))
    with pytest.raises(DeploymentError) as error:
        read_day(path)
    assert message in str(error.value)


def test_the_directory_example_has_the_same_assignment_in_all_files() -> None:
    folder = EXAMPLES / "directory"
    edge = load_deployment(folder / "edge.json5")
    holders = [load_holder(folder / f"holder-{number}.json5") for number in range(2)]
    assert all(holder.directory == edge.directory for holder in holders)
    ports = {copy.port for copies in edge.directory.shards for copy in copies}
    assert ports == {holder.serve.port for holder in holders}
    ramps = {(made.cold_share, made.ramp) for made in (edge.workers, *(one.workers for one in holders))}
    assert len(ramps) == 1  # dispatchers use the holders' warm sums for their budget of workers in slow start


def test_the_deploy_file_names_each_file_of_the_decision_module() -> None:
    """A file that is not listed in `balancer.toml` is missing from the sources archived with each score."""
    root = EXAMPLES.parent
    with (root / "deploy" / "balancer.toml").open("rb") as file:
        named = tomllib.load(file)["policy"]
    files = (root / "lapistrestle" / "policy").glob("*.py")
    assert named == sorted(path.relative_to(root).as_posix() for path in files if path.name != "__init__.py")

"""Deployment files: what is wrong is named with line, path, what stands there and what would be right."""

import json
from pathlib import Path

import pytest

from lapistrestle.deployment import words
from lapistrestle.deployment.load import Wrong, facts, load
from lapistrestle.standins.script import plain, read_day

EXAMPLES = Path(__file__).parent.parent / "examples"
METHODS = 'methods: {m: {effect: "idempotent", deadline: "3 s"}}'


@pytest.mark.parametrize("name", ["slots", "archive", "thumbs"])
def test_the_examples_give_every_fact_that_the_module_is_handed(name):
    made = facts(load(EXAMPLES / f"{name}.json5"))
    assert set(made) == set(words.facts({}))
    assert set(made["methods"][0]) == set(words.method({}))
    assert made["methods"][0]["deadline"] in (30_000, 40_000, 25_000)


@pytest.mark.parametrize(
    ("text", "says"),
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
def test_what_is_wrong_is_said(tmp_path, text, says):
    path = tmp_path / "a.json5"
    path.write_text(text)
    with pytest.raises(Wrong) as trouble:
        load(path)
    assert says in str(trouble.value) and str(path) in str(trouble.value)


def test_a_missing_file_is_said(tmp_path):
    with pytest.raises(Wrong, match="can't be read"):
        load(tmp_path / "none.json5")


@pytest.mark.parametrize("name", ["slots", "archive", "thumbs"])
def test_a_deployment_written_out_reads_the_same(tmp_path, name):
    made = load(EXAMPLES / f"{name}.json5")
    path = tmp_path / "again.json5"
    path.write_text(json.dumps(plain(made)))
    assert facts(load(path)) == facts(made)


@pytest.mark.parametrize(
    ("change", "says"),
    [
        ({"troubles": [{"kind": "quake", "at": "1 s"}]}, "troubles.0.kind"),
        ({"troubles": [{"kind": "crash", "at": "9 min"}]}, "past the day's length"),
        ({"troubles": [{"kind": "crash", "at": "1 s", "zone": "moon"}]}, 'is "moon"; known'),
        ({"traffic": {"methods": {"dance": {}}}}, "no such method; known: preview, publish, charge"),
        ({"deployment": {"methods": {}}}, "methods: is empty"),
        ({"edges": 0}, "edges: is 0; expected a whole number >= 1"),
    ],
)
def test_what_is_wrong_in_a_day_is_said(tmp_path, change, says):
    path = tmp_path / "day.json5"
    deployment = json.loads(json.dumps(plain(load(EXAMPLES / "thumbs.json5"))))
    path.write_text(json.dumps({"name": "x", "deployment": deployment, **change}))
    with pytest.raises(Wrong) as trouble:
        read_day(path)
    assert says in str(trouble.value)

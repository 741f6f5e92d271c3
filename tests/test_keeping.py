"""Learned figures over restarts of an edge: which ones are restored, and unusable files."""

import pytest
from helpers import dispatcher, request
from test_edge import CALL, Stage

from lapistrestle.deployment.load import DeploymentError, convert_value
from lapistrestle.deployment.schema import Deployment
from lapistrestle.edge.learned_state_file import LearnedStateFile
from lapistrestle.store import learned_state


@pytest.fixture
def stage():
    return Stage()


@pytest.fixture
def path(tmp_path):
    return tmp_path / "edge.learnt"


def learned_methods(stage, **changed):
    return {
        name: learned_state.LearnedMethod(changed.get("soft", m.soft_deadline), m.deadline, 900.0, 40.0)
        for name, m in zip(stage.edge.methods, stage.edge.settings.methods, strict=True)
    }


def logged(stage):
    return stage.logs[-1]


def test_a_new_process_starts_with_the_learned_latency(stage, path):
    learned_state.write_learned_state(path, learned_methods(stage))
    module = stage.edge.host.module
    before = module.latency.typical(0)
    LearnedStateFile(stage.edge, str(path))
    assert module.latency.typical(0) == 900.0 != before
    assert logged(stage) == (
        "learned figures restored",
        {"carried": list(stage.edge.methods), "afresh": []},
    )
    assert (
        not module.throughput.ok_answers.read(module.now)
        and module.throughput.time_constant_factor == 1.0
        and module.load_limit.limit == 1.0
    )


def test_a_restored_figure_counts_as_one_sample():
    made = dispatcher()
    made.latency.restore([(900.0, 40.0)] + [(0.0, 0.0)] * 2)
    made.latency.by_method[0].add(made.now, 1_100)
    assert made.latency.typical(0) == 1_000.0 and made.latency.learned()[1] == (0.0, 0.0)
    heavy = request(made)
    heavy.work = 120
    made.on_request(heavy)
    assert heavy.scale == 1.5


def test_a_method_with_other_deadlines_is_not_restored(stage, path):
    learned_state.write_learned_state(path, learned_methods(stage, soft=1))
    before = stage.edge.host.module.latency.typical(0)
    LearnedStateFile(stage.edge, str(path))
    assert stage.edge.host.module.latency.typical(0) == before and logged(stage)[1]["carried"] == []


@pytest.mark.parametrize(
    ("data", "why"),
    [
        (None, "persisted yet"),
        (b"", "can't be read"),
        (b'{"shape":1,"methods":{"a":{"soft_dead', "can't be read"),
        (b'{"shape":0,"methods":{}}', "can't be read"),
        (b'{"shape":1,"methods":{"a":[1,2]}}', "can't be read"),
        (
            b'{"shape":1,"methods":{"a":{"soft_deadline":1,"deadline":1,"alone":-5,"hint":1}}}',
            "can't be read",
        ),
    ],
)
def test_an_unusable_file_is_logged_and_nothing_is_restored(stage, path, data, why):
    if data is not None:
        path.write_bytes(data)
    before = stage.edge.host.module.latency.learned()
    learned_state_file = LearnedStateFile(stage.edge, str(path))
    assert why in logged(stage)[0] and stage.edge.host.module.latency.learned() == before
    aside = path.with_name("edge.learnt.unread")
    assert aside.read_bytes() == data if data is not None else not aside.exists()
    learned_state_file.write()
    assert set(learned_state.read_learned_state(path)) == set(stage.edge.methods)


def test_a_disk_that_fails_never_stops_the_edge(stage, tmp_path):
    learned_state_file = LearnedStateFile(stage.edge, str(tmp_path / "no" / "folder"))
    learned_state_file.write()
    assert logged(stage)[0] == "learned figures not persisted"


def test_the_setting_is_checked_and_without_it_nothing_is_persisted(stage):
    assert stage.edge.learned_state_file is None
    with pytest.raises(DeploymentError, match=r"x.json5.*dispatcher.keep.*is 5; expected text"):
        convert_value({"methods": {}, "dispatcher": {"keep": 5}}, Deployment, "", "x.json5")


def test_the_usual_load_time_in_a_call_reaches_the_module(stage):
    client = stage.client()
    for id_, more, kept in (("1", {}, None), ("2", {"load": 1200.0}, 12_000), ("3", {}, 12_000)):
        client.say(**CALL, id=id_, **more)
        stage.run()
        assert stage.edge.host.registry.functions["f"].load_time == kept
    client.say(**CALL, id="4", load=-1)
    stage.run()
    assert client.heard("fault") and stage.edge.host.registry.functions["f"].load_time == 12_000


def test_a_stopping_edge_persists_learned_figures_and_the_next_restores_them(stage, path):
    stage.edge.learned_state_file = LearnedStateFile(stage.edge, str(path))
    client = stage.client()
    client.say(**CALL, id="1")
    stage.run()
    ((peer, run),) = stage.runs()
    stage.run(0.12)
    peer.say(**{"is": "ended", "call": run["call"], "outcome": "ok", "warmth": "stood"})
    stage.run()
    learnt_ = stage.edge.host.module.latency.learned()
    stage.edge.stop(lambda: None)
    stage.run(0.5)
    after = Stage()
    LearnedStateFile(after.edge, str(path))
    assert learnt_[0][0] > 1_000 and after.edge.host.module.latency.learned() == learnt_

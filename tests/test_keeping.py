"""Figures learned by an edge, over its restarts: which ones are restored, and unusable files."""

import pytest
from helpers import dispatcher, request
from test_edge import CALL, EdgeHarness

from lapistrestle.deployment.load import DeploymentError, convert_value
from lapistrestle.deployment.schema import Deployment
from lapistrestle.edge.learned_state_file import LearnedStateFile
from lapistrestle.store import learned_state


@pytest.fixture
def harness():
    return EdgeHarness()


@pytest.fixture
def path(tmp_path):
    return tmp_path / "edge.learnt"


def learned_methods(harness, **changed):
    return {
        name: learned_state.LearnedMethod(changed.get("soft", m.soft_deadline), m.deadline, 900.0, 40.0)
        for name, m in zip(harness.edge.methods, harness.edge.settings.methods, strict=True)
    }


def last_log(harness):
    return harness.logs[-1]


def test_a_new_process_starts_with_the_learned_latency(harness, path):
    learned_state.write_learned_state(path, learned_methods(harness))
    module = harness.edge.host.module
    before = module.latency.typical(0)
    LearnedStateFile(harness.edge, str(path))
    assert module.latency.typical(0) == 900.0 != before
    assert last_log(harness) == (
        "learned figures restored",
        {"carried": list(harness.edge.methods), "afresh": []},
    )
    assert (
        not module.throughput.ok_answers.read(module.now)
        and module.throughput.time_constant_factor == 1.0
        and module.load_limit.limit == 1.0
    )


def test_a_restored_figure_counts_as_one_sample():
    module = dispatcher()
    module.latency.restore([(900.0, 40.0)] + [(0.0, 0.0)] * 2)
    module.latency.by_method[0].add(module.now, 1_100)
    assert module.latency.typical(0) == 1_000.0 and module.latency.learned()[1] == (0.0, 0.0)
    heavy = request(module)
    heavy.work = 120
    module.on_request(heavy)
    assert heavy.scale == 1.5


def test_a_method_with_other_deadlines_is_not_restored(harness, path):
    learned_state.write_learned_state(path, learned_methods(harness, soft=1))
    before = harness.edge.host.module.latency.typical(0)
    LearnedStateFile(harness.edge, str(path))
    assert harness.edge.host.module.latency.typical(0) == before and last_log(harness)[1]["carried"] == []


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
def test_an_unusable_file_is_logged_and_nothing_is_restored(harness, path, data, why):
    if data is not None:
        path.write_bytes(data)
    before = harness.edge.host.module.latency.learned()
    learned_state_file = LearnedStateFile(harness.edge, str(path))
    assert why in last_log(harness)[0] and harness.edge.host.module.latency.learned() == before
    set_aside = path.with_name("edge.learnt.unread")
    assert set_aside.read_bytes() == data if data is not None else not set_aside.exists()
    learned_state_file.write()
    assert set(learned_state.read_learned_state(path)) == set(harness.edge.methods)


def test_a_disk_that_fails_never_stops_the_edge(harness, tmp_path):
    learned_state_file = LearnedStateFile(harness.edge, str(tmp_path / "no" / "folder"))
    learned_state_file.write()
    assert last_log(harness)[0] == "learned figures not persisted"


def test_the_setting_is_checked_and_without_it_nothing_is_persisted(harness):
    assert harness.edge.learned_state_file is None
    with pytest.raises(DeploymentError, match=r"x.json5.*dispatcher.keep.*is 5; expected text"):
        convert_value({"methods": {}, "dispatcher": {"keep": 5}}, Deployment, "", "x.json5")


def test_the_usual_load_time_in_a_call_reaches_the_module(harness):
    client = harness.connect_client()
    for id_, more, load_time in (("1", {}, None), ("2", {"load": 1200.0}, 12_000), ("3", {}, 12_000)):
        client.send(**CALL, id=id_, **more)
        harness.run()
        assert harness.edge.host.registry.functions["f"].load_time == load_time
    client.send(**CALL, id="4", load=-1)
    harness.run()
    assert client.messages("fault") and harness.edge.host.registry.functions["f"].load_time == 12_000


def test_a_stopping_edge_persists_learned_figures_and_the_next_restores_them(harness, path):
    harness.edge.learned_state_file = LearnedStateFile(harness.edge, str(path))
    client = harness.connect_client()
    client.send(**CALL, id="1")
    harness.run()
    ((peer, run),) = harness.run_messages()
    harness.run(0.12)
    peer.send(**{"is": "ended", "call": run["call"], "outcome": "ok", "warmth": "stood"})
    harness.run()
    learned = harness.edge.host.module.latency.learned()
    harness.edge.stop(lambda: None)
    harness.run(0.5)
    after = EdgeHarness()
    LearnedStateFile(after.edge, str(path))
    assert learned[0][0] > 1_000 and after.edge.host.module.latency.learned() == learned

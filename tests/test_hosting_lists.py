"""Endpoint lists in any order with attempts and preloads: one object per worker, no new work in drains."""

from typing import Any

from helpers import SETTINGS
from hypothesis import given, settings
from hypothesis import strategies as st
from test_hosting import Clock, Recorder, send_request

from lapistrestle.deployment import translation
from lapistrestle.hosting.host import ModuleHost
from lapistrestle.hosting.requests import WorkerCall, WorkerTask
from lapistrestle.policy.entities import Worker
from lapistrestle.policy.types import EndpointState, Outcome, WorkerInfo

NAMES = ("w0", "w1", "w2")
endpoint_states = st.sampled_from(list(EndpointState))
boots = st.sampled_from([None, 1_000, 2_000])
entry = st.builds(lambda name, listing, booted: WorkerInfo(name, endpoint_state=listing, booted_at=booted),
                  st.sampled_from(NAMES), endpoint_states, boots)  # fmt: skip
step = st.one_of(
    st.tuples(st.just("change"), st.lists(entry, min_size=1, max_size=3, unique_by=lambda e: e.name)),
    st.tuples(st.just("snapshot"), st.lists(entry, max_size=3, unique_by=lambda e: e.name)),
    st.tuples(st.just("send_request"), st.sampled_from(["f", "g"])),
    st.tuples(
        st.just("finish_attempt"),
        st.sampled_from([Outcome.OK, Outcome.REJECTED, Outcome.RESET, Outcome.NOT_LOADED]),
    ),
    st.tuples(st.just("finish_preload"), st.sampled_from([Outcome.OK, Outcome.REJECTED, Outcome.NOT_SENT])),
    st.tuples(st.just("wait"), st.integers(0, 20_000)),
)
# events of each poll of the sockets
polls = st.lists(st.lists(step, min_size=1, max_size=4), max_size=25)


class ListRecorder(Recorder):
    """Records the states in the lists, and the work that was started against them."""

    def __init__(self) -> None:
        super().__init__()
        self.states: dict[str, EndpointState] = {}
        self.violations: list[str] = []

    def record_start(self, work: WorkerCall | WorkerTask, count: int = 1) -> None:
        if count and self.states.get(work.worker.name) is not EndpointState.SERVING:
            self.violations.append(work.worker.name)

    def send_call(self, worker_call: WorkerCall) -> None:
        self.record_start(worker_call)

    def send_preload(self, task: WorkerTask) -> None:
        self.record_start(task, task.count)


class HostUnderTest:
    """A host, and the steps that the tests run on it."""

    def __init__(self) -> None:
        self.clock, self.recorder = Clock(), ListRecorder()
        deployment_settings = translation.to_settings(
            {**SETTINGS, "limits": {"try-limit": 3, "cancel": True, "parallel-tries": True}}
        )
        self.host = ModuleHost(self.recorder, deployment_settings, 7, self.clock, slack=50)

    def run_step(self, step_name: str, arg: Any) -> None:
        getattr(self, step_name)(arg)

    def change(self, entries: list[WorkerInfo]) -> None:
        self.recorder.states.update({entry.name: entry.endpoint_state for entry in entries})
        self.host.endpoints_received(entries, is_snapshot=False)

    def snapshot(self, entries: list[WorkerInfo]) -> None:
        self.recorder.states = {entry.name: entry.endpoint_state for entry in entries}
        self.host.endpoints_received(entries, is_snapshot=True)

    def send_request(self, function: str) -> None:
        send_request(self.host, function=function)

    def finish_attempt(self, outcome: Outcome) -> None:
        for number in list(self.host.worker_calls)[:1]:
            self.host.attempt_finished(number, outcome, "body")

    def finish_preload(self, outcome: Outcome) -> None:
        for number in list(self.host.tasks)[:1]:
            self.host.preload_finished(number, outcome, 1)

    def wait(self, pause: int) -> None:
        self.clock.now += pause
        self.host.fire_timers()

    def serving(self) -> list[Worker]:
        return [
            worker
            for worker in self.host.module.endpoints.workers
            if worker.endpoint_state is EndpointState.SERVING
        ]


@settings(max_examples=300, deadline=None, derandomize=True)
@given(polls=polls, batched=st.booleans())
def test_in_any_interleaving_the_module_uses_only_workers_that_the_list_calls_serving(
    polls: list[list[tuple[str, Any]]], batched: bool
) -> None:
    """If two objects existed for one name, a drain could be recorded in one and requests be sent to the
    other.
    """
    driver = HostUnderTest()
    for poll in polls:
        if batched:
            with driver.host.batched():
                for step_name, arg in poll:
                    driver.run_step(step_name, arg)
        else:
            for step_name, arg in poll:
                driver.run_step(step_name, arg)
        names = [worker.name for worker in driver.serving()]
        assert sorted(names) == sorted(
            name for name, state in driver.recorder.states.items() if state is EndpointState.SERVING
        )
        assert all(driver.host.registry.workers[worker.name] is worker for worker in driver.serving())
        assert driver.recorder.violations == []


def test_a_worker_in_slow_start_that_is_removed_and_returns_keeps_its_history() -> None:
    """With its history lost, it was sent more in its slow start window than it can take."""
    driver = HostUnderTest()
    booted = driver.clock.now - 100
    driver.change([WorkerInfo("w0", booted_at=booted)])
    (worker,) = driver.serving()
    worker.sent_in_slow_start.append((driver.clock.now, 800.0))
    driver.change([WorkerInfo("w0", endpoint_state=EndpointState.REMOVED, booted_at=booted)])
    driver.change([WorkerInfo("w0", booted_at=booted)])
    (returned,) = driver.serving()
    assert returned.weight_sent_since(driver.clock.now - 1) == 800.0


def test_a_removed_worker_is_dropped_once_its_slow_start_window_has_passed() -> None:
    driver = HostUnderTest()
    driver.change([WorkerInfo("w0", booted_at=driver.clock.now - 100)])
    driver.serving()[0].sent_in_slow_start.append((driver.clock.now, 800.0))
    driver.change([WorkerInfo("w0", endpoint_state=EndpointState.REMOVED)])
    assert "w0" in driver.host.registry.workers
    driver.clock.now += driver.host.settings.overload_window + 1
    driver.change([WorkerInfo("w1")])
    assert "w0" not in driver.host.registry.workers

"""Lists in any order beside attempts and orders: one object a worker, and no new work past a drain."""

from typing import Any

from helpers import SETTINGS
from hypothesis import given, settings
from hypothesis import strategies as st
from test_hosting import Clock, Recorder, ask

from lapistrestle.deployment import translation
from lapistrestle.hosting.host import ModuleHost
from lapistrestle.hosting.requests import WorkerCall, WorkerTask
from lapistrestle.policy.entities import Worker
from lapistrestle.policy.types import EndpointState, Outcome, WorkerInfo

NAMES = ("w0", "w1", "w2")
listings = st.sampled_from(list(EndpointState))
starts = st.sampled_from([None, 1_000, 2_000])
entry = st.builds(lambda name, listing, booted: WorkerInfo(name, listing=listing, booted=booted),
                  st.sampled_from(NAMES), listings, starts)  # fmt: skip
step = st.one_of(
    st.tuples(st.just("change"), st.lists(entry, min_size=1, max_size=3, unique_by=lambda e: e.name)),
    st.tuples(st.just("whole"), st.lists(entry, max_size=3, unique_by=lambda e: e.name)),
    st.tuples(st.just("ask"), st.sampled_from(["f", "g"])),
    st.tuples(
        st.just("answer"), st.sampled_from([Outcome.OK, Outcome.REJECTED, Outcome.RESET, Outcome.NOT_LOADED])
    ),
    st.tuples(st.just("ordered"), st.sampled_from([Outcome.OK, Outcome.REJECTED, Outcome.NOT_SENT])),
    st.tuples(st.just("wait"), st.integers(0, 20_000)),
)
looks = st.lists(st.lists(step, min_size=1, max_size=4), max_size=25)  # what each look at the sockets brings


class Lists(Recorder):
    """What the lists say, and what was begun against it."""

    def __init__(self) -> None:
        super().__init__()
        self.told: dict[str, EndpointState] = {}
        self.broken: list[str] = []

    def begin(self, work: WorkerCall | WorkerTask, count: int = 1) -> None:
        if count and self.told.get(work.worker.name) is not EndpointState.SERVING:
            self.broken.append(work.worker.name)

    def send_call(self, worker_call: WorkerCall) -> None:
        self.begin(worker_call)

    def send_preload(self, task: WorkerTask) -> None:
        self.begin(task, task.count)


class Host:
    """A host that hears lists, and the steps that are played on it."""

    def __init__(self) -> None:
        self.clock, self.lists = Clock(), Lists()
        facts = translation.to_settings(
            {**SETTINGS, "limits": {"try-limit": 3, "cancel": True, "parallel-tries": True}}
        )
        self.made = ModuleHost(self.lists, facts, 7, self.clock, slack=50)

    def play(self, what: str, arg: Any) -> None:
        getattr(self, what)(arg)

    def change(self, entries: list[WorkerInfo]) -> None:
        self.lists.told.update({entry.name: entry.listing for entry in entries})
        self.made.endpoints_received(entries, is_snapshot=False)

    def whole(self, entries: list[WorkerInfo]) -> None:
        self.lists.told = {entry.name: entry.listing for entry in entries}
        self.made.endpoints_received(entries, is_snapshot=True)

    def ask(self, function: str) -> None:
        ask(self.made, function=function)

    def answer(self, outcome: Outcome) -> None:
        for number in list(self.made.worker_calls)[:1]:
            self.made.attempt_finished(number, outcome, "body")

    def ordered(self, outcome: Outcome) -> None:
        for number in list(self.made.tasks)[:1]:
            self.made.preload_finished(number, outcome, 1)

    def wait(self, pause: int) -> None:
        self.clock.now += pause
        self.made.fire_timers()

    def serving(self) -> list[Worker]:
        return [
            worker for worker in self.made.module.endpoints.workers if worker.listing is EndpointState.SERVING
        ]


@settings(max_examples=300, deadline=None, derandomize=True)
@given(looks=looks, batched=st.booleans())
def test_no_interleaving_leaves_the_module_a_worker_that_the_list_does_not_call_serving(
    looks: list[list[tuple[str, Any]]], batched: bool
) -> None:
    """A second object under one name would hear of a drain in place of the one that is sent to."""
    host = Host()
    for look in looks:
        if batched:
            with host.made.batched():
                for what, arg in look:
                    host.play(what, arg)
        else:
            for what, arg in look:
                host.play(what, arg)
        names = [worker.name for worker in host.serving()]
        assert sorted(names) == sorted(
            n for n, told in host.lists.told.items() if told is EndpointState.SERVING
        )
        assert all(host.made.registry.workers[worker.name] is worker for worker in host.serving())
        assert host.lists.broken == []


def test_a_cold_worker_that_is_gone_and_back_keeps_what_it_was_sent() -> None:
    """Its object was dropped with what it had been sent: the window of its slow start began anew (rule 4)."""
    host = Host()
    booted = host.clock.now - 100
    host.change([WorkerInfo("w0", booted=booted)])
    (worker,) = host.serving()
    worker.sent_in_slow_start.append((host.clock.now, 800.0))
    host.change([WorkerInfo("w0", listing=EndpointState.REMOVED, booted=booted)])
    host.change([WorkerInfo("w0", booted=booted)])
    (again,) = host.serving()
    assert again.weight_sent_since(host.clock.now - 1) == 800.0


def test_what_a_worker_was_sent_is_forgotten_once_its_window_has_passed() -> None:
    host = Host()
    host.change([WorkerInfo("w0", booted=host.clock.now - 100)])
    host.serving()[0].sent_in_slow_start.append((host.clock.now, 800.0))
    host.change([WorkerInfo("w0", listing=EndpointState.REMOVED)])
    assert "w0" in host.made.registry.workers
    host.clock.now += host.made.settings.overload_window + 1
    host.change([WorkerInfo("w1")])
    assert "w0" not in host.made.registry.workers

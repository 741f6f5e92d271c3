"""Baseline policies to compare the decision module with; only in the model.

Each knows what the module knows, except `greedy`, which sees the true state of every runner and takes the
best one for the call at hand. That is hard to beat but no upper bound: what is best for one call may delay
the next. All handle an RPC alike: an attempt that never ran is retried on another worker, one that may have
run only if its method is idempotent. They limit nothing in slow start, preload nothing ahead of demand, and
wait only for preloads that they requested.
"""

from collections import deque
from collections.abc import Callable, Mapping, Sequence
from math import ceil
from typing import Any
from zlib import crc32

from lapistrestle.policy.entities import Function, Request, Worker
from lapistrestle.policy.fleet_guidance import FleetGuidance
from lapistrestle.policy.ports import Host
from lapistrestle.policy.settings import Settings
from lapistrestle.policy.types import Attempt, AttemptResult, EndpointState, Outcome, WorkerInfo

NEVER_RAN = (Outcome.REJECTED, Outcome.UNREACHABLE, Outcome.NOT_LOADED, Outcome.NOT_SENT)
LOAD_BOUND = 1.25  # in-flight calls of a worker relative to the mean, for hashing with bounded loads
LOAD_COST = 4.0  # calls per core that `greedy` adds to the load of a worker without a copy of the function
# by runner and function: copies loaded (0, 0.5 while loading, or 1), and calls per core at its present speed
TrueState = Callable[[str, str], tuple[float, float]]


class Baseline:
    """Replaces the decision module by one of `POLICIES`, with the module's interface to the host.

    `true_state` is needed by `greedy` only. Times are ticks of 0.1 ms.
    """

    def __init__(
        self,
        host: Host,
        settings: Settings,
        seed: int,
        now: int,
        fleet: FleetGuidance | None,
        policy: str,
        true_state: TrueState | None = None,
    ) -> None:
        self.host, self.settings, self.seed, self.now, self.true_state = host, settings, seed, now, true_state
        self.choose = POLICIES[policy]
        self.serving: list[Worker] = []
        self.known: dict[Worker, None] = {}
        self.in_flight: dict[Worker, int] = {}
        self.draw_count = self.last_turn = 0
        self.waiting: dict[tuple[Worker, Function], list[Request]] = {}
        self.preload_times: deque[int] = deque()
        self.request_times: deque[int] = deque()
        if settings.endpoints_polled:
            host.watch_endpoints()

    def draw(self, below: int) -> int:
        """A pseudo-random number from 0 to `below` - 1, the same in each run with the same seed."""
        self.draw_count += 1
        return crc32(f"{self.seed}:{self.draw_count}".encode()) % max(1, below)

    # events of the host

    def on_endpoints(self, workers: Sequence[tuple[Worker, WorkerInfo]], snapshot: bool) -> None:
        for worker in self.known if snapshot else ():
            worker.endpoint_state = EndpointState.REMOVED
        for worker, info in workers:
            self.known[worker] = None
            worker.endpoint_state, worker.size = info.endpoint_state, info.size
        self.serving = sorted(
            (w for w in self.known if w.endpoint_state is EndpointState.SERVING), key=lambda w: w.name
        )

    def on_request(self, request: Request) -> None:
        self.request_times.append(self.now)
        self.place(request)

    def on_attempt_finished(self, attempt: Attempt, outcome: Outcome, answer: AttemptResult) -> None:
        request, worker = attempt.request, attempt.worker
        attempt.outcome = outcome
        self.in_flight[worker] = self.in_flight.get(worker, 1) - 1
        if request.over or answer.over:
            request.over = True
        elif outcome is Outcome.NOT_LOADED and self.request_preload(worker, request):
            pass
        elif outcome in NEVER_RAN or self.settings.methods[request.method].kind == "idempotent":
            self.place(request)
        else:
            request.over = True
            self.host.abort(request)

    def on_preload_finished(
        self, worker: Worker, function: Function, outcome: Outcome, count: int, duration: int
    ) -> None:
        for request in self.waiting.pop((worker, function), []):
            if not request.over and outcome is Outcome.OK:
                self.send(request, worker)
            elif not request.over:
                self.place(request)

    def on_client_gone(self, request: Request) -> None:
        request.over = True

    def on_attempt_started(self, attempt: Attempt) -> None: ...
    def on_endpoints_failed(self) -> None: ...
    def on_timer(self, token: object) -> None: ...
    def on_health_check(
        self, worker: Worker, outcome: Outcome, duration: int, report: Mapping[str, float]
    ) -> None: ...
    def on_gossip(self, peer: int, text: str) -> None: ...

    # placing requests

    def place(self, request: Request) -> None:
        """Send a request to a worker that it was not sent to before.

        Without one, or with no attempts or time left, it is rejected, or aborted if an attempt may have run.
        """
        tried = {attempt.worker for attempt in request.attempts}
        candidates = [worker for worker in self.serving if worker not in tried]
        if (
            not candidates
            or len(request.attempts) >= self.settings.attempt_limit
            or request.deadline <= self.now
        ):
            request.over = True
            possibly_run = [a for a in request.attempts if a.outcome not in NEVER_RAN]
            return self.host.abort(request) if possibly_run else self.host.reject(request, 0)
        self.send(request, self.choose(self, request, candidates))

    def send(self, request: Request, worker: Worker) -> None:
        self.in_flight[worker] = self.in_flight.get(worker, 0) + 1
        attempt = Attempt(request, worker, self.now)
        request.attempts.append(attempt)
        self.host.send_attempt(attempt, 0)

    def request_preload(self, worker: Worker, request: Request) -> bool:
        """Preload the function and send the request once it is loaded; False if the budget doesn't allow it.

        Needed where runners answer a call to a function that is not loaded with `miss` instead of loading it.
        """
        waiting = self.waiting.get((worker, request.function))
        if waiting is not None:
            waiting.append(request)
            return True
        window = self.settings.preload_window
        for times in (self.preload_times, self.request_times):
            while times and times[0] <= self.now - window:
                times.popleft()
        max_preloads = self.settings.preload_free + self.settings.preload_share * len(self.request_times)
        is_allowed = self.settings.may_preload and (not window or len(self.preload_times) + 1 <= max_preloads)
        if not is_allowed or worker.endpoint_state is not EndpointState.SERVING:
            return False
        self.preload_times.append(self.now)
        self.waiting[worker, request.function] = [request]
        self.host.preload(worker, request.function, 1)
        return True

    # policies

    def by_random(self, request: Request, candidates: list[Worker]) -> Worker:
        return candidates[self.draw(len(candidates))]

    def by_round_robin(self, request: Request, candidates: list[Worker]) -> Worker:
        self.last_turn += 1
        return candidates[self.last_turn % len(candidates)]

    def by_fewest_of_two(self, request: Request, candidates: list[Worker]) -> Worker:
        """The less loaded of two random workers ("power of two choices")."""
        return min((candidates[self.draw(len(candidates))] for _ in range(2)), key=self.relative_load)

    def by_fewest(self, request: Request, candidates: list[Worker]) -> Worker:
        """The least loaded worker; a random one of several."""
        least = min(map(self.relative_load, candidates))
        return self.by_random(
            request, [worker for worker in candidates if self.relative_load(worker) == least]
        )

    def by_hash(self, request: Request, candidates: list[Worker]) -> Worker:
        """Hashing with bounded loads: the first worker in the function's hash order below the bound."""
        bound = ceil(LOAD_BOUND * (sum(self.in_flight.values()) + 1) / len(self.serving))
        order = sorted(
            candidates, key=lambda worker: crc32(f"{request.function.name} {worker.name}".encode())
        )
        return next((worker for worker in order if self.in_flight.get(worker, 0) < bound), order[0])

    def by_true_state(self, request: Request, candidates: list[Worker]) -> Worker:
        """The worker with the least true load per core, where a missing copy adds LOAD_COST.

        Equal workers are taken in the function's hash order, so that calls go to the copies loaded before.
        """
        assert self.true_state is not None
        states = {worker: self.true_state(worker.name, request.function.name) for worker in candidates}

        def cost(worker: Worker) -> tuple[float, int]:
            loaded, load = states[worker]
            return load + (1 - loaded) * LOAD_COST, crc32(f"{request.function.name} {worker.name}".encode())

        return min(candidates, key=cost)

    def relative_load(self, worker: Worker) -> float:
        """Calls of this dispatcher in flight at the worker, relative to its size."""
        return self.in_flight.get(worker, 0) / max(worker.size, 1e-9)


POLICIES: dict[str, Callable[[Any, Request, list[Worker]], Worker]] = {
    "random": Baseline.by_random,
    "round robin": Baseline.by_round_robin,
    "fewest of two": Baseline.by_fewest_of_two,
    "fewest": Baseline.by_fewest,
    "hash": Baseline.by_hash,
    "greedy": Baseline.by_true_state,
}

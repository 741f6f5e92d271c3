"""The edge program with the JSON lines protocol: clients, runners, worker list, planner and versions."""

from collections.abc import Callable, Sequence
from dataclasses import replace
from typing import Any

from lapistrestle.deployment.load import to_settings
from lapistrestle.deployment.schema import Deployment
from lapistrestle.edge.clients import ClientConnection, ClientFront
from lapistrestle.edge.connection_state import PROMPT_WAIT
from lapistrestle.edge.core import Core, Log
from lapistrestle.edge.known_workers import Address, EndpointListFollower
from lapistrestle.edge.learned_state_file import LearnedStateFile
from lapistrestle.edge.peers import GossipSocket
from lapistrestle.edge.planner_source import PlannerSource
from lapistrestle.edge.runners import Runner, line_bounds
from lapistrestle.hosting.requests import PendingRequest, RequestEnd, WorkerCall, WorkerTask
from lapistrestle.policy.dispatcher import Dispatcher
from lapistrestle.policy.fleet_guidance import FleetGuidance
from lapistrestle.policy.types import FunctionInfo, Outcome, WorkerInfo
from lapistrestle.rollout.routing import Route, Routing
from lapistrestle.rollout.version_choice import VersionChoice, attempt_key, choose_after_denial
from lapistrestle.sources.numbered_list import ListAction, ListEvent
from lapistrestle.sources.roster import RosterSource
from lapistrestle.ticks import MILLISECOND
from lapistrestle.wire import messages as wire


def has_cost_worker(pending: PendingRequest) -> bool:
    """Whether an attempt of this request used a worker's capacity: one not sent or not loaded did not."""
    return any(c.outcome not in (None, Outcome.NOT_LOADED, Outcome.NOT_SENT) for c in pending.attempts)


def has_worker_fault(pending: PendingRequest) -> bool:
    """Whether an attempt failed because of a worker, rather than for lack of capacity or time."""
    return any(c.outcome in (Outcome.ERROR, Outcome.RESET, Outcome.UNREACHABLE) for c in pending.attempts)


class Edge(Core):
    """An edge with the JSON lines protocol, which routes each call to a version of its function.

    Adds to `Core` what the deployment configures: the roster or the directory, the planner, gossip, the file
    of learned figures and the fleet.
    """

    def __init__(
        self, reactor: Any, deployment: Deployment, log: Log, seed: int | None = None,
        make: Callable[..., Any] = Dispatcher, boot: int | None = None, nonce: int = 0,
    ) -> None:  # fmt: skip
        """`seed` defaults to that of the deployment; `make` creates the decision module.

        In a fleet, `boot` and `nonce` distinguish this start of the process from earlier ones: `boot` must
        grow with each start (default: the reactor's time in ms).
        """
        dispatcher = deployment.dispatcher
        self.deployment, self.bounds = deployment, line_bounds(deployment.listen)
        self.methods = {name: i for i, name in enumerate(deployment.methods)}
        self.method_names = list(deployment.methods)
        self.customers = {name: i for i, name in enumerate(deployment.customers)}
        self.margin = int(deployment.listen.margin)
        kinds = list(deployment.workers.memory_by_kind)
        self.known_workers = EndpointListFollower(
            deployment.zones, kinds, lambda text: log("roster", figures=text)
        )
        self.roster_source: RosterSource | None = None
        self.planner: PlannerSource | None = None
        self.routing = Routing()
        seed = dispatcher.seed if seed is None else seed
        settings = replace(to_settings(deployment), preload_delay=PROMPT_WAIT)
        guidance = FleetGuidance()
        self.directory: Any = None
        if deployment.directory.shards:  # imported only where needed, to save memory and start time
            from lapistrestle.directory.region_estimate import RegionEstimate

            share, duration = settings.slow_start_share, settings.slow_start_duration
            guidance.region = RegionEstimate(self.clock, share, duration)
        super().__init__(
            reactor, dispatcher.name, settings, log, seed, self.margin // 2, make, fleet=guidance
        )
        clients = ClientFront(self)
        self.front, self.client_connections = clients, clients.client_connections
        self.make_runner = lambda name, port, start: Runner(self, name, port, start)
        if deployment.directory.shards:
            from lapistrestle.edge.directory import EdgeDirectory

            self.directory = EdgeDirectory(self, deployment.directory)
            self.dial_on_first_use = True
            self.sources.append(self.directory)
        elif deployment.roster.port:
            self.roster_source = RosterSource(self, deployment.roster.port)
            self.roster_source.is_subscribed = self.settings.endpoints_polled
            self.sources.append(self.roster_source)
        if deployment.planner.port:
            self.planner = PlannerSource(self, deployment.planner.port)
            self.sources.append(self.planner)
        self.gossip = GossipSocket(self) if self.settings.may_gossip else None
        self.learned_state_file = LearnedStateFile(self, dispatcher.keep) if dispatcher.keep else None
        fleet = deployment.fleet
        boot = round(reactor.seconds() * 1000) if boot is None else boot
        self.fleet_member: Any = None
        if fleet.name:  # imported only where needed, to save memory and start time
            from lapistrestle.edge.fleet_member import FleetMember

            self.fleet_member = FleetMember(self, fleet, boot, nonce)

    def start(self) -> int:
        """Start listening, following the sources and, in a fleet, gossip. Returns the port."""
        port = super().start()
        if self.fleet_member is not None:
            self.fleet_member.start()
        return port

    def stop(self, stopped: Callable[[], None]) -> None:
        """As `Core.stop`; also announces to the fleet that this edge leaves."""
        if self.fleet_member is not None:
            self.fleet_member.endpoint.leave()
        super().stop(stopped)

    # the worker list and the runners

    def list_received(self, message: wire.RosterSnapshot | wire.RosterUpdate) -> ListAction:
        """Apply a worker list or a change to it; an outdated one, or one after a gap, is not applied.

        Returns what was done, and whether the caller has to request a snapshot.
        """
        result = self.known_workers.message_received(message, self.clock())
        if result.action is ListAction.APPLY:
            self.apply_workers(result.workers, result.addresses, result.whole)
        return result.action

    def apply_workers(
        self, workers: Sequence[WorkerInfo], addresses: Sequence[Address], whole: bool = False
    ) -> None:
        """Apply new or changed workers and their addresses. `whole`: they are the complete list."""
        self.endpoints_received(workers, whole)
        for name, port, start in addresses:
            self.address_received(name, port, start)

    def list_event(self, event: ListEvent) -> None:
        """Handle a lost or failed roster connection; the module learns that the list can't be read."""
        if self.known_workers.handle_event(event) is ListAction.REPORT_FAILURE:
            self.host.endpoints_failed()

    def runner(self, name: str) -> Any:
        """The connection handle of the runner; `None` if there is none.

        With a directory most known workers never get a call, so a runner is dialled when it is first used.
        Lines wait for its greeting, which says whether it drains.
        """
        runner, known = self.runners.get(name), self.known_workers.known.get(name)
        if runner is None and known is not None and self.dial_on_first_use and not self.stopping:
            runner = self.runners[name] = self.make_runner(name, known.entry.port, known.start)
        return runner

    def runner_greeted(self, name: str, hello: wire.Hello) -> None:
        """Apply a runner's greeting: which process start it is, and whether it drains."""
        workers = self.known_workers.greeting_received(
            name, hello.start, hello.up_for, hello.draining, self.clock()
        )
        if workers:
            self.endpoints_received(workers, whole=False)

    def runner_draining(self, name: str, start: str) -> None:
        """Apply a runner's own notice that it drains."""
        workers = self.known_workers.drain_announced(name, start)
        if workers:
            self.endpoints_received(workers, whole=False)

    # versions

    def route(self, call: wire.Call, client: ClientConnection, method: int) -> Route:
        """Choose the version of the function that serves this call; with an empty name it must be aborted."""
        key = attempt_key(call.key, call.token, f"{client.name}/{call.id}")
        return self.routing.route(
            call.function,
            key,
            self.idempotency_of(method),
            call.is_retry,
            self.clock(),
            self.shares_tokens(call),
        )

    def idempotency_of(self, method: int) -> str:
        """The idempotency of a method, as in the settings, such as `idempotent`."""
        kind: str = self.settings.methods[method].kind
        return kind

    def shares_tokens(self, call: wire.Call) -> bool:
        """Whether versions of the function share their idempotency tokens."""
        return self.deployment.methods[call.method].repeats_across_versions

    def accept_call(
        self, client: ClientConnection, call: wire.Call, method: int, customer: int, time_left: int,
        route: Route, moved: bool = False, prior_attempts: int = 0,
    ) -> None:  # fmt: skip
        """Pass an RPC to the host, for the first time or, with `moved`, again under another version.

        `time_left` is in ticks; `prior_attempts` were made under the previous version. With a directory the
        RPC waits until the prefix of its function is known.
        """
        load_time = None if call.load_time is None else int(call.load_time * MILLISECOND)
        awaits_prefix = False
        if self.directory is not None:
            function = self.host.registry.function(route.name, method, call.memory, call.lanes, load_time)
            awaits_prefix = not self.directory.has_prefix(function, call.method)
        pending = self.host.request_received(
            client=client, message=call, tag=f"{client.name}/{call.id}", function_name=route.name,
            method=method, customer=customer, time_left=time_left, memory_mb=call.memory, lanes=call.lanes,
            work=None if call.work is None else max(1, int(call.work * MILLISECOND)), repeat=call.is_retry,
            route=route, load_time=load_time, already_counted=moved, prior_attempts=prior_attempts,
            awaits_prefix=awaits_prefix,
        )  # fmt: skip
        if awaits_prefix:
            self.directory.wait(pending)
        if not pending.is_closed:
            client.open_requests[call.id] = pending

    def restart_call(self, pending: PendingRequest) -> None:
        """Restart an RPC that did not run on a barred version, under the settled version in the time left."""
        call, attempts = pending.message, pending.attempt_count()
        route = self.routing.reroute(pending.function.name, attempt_key(call.key, call.token, pending.tag))
        time_left = pending.deadline - self.clock()
        if self.fleet_member is not None:
            self.fleet_member.admission.count_restart()
        self.accept_call(
            pending.client, call, pending.method, pending.customer, time_left, route, True, attempts
        )

    def request_closed(self, pending: PendingRequest, how: RequestEnd) -> None:
        """Count the outcome of an RPC for its version, and for the fleet's admission control.

        The failure of an RPC that waited for a directory lookup, or whose version is barred, does not count
        for the version, which did not cause it.
        """
        waited = self.directory is not None and self.directory.waiting_requests.leave(pending)
        if self.fleet_member is not None:
            late = self.is_late(pending)
            if how in (RequestEnd.REJECTED, RequestEnd.ABORTED) and has_cost_worker(pending) and not late:
                self.fleet_member.admission.count_retry()
            self.fleet_member.on_request_finished(
                how, late, bool(pending.attempts), has_worker_fault(pending)
            )
        if pending.route is not None and pending.route.candidate and how is not RequestEnd.MIGRATED:
            if how is not RequestEnd.OK and (waited or self.is_barred(pending.function.name)):
                return
            self.routing.count_outcome(
                pending.route, how is not RequestEnd.OK or self.is_late(pending), self.clock()
            )

    def is_late(self, pending: PendingRequest) -> bool:
        """Whether the request is past its soft deadline now; the soft deadline grows with the work."""
        method = self.settings.methods[pending.method]
        stretched = method.soft_deadline + method.soft_stretch * (pending.work or 0)
        return bool(self.clock() - pending.accepted_at > min(method.deadline, stretched))

    # hosting.transport.Transport

    def send_answer(self, pending: PendingRequest, verdict: RequestEnd, retry_after: int, body: Any) -> None:
        """Answer the client; a rejection for a barred version restarts the RPC under the settled one instead.

        Where that could run it twice, it is aborted. `retry_after` is in ticks.
        """
        late = pending.deadline - self.clock() <= 0
        if (
            verdict == RequestEnd.REJECTED
            and not late
            and not self.stopping
            and self.is_barred(pending.function.name)
        ):
            idempotency, shares_tokens = (
                self.idempotency_of(pending.method),
                self.shares_tokens(pending.message),
            )
            if (
                choose_after_denial(idempotency, pending.may_have_run_on is not None, shares_tokens)
                is VersionChoice.SETTLED
            ):
                return self.restart_call(pending)
            verdict, retry_after = RequestEnd.ABORTED, 0
        pending.client.answer(pending, verdict, retry_after, body)

    def stream_started(self, pending: PendingRequest) -> None:
        pending.client.send_message(wire.StreamStarted(pending.message.id))

    def is_barred(self, name: str) -> bool:
        """Whether nothing new may be sent to this version of a function."""
        return "@" in name and self.routing.is_barred(name, self.clock())

    def send_call(self, worker_call: WorkerCall) -> None:
        """As `Core.send_call`; an attempt on a barred version ends as not sent."""
        if self.is_barred(worker_call.pending.function.name):
            return self.host.attempt_finished(worker_call.number, Outcome.NOT_SENT)
        if self.fleet_member is not None and has_cost_worker(worker_call.pending):
            self.fleet_member.admission.count_retry()
        if self.directory is not None:
            self.directory.call_sent(worker_call)
        super().send_call(worker_call)

    def send_preload(self, task: WorkerTask) -> None:
        """As `Core.send_preload`; copies of a barred version are not loaded."""
        if task.function is not None and task.count and self.is_barred(task.function.name):
            return self.host.preload_finished(task.number, Outcome.REJECTED, 0)
        super().send_preload(task)

    def extend_prefix(self, function: FunctionInfo) -> None:
        """Ask the directory for more workers of this function; without a directory all are known."""
        if self.directory is not None:
            self.directory.extend_prefix(function.name)

    def send_gossip(self, peer: int | None, text: str) -> None:
        if self.gossip is not None:
            self.gossip.send(peer, text)

    def finish(self) -> None:
        """As `Core.finish`; persists the learned figures first."""
        if self.on_stopped is not None and self.learned_state_file is not None:
            self.learned_state_file.write()
        super().finish()

"""Translates between the simulator's JSON batches and the decision module's events and commands.

A batch is a line with the simulated time and the events at that time; the reply to it has the commands that
they caused. Each simulated dispatcher has an isolated instance of the module. The simulator counts time in
microseconds, the module in ticks of 0.1 ms.
"""

import traceback
from collections.abc import Callable, Mapping
from typing import Any, BinaryIO

import orjson

from lapistrestle.deployment import translation
from lapistrestle.hosting.registry import ObjectRegistry
from lapistrestle.policy.dispatcher import Dispatcher
from lapistrestle.policy.entities import Request
from lapistrestle.policy.types import (
    Attempt,
    AttemptResult,
    EndpointGap,
    EndpointState,
    FunctionInfo,
    RequestInfo,
    WorkerInfo,
)
from lapistrestle.ticks import MICROSECONDS

Fields = Mapping[str, Any]


class MalformedBatchError(Exception):
    """A line of the input is not JSON, or not a batch of events."""


class DispatcherAdapter:
    """The host of one dispatcher: maps ids to objects in events, and objects to ids in commands.

    `cmds` collects the commands of the batch that is being handled.
    """

    def __init__(self, name: str, init: Fields, now: int, cmds: list[dict[str, Any]]) -> None:
        self.name, self.cmds = name, cmds
        settings = init.get("settings") or {}
        self.load_report_names = (settings.get("reporting") or {}).get("names") or []
        self.reports_concurrency = bool((settings.get("family-info") or {}).get("says-company"))
        self.requests: dict[str, Request] = {}
        self.registry = ObjectRegistry()
        self.module = Dispatcher(self, translation.to_settings(settings), int(init.get("rng-seed") or 0), now)

    # Host: commands of the module

    def send_command(self, command: str, **fields: Any) -> None:
        """Add a command to the reply, with the id of this dispatcher."""
        self.cmds.append({command: {"dispatcher-id": self.name, **fields}})

    def send_attempt(self, attempt: Attempt, timeout: int) -> None:
        within = translation.to_microseconds(timeout)
        self.send_command(
            "Relay", **{"msg-id": attempt.request.tag, "runner": attempt.worker.name, "within": within}
        )

    def reject(self, request: RequestInfo, retry_after: int) -> None:
        self.send_command("Reject", **{"msg-id": request.tag, "not-before-for": retry_after * MICROSECONDS})

    def abort(self, request: RequestInfo) -> None:
        self.send_command("DropRequest", **{"msg-id": request.tag})

    def cancel(self, attempt: Attempt) -> None:
        request = attempt.request
        self.send_command("Abandon", **{"msg-id": request.tag, "round-no": request.attempts.index(attempt)})

    def preload(self, worker: WorkerInfo, function: FunctionInfo, count: int) -> None:
        self.send_command("Preload", runner=worker.name, image=function.name, number=count)

    def unload(self, worker: WorkerInfo, function: FunctionInfo) -> None:
        self.send_command("TakeDown", runner=worker.name, image=function.name)

    def health_check(self, worker: WorkerInfo) -> None:
        self.send_command("Sample", runner=worker.name)

    def send_gossip(self, peer: int | None, text: str) -> None:
        self.send_command("MemoTo", dst="*" if peer is None else peer, raw=text)

    def set_timer(self, delay: int, token: object) -> None:
        self.send_command(
            "NotifyMe",
            **{"span": translation.to_microseconds(delay), "key-back": self.registry.store_token(token)},
        )

    def watch_endpoints(self) -> None:
        self.send_command("Listen", enable=True)

    def extend_prefix(self, function: FunctionInfo) -> None: ...  # the endpoint list names every runner

    def endpoint_gap(self) -> EndpointGap | None:
        return None  # what the simulator has not told yet is not held against the dispatcher

    def connected_since(self, worker: WorkerInfo) -> int | None:
        return None  # the simulator has no connections

    def forget_function(self, function: FunctionInfo) -> None:
        self.registry.forget_function(function)

    def log(self, text: str) -> None:
        self.send_command("Log", what=text)

    # events of the simulator

    def handle_event(self, event: str, fields: Fields, now: int) -> None:
        """Pass one event on to the module; an unknown one is ignored."""
        handler = EVENT_HANDLERS.get(event)
        if handler is not None:
            self.module.now = now
            handler(self, fields)

    def load_report(self, row: list[float] | None) -> dict[str, float]:
        """Return the values of a load report by name; missing ones are left out."""
        return {name: v for name, v in zip(self.load_report_names, row or [], strict=False) if v is not None}

    def on_update(self, fields: Fields) -> None:
        """The endpoint list (complete or a `delta`), or the failure to get it."""
        kind = fields.get("kind")
        if kind == "failed":
            return self.module.on_endpoints_failed()
        rows = [(self.registry.worker(r["runner"]), worker_info(r)) for r in fields.get("records") or []]
        self.module.on_endpoints(rows, snapshot=kind != "delta")

    def on_demand(self, fields: Fields) -> None:
        """A request of a client."""
        name, method = fields.get("image") or "", fields.get("class") or 0
        memory, lanes = fields.get("ram-mb") or 0.0, int(fields.get("width") or 1)
        load_time = (
            None
            if fields.get("bringup-ms") is None
            else translation.to_ticks_floor(int(1000 * fields["bringup-ms"]))
        )
        request = Request(
            tag=fields["msg-id"],
            function=self.registry.function(name, method, memory, lanes, load_time),
            method=method,
            customer=fields.get("user-group") or 0,
            deadline=translation.to_ticks_floor(fields["not-after"]),
            work=None if fields.get("work") is None else max(1, translation.to_ticks_floor(fields["work"])),
            repeat=bool(fields.get("resent")),
        )
        self.requests[request.tag] = request
        self.module.on_request(request)
        self.forget_if_finished(request)

    def on_under_way(self, fields: Fields) -> None:
        """A worker started an attempt."""
        request = self.requests.get(fields["msg-id"])
        if request is not None:
            self.module.on_attempt_started(request.attempts[fields["round-no"]])

    def on_done(self, fields: Fields) -> None:
        """An attempt ended. `detail` is the load state plus 8 times the concurrency."""
        request = self.requests.get(fields["msg-id"])
        if request is None:
            return
        detail = fields.get("detail") or 0
        answer = AttemptResult(
            latency=translation.to_ticks_floor(fields.get("took") or 0),
            over=bool(fields.get("no-more")),
            load_state=translation.LOAD_STATES[detail % 8]
            if detail % 8 < len(translation.LOAD_STATES)
            else translation.LOAD_STATES[0],
            concurrency=detail // 8 if self.reports_concurrency else None,
            load_report=self.load_report(fields.get("telemetry")),
        )
        self.module.on_attempt_finished(
            request.attempts[fields["round-no"]], translation.OUTCOMES[fields["reason"]], answer
        )
        self.forget_if_finished(request)

    def on_vanished(self, fields: Fields) -> None:
        """The client of a request has disconnected."""
        request = self.requests.get(fields["msg-id"])
        if request is not None:
            self.module.on_client_gone(request)
            self.forget_if_finished(request)

    def forget_if_finished(self, request: Request) -> None:
        """Drop a request that has its final answer and no attempt in flight."""
        if request.over and all(attempt.outcome is not None for attempt in request.attempts):
            self.requests.pop(request.tag, None)

    def on_fired(self, fields: Fields) -> None:
        """A timer of the module is due."""
        token = self.registry.take_token(fields.get("key-back") or 0)
        if token is not None:
            self.module.on_timer(token)

    def on_loaded(self, fields: Fields) -> None:
        """A preload ended."""
        worker, function = (
            self.registry.workers.get(fields["runner"]),
            self.registry.functions.get(fields["image"]),
        )
        if worker is not None and function is not None:
            outcome, took = (
                translation.OUTCOMES[fields["reason"]],
                translation.to_ticks_floor(fields.get("took") or 0),
            )
            self.module.on_preload_finished(worker, function, outcome, fields.get("number") or 0, took)

    def on_probe_result(self, fields: Fields) -> None:
        """A health check ended."""
        worker = self.registry.workers.get(fields["runner"])
        if worker is not None:
            outcome, took = (
                translation.OUTCOMES[fields["reason"]],
                translation.to_ticks_floor(fields.get("took") or 0),
            )
            self.module.on_health_check(worker, outcome, took, self.load_report(fields.get("telemetry")))

    def on_datagram(self, fields: Fields) -> None:
        """A message of another dispatcher."""
        self.module.on_gossip(fields.get("src-peer") or 0, fields.get("raw") or "")


# by the simulator's names of events
EVENT_HANDLERS: dict[str, Callable[[DispatcherAdapter, Fields], None]] = {
    "Update": DispatcherAdapter.on_update,
    "Demand": DispatcherAdapter.on_demand,
    "UnderWay": DispatcherAdapter.on_under_way,
    "Done": DispatcherAdapter.on_done,
    "Vanished": DispatcherAdapter.on_vanished,
    "Fired": DispatcherAdapter.on_fired,
    "Loaded": DispatcherAdapter.on_loaded,
    "ProbeResult": DispatcherAdapter.on_probe_result,
    "Datagram": DispatcherAdapter.on_datagram,
}


def worker_info(record: Fields) -> WorkerInfo:
    """Translate one record of the endpoint list."""
    booted, size = record.get("boot-time"), record.get("size")
    return WorkerInfo(
        name=record["runner"],
        zone=record.get("area") or 0,
        cell=record.get("cohort") or 0,
        kind=record.get("type") or 0,
        size=1.0 if size is None else size,
        endpoint_state=translation.ENDPOINT_STATES.get(
            record.get("availability") or "SERVING", EndpointState.SERVING
        ),
        booted_at=translation.to_ticks_ceil(booted) if booted else None,
    )


class Adapter:
    """All simulated dispatchers of this process, by dispatcher id."""

    def __init__(self) -> None:
        self.dispatchers: dict[str, DispatcherAdapter] = {}

    def answer(self, line: bytes) -> bytes:
        """Handle one batch and return the reply. Raises MalformedBatchError."""
        try:
            batch = orjson.loads(line)
            now, number = translation.to_ticks_ceil(batch["clock"]), batch["batch"]
            events = list(batch["happened"] or [])
        except (ValueError, TypeError, KeyError) as error:
            raise MalformedBatchError(f"not a batch: {error!r}") from None
        cmds: list[dict[str, Any]] = []
        for event in events:
            if not isinstance(event, dict):
                raise MalformedBatchError("not a batch: an event is no object")
            for name, fields in event.items():
                self.dispatch_event(name, fields or {}, now, cmds)
        return orjson.dumps({"batch": number, "cmds": cmds})

    def dispatch_event(self, event: str, fields: Fields, now: int, cmds: list[dict[str, Any]]) -> None:
        """Pass an event to its dispatcher. An exception is returned as the command `InternalError`.

        `Init` creates the dispatcher, `CrashNow` removes it; events of an unknown one are ignored.
        """
        name = fields.get("dispatcher-id") or ""
        try:
            if event == "Init":
                self.dispatchers[name] = DispatcherAdapter(name, fields, now, cmds)
            elif event == "CrashNow":
                self.dispatchers.pop(name, None)
            elif name in self.dispatchers:
                self.dispatchers[name].cmds = cmds
                self.dispatchers[name].handle_event(event, fields, now)
        except Exception:
            text = traceback.format_exc(limit=-3)
            cmds.append({"InternalError": {"dispatcher-id": name, "what": text}})


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer each line of `source` on `sink` until the input ends. Raises MalformedBatchError."""
    adapter = Adapter()
    for line in source:
        sink.write(adapter.answer(line) + b"\n")
        sink.flush()

"""Batches to events, actions to replies; one isolated module instance for each dispatcher."""

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
    EndpointState,
    FunctionInfo,
    RequestInfo,
    WorkerInfo,
)
from lapistrestle.ticks import MICROSECONDS

Fields = Mapping[str, Any]


class Malformed(Exception):
    """A line that is no JSON or no batch."""


class Link:
    """One dispatcher: ids to objects on the way in, objects to ids on the way out."""

    def __init__(self, name: str, init: Fields, now: int, cmds: list[dict[str, Any]]) -> None:
        self.name, self.cmds = name, cmds
        settings = init.get("settings") or {}
        self.report_names = (settings.get("reporting") or {}).get("names") or []
        self.says_company = bool((settings.get("family-info") or {}).get("says-company"))
        self.requests: dict[str, Request] = {}
        self.registry = ObjectRegistry()
        self.module = Dispatcher(self, translation.to_settings(settings), int(init.get("rng-seed") or 0), now)

    # what the module asks for (interface.Host)

    def act(self, word: str, **fields: Any) -> None:
        self.cmds.append({word: {"dispatcher-id": self.name, **fields}})

    def send_attempt(self, attempt: Attempt, time_out: int) -> None:
        within = translation.to_microseconds(time_out)
        self.act("Relay", **{"msg-id": attempt.request.tag, "runner": attempt.worker.name, "within": within})

    def reject(self, request: RequestInfo, retry_after: int) -> None:
        self.act("Reject", **{"msg-id": request.tag, "not-before-for": retry_after * MICROSECONDS})

    def abort(self, request: RequestInfo) -> None:
        self.act("DropRequest", **{"msg-id": request.tag})

    def cancel(self, attempt: Attempt) -> None:
        request = attempt.request
        self.act("Abandon", **{"msg-id": request.tag, "round-no": request.attempts.index(attempt)})

    def preload(self, worker: WorkerInfo, function: FunctionInfo, count: int) -> None:
        self.act("Preload", runner=worker.name, image=function.name, number=count)

    def unload(self, worker: WorkerInfo, function: FunctionInfo) -> None:
        self.act("TakeDown", runner=worker.name, image=function.name)

    def health_check(self, worker: WorkerInfo) -> None:
        self.act("Sample", runner=worker.name)

    def send_gossip(self, peer: int | None, text: str) -> None:
        self.act("MemoTo", dst="*" if peer is None else peer, raw=text)

    def set_timer(self, delay: int, token: object) -> None:
        self.act(
            "NotifyMe",
            **{"span": translation.to_microseconds(delay), "key-back": self.registry.keep_token(token)},
        )

    def watch_endpoints(self) -> None:
        self.act("Listen", enable=True)

    def extend_prefix(self, function: FunctionInfo) -> None: ...  # the list names every runner

    def log(self, text: str) -> None:
        self.act("Log", what=text)

    # what the wire tells

    def take(self, word: str, fields: Fields, now: int) -> None:
        reader = READERS.get(word)
        if reader is not None:
            self.module.now = now
            reader(self, fields)

    def report(self, row: list[float] | None) -> dict[str, float]:
        return {name: v for name, v in zip(self.report_names, row or [], strict=False) if v is not None}

    def update(self, fields: Fields) -> None:
        kind = fields.get("kind")
        if kind == "failed":
            return self.module.on_endpoints_failed()
        rows = [(self.registry.worker(r["runner"]), entry(r)) for r in fields.get("records") or []]
        self.module.on_endpoints(rows, snapshot=kind != "delta")

    def demand(self, fields: Fields) -> None:
        name, method = fields.get("image") or "", fields.get("class") or 0
        memory, lanes = fields.get("ram-mb") or 0.0, int(fields.get("width") or 1)
        load = (
            None
            if fields.get("bringup-ms") is None
            else translation.to_ticks_floor(int(1000 * fields["bringup-ms"]))
        )
        request = Request(
            tag=fields["msg-id"],
            function=self.registry.function(name, method, memory, lanes, load),
            method=method,
            customer=fields.get("user-group") or 0,
            deadline=translation.to_ticks_floor(fields["not-after"]),
            work=None if fields.get("work") is None else max(1, translation.to_ticks_floor(fields["work"])),
            repeat=bool(fields.get("resent")),
        )
        self.requests[request.tag] = request
        self.module.on_request(request)
        self.forget(request)

    def under_way(self, fields: Fields) -> None:
        request = self.requests.get(fields["msg-id"])
        if request is not None:
            self.module.on_attempt_started(request.attempts[fields["round-no"]])

    def done(self, fields: Fields) -> None:
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
            concurrency=detail // 8 if self.says_company else None,
            load_report=self.report(fields.get("telemetry")),
        )
        self.module.on_attempt_finished(
            request.attempts[fields["round-no"]], translation.OUTCOMES[fields["reason"]], answer
        )
        self.forget(request)

    def vanished(self, fields: Fields) -> None:
        request = self.requests.get(fields["msg-id"])
        if request is not None:
            self.module.on_client_gone(request)
            self.forget(request)

    def forget(self, request: Request) -> None:
        if request.over and all(c.outcome is not None for c in request.attempts):
            self.requests.pop(request.tag, None)

    def fired(self, fields: Fields) -> None:
        token = self.registry.take_token(fields.get("key-back") or 0)
        if token is not None:
            self.module.on_timer(token)

    def loaded(self, fields: Fields) -> None:
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

    def probe_result(self, fields: Fields) -> None:
        worker = self.registry.workers.get(fields["runner"])
        if worker is not None:
            outcome, took = (
                translation.OUTCOMES[fields["reason"]],
                translation.to_ticks_floor(fields.get("took") or 0),
            )
            self.module.on_health_check(worker, outcome, took, self.report(fields.get("telemetry")))

    def datagram(self, fields: Fields) -> None:
        self.module.on_gossip(fields.get("src-peer") or 0, fields.get("raw") or "")


READERS: dict[str, Callable[[Link, Fields], None]] = {
    "Update": Link.update,
    "Demand": Link.demand,
    "UnderWay": Link.under_way,
    "Done": Link.done,
    "Vanished": Link.vanished,
    "Fired": Link.fired,
    "Loaded": Link.loaded,
    "ProbeResult": Link.probe_result,
    "Datagram": Link.datagram,
}


def entry(record: Fields) -> WorkerInfo:
    """One line of the list."""
    booted, size = record.get("boot-time"), record.get("size")
    return WorkerInfo(
        name=record["runner"],
        zone=record.get("area") or 0,
        cell=record.get("cohort") or 0,
        kind=record.get("type") or 0,
        size=1.0 if size is None else size,
        listing=translation.ENDPOINT_STATES.get(
            record.get("availability") or "SERVING", EndpointState.SERVING
        ),
        booted=translation.to_ticks_ceil(booted) if booted else None,
    )


class Links:
    """All dispatchers that this process hosts."""

    def __init__(self) -> None:
        self.links: dict[str, Link] = {}

    def answer(self, line: bytes) -> bytes:
        try:
            batch = orjson.loads(line)
            now, number = translation.to_ticks_ceil(batch["clock"]), batch["batch"]
            happened = list(batch["happened"] or [])
        except (ValueError, TypeError, KeyError) as trouble:
            raise Malformed(f"not a batch: {trouble!r}") from None
        cmds: list[dict[str, Any]] = []
        for event in happened:
            if not isinstance(event, dict):
                raise Malformed("not a batch: an event is no object")
            for word, fields in event.items():
                self.pass_on(word, fields or {}, now, cmds)
        return orjson.dumps({"batch": number, "cmds": cmds})

    def pass_on(self, word: str, fields: Fields, now: int, cmds: list[dict[str, Any]]) -> None:
        name = fields.get("dispatcher-id") or ""
        try:
            if word == "Init":
                self.links[name] = Link(name, fields, now, cmds)
            elif word == "CrashNow":
                self.links.pop(name, None)
            elif name in self.links:
                self.links[name].cmds = cmds
                self.links[name].take(word, fields, now)
        except Exception:
            text = traceback.format_exc(limit=-3)
            cmds.append({"InternalError": {"dispatcher-id": name, "what": text}})


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer each line until the input ends."""
    links = Links()
    for line in source:
        sink.write(links.answer(line) + b"\n")
        sink.flush()

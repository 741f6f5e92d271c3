"""Batches to events, actions to replies; one isolated module instance for each dispatcher."""

import traceback
from collections.abc import Callable, Mapping
from typing import Any, BinaryIO

import orjson

from lapistrestle.choice import Dispatcher
from lapistrestle.deployment import words
from lapistrestle.hosting.registry import ObjectRegistry
from lapistrestle.interface import Answer, CallOut, FnFacts, Listing, RpcFacts, SrvFacts
from lapistrestle.state import Rpc

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
        self.rpcs: dict[str, Rpc] = {}
        self.registry = ObjectRegistry()
        self.module = Dispatcher(self, words.facts(settings), int(init.get("rng-seed") or 0), now)

    # what the module asks for (interface.Host)

    def act(self, word: str, **fields: Any) -> None:
        self.cmds.append({word: {"dispatcher-id": self.name, **fields}})

    def call_out(self, call_out: CallOut, time_out: int) -> None:
        within = words.micros(time_out)
        self.act("Relay", **{"msg-id": call_out.rpc.tag, "runner": call_out.srv.name, "within": within})

    def deny(self, rpc: RpcFacts, come_back: int) -> None:
        self.act("Reject", **{"msg-id": rpc.tag, "not-before-for": come_back * words.UNIT})

    def abort(self, rpc: RpcFacts) -> None:
        self.act("DropRequest", **{"msg-id": rpc.tag})

    def cancel(self, call_out: CallOut) -> None:
        rpc = call_out.rpc
        self.act("Abandon", **{"msg-id": rpc.tag, "round-no": rpc.call_outs.index(call_out)})

    def order(self, srv: SrvFacts, fn: FnFacts, count: int) -> None:
        self.act("Preload", runner=srv.name, image=fn.name, number=count)

    def unload(self, srv: SrvFacts, fn: FnFacts) -> None:
        self.act("TakeDown", runner=srv.name, image=fn.name)

    def probe(self, srv: SrvFacts) -> None:
        self.act("Sample", runner=srv.name)

    def tell_peer(self, peer: int | None, text: str) -> None:
        self.act("MemoTo", dst="*" if peer is None else peer, raw=text)

    def wake_me(self, delay: int, token: object) -> None:
        self.act("NotifyMe", **{"span": words.micros(delay), "key-back": self.registry.keep_token(token)})

    def follow_list(self) -> None:
        self.act("Listen", enable=True)

    def more(self, fn: FnFacts) -> None: ...  # the list names every runner

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
            return self.module.list_failed()
        rows = [(self.registry.srv(r["runner"]), entry(r)) for r in fields.get("records") or []]
        self.module.listed(rows, whole=kind != "delta")

    def demand(self, fields: Fields) -> None:
        name, method = fields.get("image") or "", fields.get("class") or 0
        memory, lanes = fields.get("ram-mb") or 0.0, int(fields.get("width") or 1)
        load = None if fields.get("bringup-ms") is None else words.span(int(1000 * fields["bringup-ms"]))
        rpc = Rpc(
            tag=fields["msg-id"],
            fn=self.registry.fn(name, method, memory, lanes, load),
            method=method,
            customer=fields.get("user-group") or 0,
            deadline=words.span(fields["not-after"]),
            work=None if fields.get("work") is None else max(1, words.span(fields["work"])),
            repeat=bool(fields.get("resent")),
        )
        self.rpcs[rpc.tag] = rpc
        self.module.arrived(rpc)
        self.forget(rpc)

    def under_way(self, fields: Fields) -> None:
        rpc = self.rpcs.get(fields["msg-id"])
        if rpc is not None:
            self.module.begun(rpc.call_outs[fields["round-no"]])

    def done(self, fields: Fields) -> None:
        rpc = self.rpcs.get(fields["msg-id"])
        if rpc is None:
            return
        detail = fields.get("detail") or 0
        answer = Answer(
            took=words.span(fields.get("took") or 0),
            over=bool(fields.get("no-more")),
            warmth=words.WARMTH[detail % 8] if detail % 8 < len(words.WARMTH) else words.WARMTH[0],
            company=detail // 8 if self.says_company else None,
            report=self.report(fields.get("telemetry")),
        )
        self.module.ended(rpc.call_outs[fields["round-no"]], words.OUTCOMES[fields["reason"]], answer)
        self.forget(rpc)

    def vanished(self, fields: Fields) -> None:
        rpc = self.rpcs.get(fields["msg-id"])
        if rpc is not None:
            self.module.left(rpc)
            self.forget(rpc)

    def forget(self, rpc: Rpc) -> None:
        if rpc.over and all(c.outcome is not None for c in rpc.call_outs):
            self.rpcs.pop(rpc.tag, None)

    def fired(self, fields: Fields) -> None:
        token = self.registry.take_token(fields.get("key-back") or 0)
        if token is not None:
            self.module.woken(token)

    def loaded(self, fields: Fields) -> None:
        srv, fn = self.registry.srvs.get(fields["runner"]), self.registry.fns.get(fields["image"])
        if srv is not None and fn is not None:
            outcome, took = words.OUTCOMES[fields["reason"]], words.span(fields.get("took") or 0)
            self.module.ordered(srv, fn, outcome, fields.get("number") or 0, took)

    def probe_result(self, fields: Fields) -> None:
        srv = self.registry.srvs.get(fields["runner"])
        if srv is not None:
            outcome, took = words.OUTCOMES[fields["reason"]], words.span(fields.get("took") or 0)
            self.module.probed(srv, outcome, took, self.report(fields.get("telemetry")))

    def datagram(self, fields: Fields) -> None:
        self.module.told(fields.get("src-peer") or 0, fields.get("raw") or "")


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


def entry(record: Fields) -> SrvFacts:
    """One line of the list."""
    booted, size = record.get("boot-time"), record.get("size")
    return SrvFacts(
        name=record["runner"],
        zone=record.get("area") or 0,
        cell=record.get("cohort") or 0,
        kind=record.get("type") or 0,
        size=1.0 if size is None else size,
        listing=words.LISTINGS.get(record.get("availability") or "SERVING", Listing.SERVING),
        booted=words.moment(booted) if booted else None,
    )


class Links:
    """All dispatchers that this process hosts."""

    def __init__(self) -> None:
        self.links: dict[str, Link] = {}

    def answer(self, line: bytes) -> bytes:
        try:
            batch = orjson.loads(line)
            now, number = words.moment(batch["clock"]), batch["batch"]
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

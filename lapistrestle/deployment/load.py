"""Reads a deployment file and says what is wrong: file, line, path, what stands there, what would do."""

import difflib
import re
import typing
from collections.abc import Callable
from pathlib import Path
from typing import Any, TypeVar

import json5
import msgspec

from lapistrestle.deployment.schema import Deployment, Directory, Duration, HolderDeployment
from lapistrestle.policy.settings import CustomerSettings, MethodKind, MethodSettings, Settings

T = TypeVar("T")
STEP = re.compile(r"\.([^.\[\]]+)|\[(\d+|\.\.\.)\]")
Path_ = tuple[str | int, ...]
WORDS = {
    "`float`": "a number", "`int`": "a whole number", "`bool`": "true or false", "`str`": "text",
    "`object`": "a group { … }", "`array`": "a list [ … ]", "`null`": "nothing", "int | float": "a number",
}  # fmt: skip


class DeploymentError(Exception):
    """A file that can't be taken; the text is meant for the person who wrote it."""


def read_json5(path: Path) -> tuple[Any, str]:
    """The file's value and its text. Raises DeploymentError where it can't be read."""
    try:
        text = path.read_text()
    except (OSError, UnicodeDecodeError) as trouble:
        raise DeploymentError(f"{path}: can't be read: {trouble}") from None
    try:
        return json5.loads(text, allow_duplicate_keys=False), text
    except (ValueError, RecursionError) as trouble:
        raise DeploymentError(f"{path}: is no JSON5: {trouble}") from None


def convert_value(value: Any, shape: type[T], text: str = "", source: str = "") -> T:
    """The value as `shape`. Raises DeploymentError at the first place that does not fit."""
    try:
        return msgspec.convert(value, shape, dec_hook=_hook)
    except msgspec.ValidationError as trouble:
        raise DeploymentError(explain(str(trouble), value, shape, text, source)) from None


def _hook(wanted: Any, value: Any) -> Any:
    if wanted is Duration:
        return Duration.parse(value)
    raise TypeError(f"no way to read {wanted}")


def explain(trouble: str, value: Any, shape: Any, text: str, source: str) -> str:
    what, _, where = trouble.partition(" - at `$")
    steps = (int(m[2]) if (m[2] or "").isdigit() else m[1] or "..." for m in STEP.finditer(where[:-1]))
    path = _resolve(tuple(steps), value, shape)
    found, at = value, shape
    for step in path:
        at = _inner(at, step)
        try:
            found = found[step]
        except (LookupError, TypeError):
            found = None
    unknown = re.search(r"unknown field `(.+?)`", what)
    missing = re.search(r"missing required field `(.+?)`", what)
    if unknown:
        known = list(getattr(at, "__struct_encode_fields__", ()))
        near = difflib.get_close_matches(unknown[1], known, 1, 0.5)
        hint = f"did you mean {near[0]}?" if near else f"known here: {', '.join(known)}"
        path, says = (*path, unknown[1]), f"no such name; {hint}"
    elif missing:
        says = f"{missing[1]} is missing"
    else:
        for word, plain in WORDS.items():
            what = what.replace(word, plain)
        what = re.sub(r", got .*", "", what).replace("Expected ", "expected ")
        if choices := typing.get_args(at) if typing.get_origin(at) is typing.Literal else ():
            what = "expected " + " or ".join(repr(c) for c in choices)
        says = f"is {_short(found)}; {what}"
    return f"{source}{_line(path, text)}: {_shown(path)}: {says}"


def _resolve(path: Path_, value: Any, shape: Any) -> Path_:
    """Names the entry of a map that msgspec calls `...`: the first that does not fit."""
    for i, step in enumerate(path):
        if step != "...":
            continue
        found, at = value, shape
        for before in path[:i]:
            found, at = found[before], _inner(at, before)
        inner = _inner(at, "...")
        for name, entry in found.items():
            try:
                msgspec.convert(entry, inner, dec_hook=_hook)
            except msgspec.ValidationError:
                return _resolve((*path[:i], name, *path[i + 1 :]), value, shape)
    return path


def _inner(at: Any, step: str | int) -> Any:
    if typing.get_origin(at) is typing.Annotated:
        at = typing.get_args(at)[0]
    if hasattr(at, "__struct_fields__"):
        return typing.get_type_hints(at, include_extras=True).get(str(step))
    args = typing.get_args(at)
    return args[-1] if args else None


def _short(value: Any) -> str:
    text = json5.dumps(value) if not isinstance(value, str) else f'"{value}"'
    return text if len(text) <= 60 else text[:57] + "..."


def _shown(path: Path_) -> str:
    return ".".join(str(step) for step in path) or "the file"


def _line(path: Path_, text: str) -> str:
    """`:LINE` of the last name of the path that is found in the text, each searched after the one before."""
    at = -1
    for step in path:
        if isinstance(step, str):
            found = re.search(rf"""(?<![\w-])["']?{re.escape(step)}["']?\s*:""", text[at + 1 :])
            at = at + 1 + found.start() if found else at
    return f":{text.count(chr(10), 0, at) + 1}" if text and at >= 0 else ""


Complain = Callable[..., DeploymentError]  # says what is wrong, and at which steps of the path
SHORTEST_SILENCE = Duration(1_000)  # tenths of a millisecond; shorter ones would take a pause for a death


def load_deployment(path: Path) -> Deployment:
    """A checked deployment. Raises DeploymentError."""
    value, text = read_json5(path)
    made = convert_value(value, Deployment, text, str(path))
    validate_deployment(made, text, str(path))
    return made


def load_holder(path: Path) -> HolderDeployment:
    """The checked settings of a directory's holder. Raises DeploymentError."""
    value, text = read_json5(path)
    made = convert_value(value, HolderDeployment, text, str(path))
    validate_holder(made, text, str(path))
    return made


def validate_holder(made: HolderDeployment, text: str = "", source: str = "") -> None:
    """What can't be seen in one value of a holder's settings alone. Raises DeploymentError."""
    wrong = complaints(text, source)
    shards = made.directory.shards
    if not shards:
        raise wrong("is empty; a holder needs at least one shard", "directory", "shards")
    check_directory(made.directory, wrong)
    for place, shard in enumerate(made.serve.shards):
        if shard >= len(shards):
            raise wrong(f"is {shard}; expected 0 to {len(shards) - 1}", "serve", "shards", place)
    if len(set(made.serve.shards)) < len(made.serve.shards):
        raise wrong("names a shard twice", "serve", "shards")
    if made.serve.oldest_epoch > made.directory.epoch:
        raise wrong("is above directory.epoch", "serve", "oldest_epoch")
    if made.roster.mode == "asked":
        raise wrong('is "asked"; a holder needs each change at once', "roster", "mode")


def check_directory(made: Directory, wrong: Complain) -> None:
    """What can't be seen in one value of the directory's group alone. Raises DeploymentError."""
    for number, copies in enumerate(made.shards):
        here = ("directory", "shards", number)
        if not copies:
            raise wrong("is empty; a shard needs at least one copy", *here)
        for place, copy in enumerate(copies):
            if not copy.port:
                raise wrong("is 0; dispatchers need the port of each copy", *here, place, "port")
            if (copy.host, copy.port) in {(other.host, other.port) for other in copies[:place]}:
                raise wrong("stands there before; a shard's copies are different holders", *here, place)
    if made.silence < SHORTEST_SILENCE:
        raise wrong("is under 100 ms; a pause would count as a death", "directory", "silence")
    if made.lease <= made.silence:
        raise wrong("is not above the silence; a lease outlives a change of copy", "directory", "lease")
    if made.lookup_time_out <= 0:
        raise wrong("is 0; expected a duration above 0", "directory", "lookup_time_out")
    if made.idle < made.lease:
        raise wrong("is under the lease", "directory", "idle")


def complaints(text: str, source: str) -> Complain:
    """How to say what is wrong in the file `source` that reads `text`."""

    def wrong(says: str, *path: str | int) -> DeploymentError:
        return DeploymentError(f"{source}{_line(path, text)}: {_shown(path)}: {says}")

    return wrong


def validate_deployment(made: Deployment, text: str = "", source: str = "") -> None:
    """What can't be seen in one value alone. Raises DeploymentError."""
    wrong = complaints(text, source)
    if not made.methods:
        raise wrong("is empty; expected at least one method", "methods")
    for name, method in made.methods.items():
        if method.deadline <= 0:
            raise wrong("is 0; expected a duration above 0", "methods", name, "deadline")
        if method.soft_deadline > method.deadline:
            raise wrong("is past the deadline", "methods", name, "soft_deadline")
        if method.effect == "tokened" and not method.repeats_remembered:
            raise wrong("is missing; tokened methods need it", "methods", name, "repeats_remembered")
    place, workers, orders = made.dispatcher, made.workers, made.orders
    if place.number >= place.of:
        raise wrong(f"is {place.number}; expected 0 to {place.of - 1}", "dispatcher", "number")
    if place.zone and place.zone not in made.zones:
        raise wrong(f'is "{place.zone}"; expected one of {made.zones}', "dispatcher", "zone")
    if (workers.cold_share < 1) != bool(workers.ramp):
        raise wrong("cold_share below 1 and a ramp go together", "workers", "ramp")
    if workers.ramp and not workers.fall_time:
        raise wrong("is missing; a ramp needs it", "workers", "fall_time")
    if workers.absent == "miss" and not orders.allowed:
        raise wrong('is false; where workers answer "miss" only orders load', "orders", "allowed")
    if made.fleet.name and not made.fleet.port:
        raise wrong("is missing; an edge of a fleet needs one", "fleet", "port")
    if made.fleet.loads < 0 or 0 < made.fleet.loads < made.dispatcher.of:
        raise wrong("is under one for each dispatcher; some could never load", "fleet", "loads")
    if made.fleet.name and min(made.fleet.period, made.fleet.tell) < 1_000:
        raise wrong("is under 100 ms; a member would do nothing else", "fleet", "period")
    if made.directory.shards:
        check_directory(made.directory, wrong)
        if made.roster.mode == "asked":
            raise wrong('is "asked"; a dispatcher with a directory follows no roster', "roster", "mode")
    if orders.window and not orders.free and not orders.share:
        raise wrong("allows no order at all; expected free or share above 0", "orders", "window")


def to_settings(made: Deployment) -> Settings:
    """The module's settings; `deployment.translation` makes the same from the platform's."""
    workers, orders, allowed, roster = made.workers, made.orders, made.allowed, made.roster
    return Settings(
        instance_index=made.dispatcher.number,
        zone=made.zones.index(made.dispatcher.zone) if made.dispatcher.zone else 0,
        dispatcher_count=made.dispatcher.of,
        methods=tuple(
            MethodSettings(
                kind=MethodKind(m.effect),
                dedup_scope=m.repeats_dropped_by,
                dedup_window=int(m.repeats_remembered),
                soft_deadline=int(m.soft_deadline or m.deadline),
                soft_stretch=m.soft_stretch,
                deadline=int(m.deadline),
                gain=m.gain,
                late_gain=m.late_gain,
                streamed=m.streamed,
            )
            for m in made.methods.values()
        ),
        customers=tuple(CustomerSettings(c.quota, c.share) for c in made.customers.values()),
        over_share_gain=made.counting.over_share_gain,
        gain_by_work=made.counting.by == "work",
        size_is_live=workers.size_means == "live",
        endpoints_polled=roster.mode == "asked",
        poll_within=int(roster.ask_within),
        report_inline=workers.reports == "inline",
        report_probed=workers.reports in ("inline", "on_probe"),
        may_cancel=allowed.cancel,
        may_health_check=allowed.probe,
        may_parallel=allowed.parallel,
        may_gossip=allowed.peers,
        may_preload=orders.allowed,
        may_retry_after=allowed.retry_after > 0,
        max_retry_after=int(allowed.retry_after),
        attempt_limit=allowed.tries,
        connect_timeout=int(allowed.dial),
        answer_slack=int(allowed.answer_slack),
        drain_grace=int(workers.drain_grace),
        slow_start_share=workers.cold_share,
        slow_start_duration=int(workers.ramp),
        overload_window=int(workers.fall_time),
        overload_factor=workers.fall_multiple,
        reports_not_loaded=workers.absent == "miss",
        preload_window=int(orders.window),
        preload_delay=0,  # the transport says how long it may let an order wait
        preload_free=orders.free,
        preload_share=orders.share,
        preload_timeout=int(orders.time_out),
        idle_timeout=int(workers.idle_life),
        idle_memory_price=workers.idle_memory_price,
        memory_by_kind=tuple(workers.memory_by_kind.values()),
        reports_warmth=workers.tells_warm,
        reports_concurrency=workers.tells_company,
        goal=dict(made.counting.goal),
        prices=dict(made.counting.prices),
    )

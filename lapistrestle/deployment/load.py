"""Reads and validates deployment files.

Error messages name the file, the line, the path of the setting, its value and what was expected.
"""

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
PATH_STEP = re.compile(r"\.([^.\[\]]+)|\[(\d+|\.\.\.)\]")
SettingPath = tuple[str | int, ...]
TYPE_DESCRIPTIONS = {
    "`float`": "a number", "`int`": "a whole number", "`bool`": "true or false", "`str`": "text",
    "`object`": "a group { … }", "`array`": "a list [ … ]", "`null`": "nothing", "int | float": "a number",
}  # fmt: skip


class DeploymentError(Exception):
    """A file is invalid; the message is written for the person who edits it."""


def read_json5(path: Path) -> tuple[Any, str]:
    """Return the file's value and its text. Raises DeploymentError if it can't be read or is not JSON5."""
    try:
        text = path.read_text()
    except (OSError, UnicodeDecodeError) as error:
        raise DeploymentError(f"{path}: can't be read: {error}") from None
    try:
        return json5.loads(text, allow_duplicate_keys=False), text
    except (ValueError, RecursionError) as error:
        raise DeploymentError(f"{path}: is no JSON5: {error}") from None


def convert_value(value: Any, shape: type[T], text: str = "", source: str = "") -> T:
    """Convert a plain value to the type `shape`. Raises DeploymentError for the first invalid setting.

    `text` is the text of the file `source`, in which the error's line is found.
    """
    try:
        return msgspec.convert(value, shape, dec_hook=_decode_duration)
    except msgspec.ValidationError as error:
        raise DeploymentError(describe_validation_error(str(error), value, shape, text, source)) from None


def _decode_duration(kind: Any, value: Any) -> Any:
    if kind is Duration:
        return Duration.parse(value)
    raise TypeError(f"no decoder for {kind}")


def describe_validation_error(error: str, value: Any, shape: Any, text: str, source: str) -> str:
    """Turn a message of msgspec into one with the line, the path and the value that was found."""
    what, _, where = error.partition(" - at `$")
    steps = (int(m[2]) if (m[2] or "").isdigit() else m[1] or "..." for m in PATH_STEP.finditer(where[:-1]))
    path = _resolve_map_keys(tuple(steps), value, shape)
    found, at = value, shape
    for step in path:
        at = _type_at(at, step)
        try:
            found = found[step]
        except (LookupError, TypeError):
            found = None
    unknown = re.search(r"unknown field `(.+?)`", what)
    missing = re.search(r"missing required field `(.+?)`", what)
    if unknown:
        known = list(getattr(at, "__struct_encode_fields__", ()))
        similar = difflib.get_close_matches(unknown[1], known, 1, 0.5)
        hint = f"did you mean {similar[0]}?" if similar else f"known here: {', '.join(known)}"
        path, message = (*path, unknown[1]), f"no such name; {hint}"
    elif missing:
        message = f"{missing[1]} is missing"
    else:
        for type_name, description in TYPE_DESCRIPTIONS.items():
            what = what.replace(type_name, description)
        what = re.sub(r", got .*", "", what).replace("Expected ", "expected ")
        if choices := typing.get_args(at) if typing.get_origin(at) is typing.Literal else ():
            what = "expected " + " or ".join(repr(c) for c in choices)
        message = f"is {_shortened(found)}; {what}"
    return f"{source}{_line_suffix(path, text)}: {_dotted(path)}: {message}"


def _resolve_map_keys(path: SettingPath, value: Any, shape: Any) -> SettingPath:
    """Replace each `...`, which msgspec reports for a map's key, by the key of the first invalid entry."""
    for i, step in enumerate(path):
        if step != "...":
            continue
        found, at = value, shape
        for before in path[:i]:
            found, at = found[before], _type_at(at, before)
        inner = _type_at(at, "...")
        for name, entry in found.items():
            try:
                msgspec.convert(entry, inner, dec_hook=_decode_duration)
            except msgspec.ValidationError:
                return _resolve_map_keys((*path[:i], name, *path[i + 1 :]), value, shape)
    return path


def _type_at(at: Any, step: str | int) -> Any:
    """Return the type of a field, map value or list element of the type `at`; None if unknown."""
    if typing.get_origin(at) is typing.Annotated:
        at = typing.get_args(at)[0]
    if hasattr(at, "__struct_fields__"):
        return typing.get_type_hints(at, include_extras=True).get(str(step))
    args = typing.get_args(at)
    return args[-1] if args else None


def _shortened(value: Any) -> str:
    text = json5.dumps(value) if not isinstance(value, str) else f'"{value}"'
    return text if len(text) <= 60 else text[:57] + "..."


def _dotted(path: SettingPath) -> str:
    return ".".join(str(step) for step in path) or "the file"


def _line_suffix(path: SettingPath, text: str) -> str:
    """Return `:LINE` of the path's last key found in the text, searching each key after the previous one."""
    at = -1
    for step in path:
        if isinstance(step, str):
            found = re.search(rf"""(?<![\w-])["']?{re.escape(step)}["']?\s*:""", text[at + 1 :])
            at = at + 1 + found.start() if found else at
    return f":{text.count(chr(10), 0, at) + 1}" if text and at >= 0 else ""


ErrorFactory = Callable[..., DeploymentError]  # takes a message and the steps of the setting's path
MIN_SILENCE = Duration(1_000)  # ticks of 0.1 ms; a shorter timeout would take a short pause for a crash


def load_deployment(path: Path) -> Deployment:
    """Read and validate a deployment file. Raises DeploymentError."""
    value, text = read_json5(path)
    deployment = convert_value(value, Deployment, text, str(path))
    validate_deployment(deployment, text, str(path))
    return deployment


def load_holder(path: Path) -> HolderDeployment:
    """Read and validate the settings file of a directory holder. Raises DeploymentError."""
    value, text = read_json5(path)
    holder = convert_value(value, HolderDeployment, text, str(path))
    validate_holder(holder, text, str(path))
    return holder


def validate_holder(holder: HolderDeployment, text: str = "", source: str = "") -> None:
    """Check the constraints between a holder's settings. Raises DeploymentError."""
    error = error_factory(text, source)
    shards = holder.directory.shards
    if not shards:
        raise error("is empty; a holder needs at least one shard", "directory", "shards")
    validate_directory(holder.directory, error)
    for position, shard in enumerate(holder.serve.shards):
        if shard >= len(shards):
            raise error(f"is {shard}; expected 0 to {len(shards) - 1}", "serve", "shards", position)
    if len(set(holder.serve.shards)) < len(holder.serve.shards):
        raise error("names a shard twice", "serve", "shards")
    if holder.serve.oldest_epoch > holder.directory.epoch:
        raise error("is above directory.epoch", "serve", "oldest_epoch")
    if holder.roster.mode == "asked":
        raise error('is "asked"; a holder needs each change at once', "roster", "mode")


def validate_directory(directory: Directory, error: ErrorFactory) -> None:
    """Check the constraints between the settings of the directory. Raises DeploymentError."""
    for number, replicas in enumerate(directory.shards):
        shard_path = ("directory", "shards", number)
        if not replicas:
            raise error("is empty; a shard needs at least one copy", *shard_path)
        for position, replica in enumerate(replicas):
            if not replica.port:
                raise error("is 0; dispatchers need the port of each copy", *shard_path, position, "port")
            if (replica.host, replica.port) in {(other.host, other.port) for other in replicas[:position]}:
                raise error(
                    "is listed twice; the copies of a shard must be different holders", *shard_path, position
                )
    if directory.silence < MIN_SILENCE:
        raise error("is under 100 ms; a short pause would be taken for a crash", "directory", "silence")
    if directory.lease <= directory.silence:
        raise error(
            "is not above the silence; a lease must outlast a failover to the next copy", "directory", "lease"
        )
    if directory.lookup_time_out <= 0:
        raise error("is 0; expected a duration above 0", "directory", "lookup_time_out")
    if directory.idle < directory.lease:
        raise error("is under the lease", "directory", "idle")


def error_factory(text: str, source: str) -> ErrorFactory:
    """Return a function that makes errors for the file `source` with this text."""

    def error(message: str, *path: str | int) -> DeploymentError:
        return DeploymentError(f"{source}{_line_suffix(path, text)}: {_dotted(path)}: {message}")

    return error


def validate_deployment(deployment: Deployment, text: str = "", source: str = "") -> None:
    """Check the constraints between the settings of a deployment. Raises DeploymentError."""
    error = error_factory(text, source)
    if not deployment.methods:
        raise error("is empty; expected at least one method", "methods")
    for name, method in deployment.methods.items():
        if method.deadline <= 0:
            raise error("is 0; expected a duration above 0", "methods", name, "deadline")
        if method.soft_deadline > method.deadline:
            raise error("is past the deadline", "methods", name, "soft_deadline")
        if method.effect == "tokened" and not method.repeats_remembered:
            raise error("is missing; tokened methods need it", "methods", name, "repeats_remembered")
    dispatcher, workers, orders = deployment.dispatcher, deployment.workers, deployment.orders
    if dispatcher.number >= dispatcher.of:
        raise error(f"is {dispatcher.number}; expected 0 to {dispatcher.of - 1}", "dispatcher", "number")
    if dispatcher.zone and dispatcher.zone not in deployment.zones:
        raise error(f'is "{dispatcher.zone}"; expected one of {deployment.zones}', "dispatcher", "zone")
    if (workers.cold_share < 1) != bool(workers.ramp):
        raise error("cold_share below 1 and a ramp go together", "workers", "ramp")
    if workers.ramp and not workers.fall_time:
        raise error("is missing; a ramp needs it", "workers", "fall_time")
    if workers.absent == "miss" and not orders.allowed:
        raise error(
            'is false; where workers answer "miss", functions are loaded by orders only', "orders", "allowed"
        )
    if deployment.fleet.name and not deployment.fleet.port:
        raise error("is missing; an edge of a fleet needs one", "fleet", "port")
    if deployment.fleet.loads < 0 or 0 < deployment.fleet.loads < deployment.dispatcher.of:
        raise error("is under one for each dispatcher; some of them could never load", "fleet", "loads")
    if deployment.fleet.name and min(deployment.fleet.period, deployment.fleet.tell) < 1_000:
        raise error("is under 100 ms; probes and gossip would overload the member", "fleet", "period")
    if deployment.directory.shards:
        validate_directory(deployment.directory, error)
        if deployment.roster.mode == "asked":
            raise error('is "asked"; a dispatcher with a directory follows no roster', "roster", "mode")
    if orders.window and not orders.free and not orders.share:
        raise error("allows no order at all; expected free or share above 0", "orders", "window")


def to_settings(deployment: Deployment) -> Settings:
    """Return the settings of the decision module; `deployment.translation` makes them from the platform's."""
    workers, orders, allowed, roster = (
        deployment.workers,
        deployment.orders,
        deployment.allowed,
        deployment.roster,
    )
    return Settings(
        instance_index=deployment.dispatcher.number,
        zone=deployment.zones.index(deployment.dispatcher.zone) if deployment.dispatcher.zone else 0,
        dispatcher_count=deployment.dispatcher.of,
        methods=tuple(
            MethodSettings(
                kind=MethodKind(method.effect),
                dedup_scope=method.repeats_dropped_by,
                dedup_window=int(method.repeats_remembered),
                soft_deadline=int(method.soft_deadline or method.deadline),
                soft_stretch=method.soft_stretch,
                deadline=int(method.deadline),
                gain=method.gain,
                late_gain=method.late_gain,
                streamed=method.streamed,
            )
            for method in deployment.methods.values()
        ),
        customers=tuple(
            CustomerSettings(customer.quota, customer.share) for customer in deployment.customers.values()
        ),
        over_share_gain=deployment.counting.over_share_gain,
        gain_by_work=deployment.counting.by == "work",
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
        preload_delay=0,  # the transport decides how long a preload may wait
        memory_limit=0,  # set by the program that has one
        preload_free=orders.free,
        preload_share=orders.share,
        preload_timeout=int(orders.time_out),
        idle_timeout=int(workers.idle_life),
        idle_memory_price=workers.idle_memory_price,
        memory_by_kind=tuple(workers.memory_by_kind.values()),
        reports_warmth=workers.tells_warm,
        reports_concurrency=workers.tells_company,
        goal=dict(deployment.counting.goal),
        prices=dict(deployment.counting.prices),
    )

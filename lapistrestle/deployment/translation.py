"""Translation of the platform's settings, codes and units, as used by its simulator and its sockets."""

from collections.abc import Mapping
from typing import Any

from lapistrestle.policy.settings import CustomerSettings, MethodKind, MethodSettings, Settings
from lapistrestle.policy.types import EndpointState, LoadState, Outcome
from lapistrestle.ticks import MICROSECONDS

Group = Mapping[str, Any]  # one group of the platform's settings, decoded from JSON


OUTCOMES = {
    "S": Outcome.OK,
    "E": Outcome.ERROR,
    "F": Outcome.REJECTED,
    "T": Outcome.TIMED_OUT,
    "C": Outcome.UNREACHABLE,
    "R": Outcome.RESET,
    "X": Outcome.CANCELLED,
    "N": Outcome.NOT_SENT,
    "M": Outcome.NOT_LOADED,
}
ENDPOINT_STATES = {
    "SERVING": EndpointState.SERVING,
    "DRAINING": EndpointState.DRAINING,
    "DELETED": EndpointState.REMOVED,
}
KINDS = {
    "idempotent": MethodKind.IDEMPOTENT,
    "deduplicated": MethodKind.DEDUPLICATED,
    "at_most_once": MethodKind.AT_MOST_ONCE,
}
LOAD_STATES = (
    LoadState.UNKNOWN,
    LoadState.LOADED,
    LoadState.STARTED_LOAD,
    LoadState.JOINED_LOAD,
    LoadState.LOAD_FAILED,
)
REPORT_FIGURES = {  # figures of a load report: their names on sockets, and in settings
    "inflight": "outstanding",
    "queue": "backlog",
    "util": "utilization",
    "latency_ms": "recent_ms",
    "qps": "throughput",
    "eps": "errors_per_s",
}


def to_ticks_ceil(micros: int) -> int:
    """Convert a clock reading; rounded up, so that the time left to a deadline is never overstated."""
    return -(-micros // MICROSECONDS)


def to_ticks_floor(micros: int) -> int:
    """Convert a deadline or duration; rounded down."""
    return micros // MICROSECONDS


def to_microseconds(ticks: int) -> int:
    """Convert ticks to microseconds for the wire; at least 1, as 0 means that there is no limit."""
    return max(1, ticks * MICROSECONDS)


def settings_group(settings: Group, key: str) -> Group:
    """Return a group of settings, empty if it is missing or null."""
    return settings.get(key) or {}


def number(group: Group, key: str, missing: float = 0) -> Any:
    """Return a setting, or `missing` if it is missing or null."""
    value = group.get(key)
    return missing if value is None else value


def method(profile: Group) -> MethodSettings:
    """Convert the settings of one method."""
    deadline = to_ticks_floor(number(profile, "deadline"))
    return MethodSettings(
        kind=KINDS.get(profile.get("idempotency") or "", MethodKind.AT_MOST_ONCE),
        dedup_scope=profile.get("dedup-scope") or "cell",
        dedup_window=to_ticks_floor(number(profile, "repeat-window")),
        soft_deadline=to_ticks_floor(number(profile, "aim")) or deadline,
        soft_stretch=number(profile, "aim-stretch", 0.0),
        deadline=deadline,
        gain=number(profile, "points", 1.0),
        late_gain=number(profile, "late-worth", 0.0),
        streamed=bool(profile.get("streamed")),
    )


def to_settings(settings: Group) -> Settings:
    """Convert the platform's settings to those of the decision module; unknown ones are ignored."""
    limits, rules, info = (
        settings_group(settings, "limits"),
        settings_group(settings, "rules"),
        settings_group(settings, "family-info"),
    )
    reporting, blend, prices = (settings_group(settings, k) for k in ("reporting", "blend", "prices"))
    return Settings(
        instance_index=number(settings, "me"),
        zone=number(settings, "az"),
        dispatcher_count=max(1, number(settings, "balancers", 1)),
        methods=tuple(method(p) for p in settings.get("profiles") or []),
        customers=tuple(
            CustomerSettings(quota=number(t, "quota-rps", 0.0), share=number(t, "share", 0.0))
            for t in settings.get("tenants") or []
        ),
        over_share_gain=number(settings, "over-share-worth", 1.0),
        gain_by_work=settings.get("value-by") == "work",
        size_is_live=settings.get("weights") == "live",
        endpoints_polled=settings.get("registry-mode") == "on_request",
        poll_within=to_ticks_floor(number(rules, "ask-within")),
        report_inline=reporting.get("how") == "inline",
        report_probed=reporting.get("how") in ("inline", "on_probe"),
        may_cancel=bool(limits.get("cancel")),
        may_health_check=bool(limits.get("may-probe")),
        may_parallel=bool(limits.get("parallel-tries")),
        may_gossip=bool(limits.get("peers")),
        may_preload=bool(info.get("placement-calls")),
        may_retry_after=bool(limits.get("retry-after")),
        max_retry_after=to_ticks_floor(number(limits, "max-retry-after")),
        attempt_limit=number(limits, "try-limit", 1),
        connect_timeout=to_ticks_floor(number(limits, "dial-timeout")),
        answer_slack=to_ticks_floor(number(rules, "answer-slack")),
        drain_grace=to_ticks_floor(number(rules, "drain-grace")),
        slow_start_share=number(rules, "cold-from", 1.0),
        slow_start_duration=to_ticks_floor(number(rules, "ramp-time")),
        overload_window=to_ticks_floor(number(rules, "fall")),
        overload_factor=number(rules, "fall-multiple", 1.0),
        reports_not_loaded=info.get("when-absent") == "miss",
        preload_window=to_ticks_floor(number(info, "load-period")),
        preload_delay=0,  # the transport decides how long a preload may wait
        memory_limit=0,  # set by the program that has one
        preload_free=number(info, "free-loads", 0.0),
        preload_share=number(info, "load-share", 0.0),
        preload_timeout=to_ticks_floor(number(info, "answer-within")),
        idle_timeout=to_ticks_floor(number(info, "idle-life")),
        idle_memory_price=number(info, "idle-memory-cost", 0.0),
        memory_by_kind=tuple(info.get("ram-mb-by-kind") or []),
        reports_warmth=bool(info.get("tells-warm")),
        reports_concurrency=bool(info.get("says-company")),
        goal={k.replace("-", "_"): v for k, v in blend.items()},
        prices={k.replace("-", "_"): v for k, v in prices.items()},
    )

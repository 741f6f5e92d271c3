"""The platform's settings, words and units in ours, and back: for the simulator and for sockets."""

from typing import Any

from lapistrestle.policy.interface import EndpointState, Facts, LoadState, Outcome

UNIT = 100  # microseconds in a tenth of a millisecond

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
LISTINGS = {
    "SERVING": EndpointState.SERVING,
    "DRAINING": EndpointState.DRAINING,
    "DELETED": EndpointState.REMOVED,
}
KINDS = {"idempotent": "idempotent", "deduplicated": "tokened", "at_most_once": "side-effecting"}
WARMTH = (
    LoadState.UNKNOWN,
    LoadState.LOADED,
    LoadState.BEGAN_LOAD,
    LoadState.JOINED_LOAD,
    LoadState.LOAD_FAILED,
)
SAID = {  # figures of a load report as sockets name them, and as settings do
    "inflight": "outstanding",
    "queue": "backlog",
    "util": "utilization",
    "latency_ms": "recent_ms",
    "qps": "throughput",
    "eps": "errors_per_s",
}


def moment(micros: int) -> int:
    """A clock reading, rounded up, so that what is left before a deadline is never overstated."""
    return -(-micros // UNIT)


def span(micros: int) -> int:
    """A deadline or length, rounded down."""
    return micros // UNIT


def micros(tenths: int) -> int:
    """A length for the wire; 0 would mean none, so the least is one microsecond."""
    return max(1, tenths * UNIT)


def part(whole: Facts, key: str) -> Facts:
    """A group of settings; one that is missing or null reads as empty."""
    return whole.get(key) or {}


def number(group: Facts, key: str, missing: float = 0) -> Any:
    """A setting; one that is missing or null has the stated meaning."""
    value = group.get(key)
    return missing if value is None else value


def method(profile: Facts) -> Facts:
    deadline = span(number(profile, "deadline"))
    return {
        "kind": KINDS.get(profile.get("idempotency") or "", "side-effecting"),
        "scope": profile.get("dedup-scope") or "cell",
        "repeat_window": span(number(profile, "repeat-window")),
        "soft_deadline": span(number(profile, "aim")) or deadline,
        "soft_stretch": number(profile, "aim-stretch", 0.0),
        "deadline": deadline,
        "gain": number(profile, "points", 1.0),
        "late_gain": number(profile, "late-worth", 0.0),
        "streamed": bool(profile.get("streamed")),
    }


def facts(settings: Facts) -> Facts:
    """The handed settings in our words, as a plain map; unknown ones pass over."""
    limits, rules, info = part(settings, "limits"), part(settings, "rules"), part(settings, "family-info")
    reporting, blend, prices = (part(settings, k) for k in ("reporting", "blend", "prices"))
    return {
        "me": number(settings, "me"),
        "zone": number(settings, "az"),
        "dispatchers": max(1, number(settings, "balancers", 1)),
        "methods": [method(p) for p in settings.get("profiles") or []],
        "customers": [
            {"quota": number(t, "quota-rps", 0.0), "share": number(t, "share", 0.0)}
            for t in settings.get("tenants") or []
        ],
        "over_share_gain": number(settings, "over-share-worth", 1.0),
        "gain_by_work": settings.get("value-by") == "work",
        "size_is_live": settings.get("weights") == "live",
        "list_asked": settings.get("registry-mode") == "on_request",
        "ask_within": span(number(rules, "ask-within")),
        "report_inline": reporting.get("how") == "inline",
        "report_probed": reporting.get("how") in ("inline", "on_probe"),
        "may_cancel": bool(limits.get("cancel")),
        "may_probe": bool(limits.get("may-probe")),
        "may_parallel": bool(limits.get("parallel-tries")),
        "may_tell_peers": bool(limits.get("peers")),
        "may_order": bool(info.get("placement-calls")),
        "may_come_back": bool(limits.get("retry-after")),
        "longest_come_back": span(number(limits, "max-retry-after")),
        "try_limit": number(limits, "try-limit", 1),
        "dial_time_out": span(number(limits, "dial-timeout")),
        "answer_slack": span(number(rules, "answer-slack")),
        "drain_grace": span(number(rules, "drain-grace")),
        "cold_share": number(rules, "cold-from", 1.0),
        "ramp_time": span(number(rules, "ramp-time")),
        "fall_time": span(number(rules, "fall")),
        "fall_multiple": number(rules, "fall-multiple", 1.0),
        "absent_misses": info.get("when-absent") == "miss",
        "order_window": span(number(info, "load-period")),
        "order_lag": 0,  # the transport says how long it may let an order wait
        "orders_free": number(info, "free-loads", 0.0),
        "orders_share": number(info, "load-share", 0.0),
        "order_time_out": span(number(info, "answer-within")),
        "idle_life": span(number(info, "idle-life")),
        "idle_memory_price": number(info, "idle-memory-cost", 0.0),
        "memory_by_kind": list(info.get("ram-mb-by-kind") or []),
        "tells_warm": bool(info.get("tells-warm")),
        "tells_company": bool(info.get("says-company")),
        "goal": {k.replace("-", "_"): v for k, v in blend.items()},
        "prices": {k.replace("-", "_"): v for k, v in prices.items()},
    }

"""Quality of service read from a tape: the gain of timely answers over the gain that clients asked for."""

from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any

from lapistrestle.checks.trace import ClientRequest, Trace

WINDOW = 10_000.0  # milliseconds


@dataclass
class Service:
    asked: float
    total: float
    worst_window: float
    worst_window_at: float
    worst_method: tuple[str, float]
    worst_customer: tuple[str, float]
    tries: float


def request_gain(trace: Trace, request: ClientRequest) -> float:
    """Gain of a client's request, counting its retries as part of it, from its first attempt on."""
    return answer_gain(
        trace.header["methods"][request.method], request.answered_at - request.at, request.work
    )


def answer_gain(method: Mapping[str, Any], latency: float, work: float) -> float:
    """Gain of an answer after `took` milliseconds for `work` milliseconds, by a method's figures in the
    header."""
    if latency <= min(method["deadline"], method["soft"] + method["stretch"] * work):
        return float(method["gain"])
    return float(method["gain"] * method["late_gain"]) if latency <= method["deadline"] else 0.0


def service_ratio(trace: Trace, requests: Iterable[ClientRequest]) -> float:
    chosen = list(requests)
    asked = sum(trace.header["methods"][r.method]["gain"] for r in chosen)
    return sum(request_gain(trace, r) for r in chosen) / asked if asked else 1.0


def measure_service(trace: Trace) -> Service:
    end = trace.traffic_started_at + trace.header["length"]
    requests = [r for r in trace.client_requests.values() if r.at <= end]
    windows: list[tuple[float, float]] = []
    begin = trace.traffic_started_at
    while not windows or begin + WINDOW <= end:
        windows.append((service_ratio(trace, (r for r in requests if begin <= r.at < begin + WINDOW)), begin))
        begin += 1000
    by_method, by_customer = defaultdict(list), defaultdict(list)
    for request in requests:
        by_method[request.method].append(request)
        by_customer[request.customer].append(request)
    methods = [(service_ratio(trace, rs), name) for name, rs in by_method.items()]
    customers = [(service_ratio(trace, rs), name) for name, rs in by_customer.items()]
    worst, at = min(windows)
    method, customer = min(methods, default=(1.0, "")), min(customers, default=(1.0, ""))
    calls = max(1, len(trace.calls))
    return Service(
        len(requests), service_ratio(trace, requests), worst, at / 1000, (method[1], method[0]),
        (customer[1], customer[0]), len(trace.attempts) / calls,
    )  # fmt: skip

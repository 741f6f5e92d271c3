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


def gain(story: Trace, wish: ClientRequest) -> float:
    """Gain of a client's request, counting its retries as part of it, from its first attempt on."""
    return worth(story.header["methods"][wish.method], wish.answered - wish.at, wish.work)


def worth(method: Mapping[str, Any], took: float, work: float) -> float:
    """Gain of an answer after `took` milliseconds for `work` milliseconds, by a method's figures in the
    header."""
    if took <= min(method["deadline"], method["soft"] + method["stretch"] * work):
        return float(method["gain"])
    return float(method["gain"] * method["late_gain"]) if took <= method["deadline"] else 0.0


def share(story: Trace, wishes: Iterable[ClientRequest]) -> float:
    chosen = list(wishes)
    asked = sum(story.header["methods"][w.method]["gain"] for w in chosen)
    return sum(gain(story, w) for w in chosen) / asked if asked else 1.0


def measure_service(story: Trace) -> Service:
    end = story.began + story.header["length"]
    wishes = [w for w in story.client_requests.values() if w.at <= end]
    windows: list[tuple[float, float]] = []
    begin = story.began
    while not windows or begin + WINDOW <= end:
        windows.append((share(story, (w for w in wishes if begin <= w.at < begin + WINDOW)), begin))
        begin += 1000
    by_method, by_customer = defaultdict(list), defaultdict(list)
    for wish in wishes:
        by_method[wish.method].append(wish)
        by_customer[wish.customer].append(wish)
    methods = [(share(story, ws), name) for name, ws in by_method.items()]
    customers = [(share(story, ws), name) for name, ws in by_customer.items()]
    worst, at = min(windows)
    method, customer = min(methods, default=(1.0, "")), min(customers, default=(1.0, ""))
    calls = max(1, len(story.calls))
    return Service(
        len(wishes), share(story, wishes), worst, at / 1000, (method[1], method[0]),
        (customer[1], customer[0]), len(story.attempts) / calls,
    )  # fmt: skip

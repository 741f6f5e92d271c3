"""What the tests share: settings, a host that writes down what it is asked, and a dispatcher on it."""

from typing import Any

from lapistrestle.deployment import translation
from lapistrestle.policy.dispatcher import Dispatcher
from lapistrestle.policy.interface import WorkerInfo
from lapistrestle.policy.state import Function, Request, Worker

SETTINGS: dict[str, Any] = {
    "balancers": 2,
    "profiles": [
        {"aim": 1000000, "deadline": 3000000, "idempotency": "idempotent"},
        {"aim": 1000000, "deadline": 3000000, "idempotency": "deduplicated", "dedup-scope": "cell",
         "repeat-window": 2000000},
        {"aim": 1000000, "deadline": 3000000, "idempotency": "at_most_once"},
    ],
    "limits": {"try-limit": 3},
    "rules": {"cold-from": 0.2, "ramp-time": 10000000, "fall": 2000000, "fall-multiple": 2.0},
    "family-info": {"placement-calls": True, "load-period": 5000000, "free-loads": 2, "load-share": 0.2,
                    "idle-life": 8000000, "when-absent": "miss"},
}  # fmt: skip


class Recorder:
    """A host that only writes down."""

    def __init__(self) -> None:
        self.acts: list[tuple[Any, ...]] = []

    def __getattr__(self, word: str) -> Any:
        return lambda *args: self.acts.append((word, *args))

    def of(self, word: str) -> list[tuple[Any, ...]]:
        return [act for act in self.acts if act[0] == word]


def dispatcher(workers: int = 3, **info: Any) -> Dispatcher:
    """A dispatcher that knows some warm workers, five seconds into its life."""
    settings = {**SETTINGS, "family-info": {**SETTINGS["family-info"], **info}}
    made = Dispatcher(Recorder(), translation.to_settings(settings), 7, 0)
    facts = [WorkerInfo(f"w{i}", cell=i // 2) for i in range(workers)]
    made.on_endpoints([(Worker(f.name), f) for f in facts], whole=True)
    made.now = 50_000
    return made


def request(made: Dispatcher, method: int = 0, name: str = "f") -> Request:
    return Request("r", Function(name, method, 100.0, 1), method, 0, made.now + 30_000)

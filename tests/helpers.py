"""Shared by tests: settings, a host that records commands, and a dispatcher on it."""

from dataclasses import replace
from typing import Any

from lapistrestle.deployment import translation
from lapistrestle.policy.dispatcher import Dispatcher
from lapistrestle.policy.entities import Function, Request, Worker
from lapistrestle.policy.settings import Settings
from lapistrestle.policy.types import State, WorkerInfo

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
    """A host that only records the commands of the module."""

    def __init__(self) -> None:
        self.calls: list[tuple[Any, ...]] = []

    def __getattr__(self, command: str) -> Any:
        return lambda *args: self.calls.append((command, *args))

    def of(self, command: str) -> list[tuple[Any, ...]]:
        return [call for call in self.calls if call[0] == command]


def dispatcher(workers: int = 3, **info: Any) -> Dispatcher:
    """Return a dispatcher that knows some warm workers, five seconds after its start."""
    settings = {**SETTINGS, "family-info": {**SETTINGS["family-info"], **info}}
    module = Dispatcher(Recorder(), translation.to_settings(settings), 7, 0)
    infos = [WorkerInfo(f"w{i}", cell=i // 2) for i in range(workers)]
    module.on_endpoints([(Worker(f.name), f) for f in infos], snapshot=True)
    module.now = 50_000
    return module


def request(module: Dispatcher, method: int = 0, name: str = "f") -> Request:
    return Request("r", Function(name, method, 100.0, 1), method, 0, module.now + 30_000)


def change_settings(module: Dispatcher, **changes: Any) -> None:
    """Change settings of a dispatcher, also in its components, which hold them too."""
    module.settings = replace(module.settings, **changes)
    for part in vars(module).values():
        if isinstance(getattr(part, "settings", None), Settings):
            part.settings = module.settings


def commands(module: Dispatcher, command: str) -> list[tuple[Any, ...]]:
    """Return the calls of a command that the dispatcher made, as (command, *arguments)."""
    host = module.host
    assert isinstance(host, Recorder)
    return host.of(command)


def last_command(module: Dispatcher) -> str:
    """Return the name of the last command of the dispatcher."""
    host = module.host
    assert isinstance(host, Recorder)
    return str(host.calls[-1][0])


def state(req: Request) -> State:
    """Return the state of a request; hides from mypy that it changes between two reads."""
    return req.state


def dispatcher_of_many(**info: Any) -> Dispatcher:
    """Return a dispatcher that is one of many and uses each worker rarely."""
    module = dispatcher(6, **info)
    module.now, module.throughput.time_constant_factor = 500_000, 3.0
    return module

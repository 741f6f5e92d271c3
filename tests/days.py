"""Days for the tests: small fleets in the shape of the three examples, run in virtual time."""

import io
from collections.abc import Callable
from pathlib import Path
from typing import Any

import json5
import msgspec

from lapistrestle.checks.rules import Violation, check_rules
from lapistrestle.checks.trace import Trace
from lapistrestle.edge.program import Edge
from lapistrestle.standins.play import EdgeMaker, play_virtual
from lapistrestle.standins.script import parse_day
from lapistrestle.standins.virtual import VirtualReactor
from lapistrestle.standins.world import World

EXAMPLES = Path(__file__).parent.parent / "examples"
DEFAULT_FAULT = {"at": "3 s", "lasts": "4 s"}


def day(like: str = "thumbs", troubles: Any = (), seed: int = 1, **more: Any) -> dict[str, Any]:
    """A script on the deployment of an example; `more` overrides its keys."""
    return {
        "name": "test",
        "deployment": f"{like}.json5",
        "length": "10 s",
        "seed": seed,
        "fleet": {
            "quick": {"count": 5, "cores": 4, "speed": 1.4, "memory": 8000},
            "plain": {"count": 4, "cores": 2, "speed": 0.9, "memory": 6000},
        },
        "store": {"fetches": 8, "limit": 40},
        "roster_lag": "1 s",
        "traffic": {"rate": 60, "functions": 20},
        "troubles": [DEFAULT_FAULT | t for t in troubles],
    } | more


def with_directory(script: dict[str, Any], **settings: Any) -> dict[str, Any]:
    """The same day with a directory of instances: two shards, each on two holders in different zones."""
    deployment: dict[str, Any] = json5.loads((EXAMPLES / script["deployment"]).read_text())
    zones = deployment.get("zones") or ["", ""]
    shards = [[{"port": 2 * n + 1, "zone": zones[0]}, {"port": 2 * n + 2, "zone": zones[-1]}] for n in (0, 1)]
    return script | {"deployment": deployment | {"directory": {"shards": shards} | settings}}


class Played:
    """A day that was run: its tape, what its edges logged, and the trace read from the tape."""

    def __init__(self, script: dict[str, Any], make: EdgeMaker = Edge) -> None:
        self.logs: list[tuple[str, dict[str, Any]]] = []
        script_day, self.deployment = parse_day(script, path=EXAMPLES / "day.json5")
        sink = io.BytesIO()
        self.world: World = play_virtual(
            script_day, self.deployment, sink, self.log, make, self.prepare, self.started
        )
        self.tape = sink.getvalue()
        decode: Callable[[bytes], dict[str, Any]] = msgspec.json.Decoder(dict[str, Any]).decode
        self.trace = Trace(decode(line) for line in self.tape.splitlines())

    def prepare(self, reactor: VirtualReactor) -> None:
        """Before anything is built."""

    def started(self, world: World) -> None:
        """Once the day has started."""

    def log(self, what: str, **figures: Any) -> None:
        self.logs.append((what, figures))

    def violations(self) -> list[Violation]:
        return [violation for rule in check_rules(self.trace) for violation in rule.violations]

    def logged(self, event: str) -> list[dict[str, Any]]:
        return [figures for logged_event, figures in self.logs if logged_event == event]

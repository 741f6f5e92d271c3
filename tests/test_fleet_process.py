"""Edges of one fleet as processes: killed, stalled, restarted, partitioned; and days with these faults."""

import json
import socket
import time
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import json5
import pytest
from click.testing import CliRunner
from days import EXAMPLES, Played, day
from test_real import command

from lapistrestle.checks.rules import check_rules
from lapistrestle.checks.trace import Trace
from lapistrestle.standins.child_processes import ChildProcess
from lapistrestle.standins.fleet import free_udp_ports
from lapistrestle.standins.tape import read_tape
from lapistrestle.wire.messages import CLIENT, VERSION


def deployment(**fleet: Any) -> dict[str, Any]:
    made = json5.loads((EXAMPLES / "slots.json5").read_text())
    return made | {"fleet": {"name": "harbour", "port": 1, **fleet}}


def fleet_day(faults: Any, **more: Any) -> dict[str, Any]:
    script = day("slots", faults, **more)
    script["deployment"] = deployment()
    return script


def show_fleet(port: int) -> Any:
    """What `lapistrestle fleet show --json` prints, without starting a process."""
    hello = {"is": "hello", "protocol": CLIENT, "version": VERSION}
    lines = "".join(json.dumps(message) + "\n" for message in (hello, {"is": "look", "what": "fleet"}))
    with socket.create_connection(("127.0.0.1", port), 10) as client:
        client.sendall(lines.encode())
        for line in client.makefile():
            if (message := json.loads(line))["is"] == "shown":
                return message["body"]
    return {"members": []}


class EdgeProcesses:
    """Edges as processes, each with its own gossip port."""

    def __init__(self, folder: Path, count: int) -> None:
        self.folder, self.ports = folder, free_udp_ports(count)
        self.children: dict[int, ChildProcess] = {}
        (folder / "w.json5").write_text("[]")
        self.roster = ChildProcess(folder, "roster", "roster", str(folder / "w.json5"))
        self.roster.start()
        self.roster.wait_port()
        for number in range(count):
            self.start(number)

    def start(self, number: int) -> None:
        times = {"period": "300 ms", "tell": "200 ms"}
        made = deployment(port=self.ports[number], seeds=self.ports[:2], loads=10, **times)
        place = {"name": f"edge-{number}", "number": number, "of": len(self.ports), "zone": "north"}
        made["dispatcher"] = place
        made["listen"] = {"port": 0}
        file = self.folder / f"edge-{number}.json5"
        file.write_text(json.dumps(made))
        port = str(self.roster.known_port)
        child = ChildProcess(self.folder, f"edge-{number}", "edge", str(file), "--roster-port", port)
        child.start()
        self.children[number] = child

    def show(self, number: int) -> Any:
        return show_fleet(self.children[number].wait_port())

    def view(self, number: int) -> dict[str, str]:
        return {m["name"]: m["is"] for m in self.show(number)["members"]}

    def until(self, holds: Callable[[], bool], seconds: float = 40.0) -> None:
        """Wait until the condition holds. Raises AssertionError after that many seconds."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if holds():
                return
            time.sleep(0.1)
        raise AssertionError([self.view(n) for n in self.children])

    def end(self) -> None:
        for child in [*self.children.values(), self.roster]:
            child.resume()
            child.kill()


@pytest.fixture
def edges(tmp_path: Path) -> Iterator[EdgeProcesses]:
    made = EdgeProcesses(tmp_path, 4)
    yield made
    made.end()


def is_present(view: dict[str, str], name: str) -> bool:
    return view.get(name) in ("alive", "suspect")


def test_edges_that_are_killed_stalled_and_restarted(edges: EdgeProcesses) -> None:
    names = {n: f"edge-{n}" for n in range(4)}
    edges.until(
        lambda: all(sum(is_present(edges.view(n), name) for name in names.values()) == 3 for n in names)
    )
    edges.children[3].kill()  # SIGKILL
    edges.children[2].stall()  # SIGSTOP
    dead = {"edge-2": "dead", "edge-3": "dead"}
    edges.until(lambda: all(edges.view(n).items() >= dead.items() for n in (0, 1)))
    result = command("fleet", "explain", "edge-3", "--port", edges.children[0].wait_port())
    assert result.returncode == 0 and "edge-3 is dead: it was silent" in result.stdout
    shown = command("fleet", "show", "--port", edges.children[0].wait_port())
    assert shown.returncode == 0 and "edge-0 is member of harbour" in shown.stdout
    assert "loads: 0 under way, 1 may be (cut 2, lent 0, borrowed 0)" in shown.stdout
    edges.children[2].resume()  # it learns that it was declared dead, and refutes that
    edges.until(lambda: all(edges.view(n).get("edge-2") == "alive" for n in (0, 1)))
    edges.start(3)  # the same name, another process
    edges.until(lambda: all(edges.view(n).get("edge-3") == "alive" for n in (0, 1, 2)))
    assert edges.show(3)["standing"] == "member" and edges.show(3)["size"] == 4
    assert edges.show(3)["loads"]["may"] == 1 and edges.show(3)["loads"]["cut"] == 3  # its part of ten
    assert edges.children[1].stop() == 0  # SIGTERM: it announces that it leaves
    edges.until(lambda: all(edges.view(n).get("edge-1") == "left" for n in (0, 2, 3)))
    lines = [line for child in edges.children.values() for line in child.log_lines()]
    assert not any("Traceback" in line for line in lines)


def test_of_two_processes_with_one_name_one_is_displaced(edges: EdgeProcesses) -> None:
    edges.until(lambda: len(edges.view(0)) == 3)
    old, edges.ports = edges.children[3], [*edges.ports[:3], *free_udp_ports(1)]
    edges.start(3)
    try:
        edges.until(lambda: edges.show(3)["standing"] == "member" and is_present(edges.view(0), "edge-3"))
        port = old.wait_port()

        def displaced() -> bool:
            shown = show_fleet(port)
            return shown["standing"] == "displaced" and shown["size"] == 0 == shown["loads"]["may"]

        edges.until(displaced)
    finally:
        old.kill()


def test_fleet_show_reports_an_edge_without_a_fleet(tmp_path: Path) -> None:
    made = json5.loads((EXAMPLES / "slots.json5").read_text())
    made["listen"] = {"port": 0}
    (tmp_path / "d.json5").write_text(json.dumps(made))
    (tmp_path / "w.json5").write_text("[]")
    roster, edge = ChildProcess(tmp_path, "r", "roster", str(tmp_path / "w.json5")), None
    try:
        roster.start()
        port = str(roster.wait_port())
        edge = ChildProcess(tmp_path, "e", "edge", str(tmp_path / "d.json5"), "--roster-port", port)
        edge.start()
        result = command("fleet", "show", "--port", edge.wait_port())
        assert result.returncode == 1 and "is in no fleet" in result.stderr
    finally:
        for child in (roster, edge):
            if child is not None:
                child.kill()


def test_invalid_fleet_settings_are_reported(tmp_path: Path) -> None:
    from lapistrestle.command.main import main

    file = tmp_path / "d.json5"
    file.write_text(json.dumps(deployment(port=0)))
    result = CliRunner().invoke(main, ["deployment", "check", str(file)])
    assert result.exit_code == 1 and "fleet.port: is missing" in result.output
    file.write_text(json.dumps(deployment(period="1 ms")))
    assert "under 100 ms" in CliRunner().invoke(main, ["deployment", "check", str(file)]).output


FAULTS = [
    {"kind": "edges_lossy", "at": "500 ms", "lasts": "5 s", "share": 0.2, "by": "50 ms"},
    {"kind": "edges_apart", "at": "1 s", "lasts": "2 s", "share": 0.5},
    {"kind": "edges_deaf", "at": "2 s", "lasts": "2 s", "share": 0.3},
    {"kind": "balancer_stall", "at": "2 s", "lasts": "800 ms", "share": 0.3},
    {"kind": "edge_kill", "at": "3 s", "lasts": "1 s", "share": 0.4},
    {"kind": "burst", "at": "1 s", "lasts": "3 s", "factor": 4},
]


def test_a_day_of_processes_with_faults_between_edges_keeps_the_rules(tmp_path: Path) -> None:
    script = fleet_day(FAULTS, length="6 s", edges=4, traffic={"rate": 30, "functions": 8})
    script["deployment"]["listen"] = {"port": 7100, "margin": "300 ms"}  # this machine may be busy
    script["deployment"]["fleet"]["loads"] = 40
    path, tape = tmp_path / "day.json5", tmp_path / "day.tape"
    path.write_text(json.dumps(script))
    result = command("day", "run", path, "--tape", tape)
    trace = Trace(read_tape(tape))
    violations = [b for rule in check_rules(trace) for b in rule.violations]
    assert result.returncode == 0 and violations == [], result.stdout + result.stderr
    assert sum(bool(c.answers) for c in trace.calls) > 100


@pytest.mark.parametrize("seed", [1, 2])
def test_the_same_faults_in_virtual_time_yield_the_same_tape_twice(seed: int) -> None:
    script = fleet_day(FAULTS, length="12 s", edges=8, seed=seed)
    first, second = Played(script), Played(script)
    assert first.violations() == [] and first.tape == second.tape
    assert [m for m in first.logs if m[0] == "fleet"] == [m for m in second.logs if m[0] == "fleet"]


def failed_attempts(fleet: bool) -> int:
    """Attempts that eight edges send within six seconds to runners that fail every call."""
    errors = [{"kind": "fast_errors", "at": "3 s", "lasts": "9 s", "share": 0.3}]
    script = fleet_day(errors, length="12 s", edges=8, seed=4, traffic={"rate": 160, "functions": 12})
    if not fleet:
        del script["deployment"]["fleet"]
    played = Played(script)
    assert played.violations() == []
    late = [run for run in played.trace.attempts if run.at > 6_000]
    return sum(any(outcome == "error" for _, _, outcome in run.results) for run in late)


def test_gossiped_verdicts_reduce_attempts_at_failing_runners() -> None:
    assert 0 < failed_attempts(fleet=True) < 0.6 * failed_attempts(fleet=False)


def test_the_fleet_recovers_from_a_burst_far_over_capacity() -> None:
    burst = [{"kind": "burst", "at": "8 s", "lasts": "10 s", "factor": 16}]
    played = Played(fleet_day(burst, length="36 s", edges=3, seed=3, traffic={"rate": 60, "functions": 20}))
    calls = [c for c in played.trace.calls if c.at > 28_000 and not c.message.is_retry]
    ok = sum(bool(c.answers) and c.answers[0][2].verdict == "ok" for c in calls)
    assert played.violations() == [] and ok > 0.95 * len(calls)
    assert any("figures together" in str(m["figures"]) for m in played.logged("fleet"))


ERRORS = {"kind": "fast_errors", "at": "4 s", "lasts": "6 s", "share": 0.5}


@pytest.mark.parametrize(("factor", "also"), [(12, []), (6, [ERRORS])])
def test_admission_recovers_at_once_after_a_burst(factor: int, also: list[dict[str, Any]]) -> None:
    """Guards against an admission level that stays at the burst's figures: it admitted 7 of 160 requests per
    second after the burst, throughput fell further, and errors of half the runners counted as lost capacity.
    """
    burst = {"kind": "burst", "at": "4 s", "lasts": "6 s", "factor": factor}
    script = fleet_day([burst, *also], length="14 s", edges=8, seed=5, traffic={"rate": 160, "functions": 12})
    played = Played(script)
    calls = [c for c in played.trace.calls if 10_000 < c.at < 14_000]
    ok = sum(bool(c.answers) and c.answers[0][2].verdict == "ok" for c in calls)
    assert played.violations() == [] and ok > 0.9 * sum(not c.message.is_retry for c in calls)


STALLED = {"kind": "balancer_stall", "at": "2 s", "lasts": "4 s"}
KILLED = {"kind": "edge_kill", "at": "3 s", "lasts": "400 ms"}


@pytest.mark.parametrize("second", [STALLED, KILLED])
def test_overlapping_stalls_and_a_kill_of_an_edge_are_recorded_correctly(
    second: dict[str, Any],
) -> None:
    """Guards against a tape that recorded a running edge as stalled, which broke the rule on preloads."""
    first = {"kind": "balancer_stall", "at": "1.5 s", "lasts": "3 s", "share": 1.0}
    script = fleet_day([first, second | {"share": 1.0}], length="12 s", edges=2, traffic={"rate": 200})
    played = Played(script)
    assert played.violations() == []
    events = [json.loads(line) for line in played.tape.splitlines()]
    edge_events = [event["is"] for event in events if event.get("on") == "edge-0"]
    states = [name for name in edge_events if name in ("stalled", "resumed")]
    assert states == ["stalled", "resumed"]

"""Files written by commit d027b98 are read with the same values; newer files are read or rejected whole."""

import json
import re
import shutil
import sqlite3
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec
import pytest
from click.testing import CliRunner
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport

from lapistrestle.command.experiments import read_experiment
from lapistrestle.command.main import main
from lapistrestle.planner.connection import PlannerConnectionFactory
from lapistrestle.planner.entries import decode_entry, encode_entry
from lapistrestle.planner.server import Planner
from lapistrestle.standins.tape import read_tape
from lapistrestle.store.journal import Journal
from lapistrestle.store.learned_state import read_learned_state as read_learned
from lapistrestle.store.learned_state import write_learned_state as write_learned
from lapistrestle.store.persisted_plan import PersistedPlanFile

# Only the imports above depend on names in the package; the comparisons use the stored names.

STORED = Path(__file__).parent / "data" / "stored"
EXPECTED = STORED / "expected.json"
PLAN, LEARNED, JOURNAL = STORED / "plan.json", STORED / "learnt.json", STORED / "journal.sqlite"
TAPE, RESULTS = STORED / "short-day.tape.jsonl", STORED / "experiment-results.jsonl"


def read_plan(path: Path) -> Any:
    return PersistedPlanFile(path).read()


def write_plan(path: Path, plan: Any) -> None:
    PersistedPlanFile(path).write(plan)


def command_line(*words: object) -> Any:
    """Return the output of a command with `--json`."""
    result = CliRunner().invoke(main, [str(word) for word in words])
    assert result.exit_code == 0, result.output
    return json.loads(result.output)


class Operator:
    """An operator's connection to a planner that has started from a copy of a journal."""

    def __init__(self, path: Path) -> None:
        self.journal = Journal(path)
        reactor: Any = Clock()
        self.planner = Planner(reactor, self.journal, lambda *_, **__: None)
        self.protocol, self.transport = self.connected({})

    def connected(self, greeting: dict[str, str]) -> tuple[Any, Any]:
        """Open a connection and send a greeting."""
        protocol: Any = PlannerConnectionFactory(self.planner).buildProtocol(None)
        transport: Any = StringTransport()  # type: ignore[no-untyped-call]
        protocol.makeConnection(transport)
        hello = {"is": "hello", "protocol": "lapistrestle.planner", "version": 1} | greeting
        protocol.dataReceived(json.dumps(hello).encode() + b"\n")
        return protocol, transport

    def ask(self, message: dict[str, Any]) -> Any:
        """Send a message and return the last line of the answer."""
        self.transport.clear()
        self.protocol.dataReceived(json.dumps(message).encode() + b"\n")
        return json.loads(self.transport.value().splitlines()[-1])

    def edge_plan(self) -> Any:
        """Return the first message to an edge that connects now."""
        _, transport = self.connected({"name": "e", "start": "s"})
        return json.loads(transport.value().splitlines()[-1])

    def close(self) -> None:
        self.journal.close()


def commands(entries: list[Any]) -> list[Any]:
    return [entry for entry in entries if entry["is"] == "command"]


def copied(path: Path, folder: Path) -> Path:
    """Copy a journal, as opening it writes to the file."""
    return Path(shutil.copy(path, folder / path.name))


def observed_journal(folder: Path) -> Any:
    """Return the re-encoded entries, and the status, plan and replies of a planner started from them."""
    path = copied(JOURNAL, folder)
    journal = Journal(path)
    lines = [bytes(line) for _, line in journal.entries()]
    journal.close()
    entries = [json.loads(encode_entry(decode_entry(line))) for line in lines]
    operator = Operator(path)
    orders = [{k: v for k, v in one.items() if k != "at"} for one in commands(entries)]
    for order in orders:
        order.pop("remembered", None)
    found = {
        "entries": entries,
        "status": operator.ask({"is": "ask"}),
        "plan": operator.edge_plan(),
        "replies": [operator.ask(order | {"is": "order"}) for order in orders],
    }
    operator.close()
    return found


def observed(folder: Path) -> Any:
    """Return everything that is read from the files, by stored names."""
    day = command_line("day", "check", TAPE, "--json")
    _, plan = read_experiment(STORED / "experiment.json5")
    return {
        "plan": msgspec.to_builtins(read_plan(PLAN)),
        "learnt": msgspec.to_builtins(read_learned(LEARNED)),
        "journal": observed_journal(folder),
        "tape checked": day,
        "experiment": {
            figure: command_line("experiment", "compare", RESULTS, "--figure", figure, "--json")
            for figure in ("service", "p99", "fetches")
        },
        "keys of runs": [run.key for run in plan],
    }


@pytest.fixture(scope="module")
def found(tmp_path_factory: pytest.TempPathFactory) -> Any:
    return observed(tmp_path_factory.mktemp("stored"))


@pytest.mark.parametrize("part", ["plan", "learnt", "journal", "tape checked", "experiment", "keys of runs"])
def test_stored_files_are_read_with_the_same_values(found: Any, part: str) -> None:
    assert found[part] == json.loads(EXPECTED.read_text())[part]


def test_every_kind_of_entry_and_command_is_in_the_journal(found: Any) -> None:
    entries = found["journal"]["entries"]
    assert {entry["is"] for entry in entries} == {"command", "report", "look"}
    assert {entry["what"] for entry in commands(entries)} == {"start", "advance", "hold", "resume", "back"}


def test_entries_are_written_with_the_same_bytes(tmp_path: Path) -> None:
    journal = Journal(copied(JOURNAL, tmp_path))
    for _, line in journal.entries():
        assert encode_entry(decode_entry(line)) == line
    journal.close()


@pytest.mark.parametrize(
    ("path", "read", "write"), [(PLAN, read_plan, write_plan), (LEARNED, read_learned, write_learned)]
)
def test_small_files_are_written_with_the_same_bytes(
    path: Path, read: Callable[[Path], Any], write: Callable[[Path, Any], None], tmp_path: Path
) -> None:
    write(tmp_path / "again", read(path))
    assert (tmp_path / "again").read_bytes() == path.read_bytes()


def test_the_results_are_of_the_same_runs(found: Any) -> None:
    assert [json.loads(line)["key"] for line in RESULTS.read_text().splitlines()] == found["keys of runs"]


def test_a_tape_reads_line_by_line() -> None:
    assert list(read_tape(TAPE)) == [json.loads(line) for line in TAPE.read_text().splitlines()]


# newer files


def changed(path: Path, folder: Path, **fields: Any) -> Path:
    newer = folder / path.name
    newer.write_text(json.dumps(json.loads(path.read_text()) | fields))
    return newer


@pytest.mark.parametrize(("path", "read"), [(PLAN, read_plan), (LEARNED, read_learned)])
def test_unknown_fields_of_a_newer_file_are_ignored(
    path: Path, read: Callable[[Path], Any], tmp_path: Path
) -> None:
    newer = read(changed(path, tmp_path, more={"of": ["anything"]}))
    assert msgspec.to_builtins(newer) == msgspec.to_builtins(read(path))


@pytest.mark.parametrize(
    ("path", "read", "fields", "message"),
    [
        (LEARNED, read_learned, {"shape": 2}, "shape 2; expected 1"),
        (LEARNED, read_learned, {"methods": {"m": {"soft_deadline": 1, "deadline": 2}}}, "`alone`"),
        (
            LEARNED,
            read_learned,
            {"methods": {"m": {"soft_deadline": 1, "deadline": 2, "alone": 1, "hint": 0, "new": 1}}},
            "`new`",
        ),
        (PLAN, read_plan, {"epoch": "seven"}, "$.epoch"),
        (PLAN, read_plan, {"shares": [{"fn": "resize", "share": 1.5}]}, "$.shares[0].share"),
    ],
)
def test_a_file_of_another_format_is_rejected_with_its_path(
    path: Path, read: Callable[[Path], Any], fields: dict[str, Any], message: str, tmp_path: Path
) -> None:
    newer = changed(path, tmp_path, **fields)
    with pytest.raises(ValueError, match=re.escape(f"{newer}: ")) as refused:
        read(newer)
    assert message in str(refused.value)


def add_entry(path: Path, entry: dict[str, Any]) -> None:
    database = sqlite3.connect(path)
    with database:
        database.execute("insert into entries values (18, 1, ?)", (json.dumps(entry).encode(),))
    database.close()


def test_unknown_fields_of_a_journal_entry_are_ignored(tmp_path: Path) -> None:
    path = copied(JOURNAL, tmp_path)
    add_entry(path, {"is": "look", "at": 210_000, "newer": True})
    operator = Operator(path)
    assert operator.ask({"is": "ask"})["number"] == 18
    operator.close()


@pytest.mark.parametrize(
    ("entry", "message"),
    [
        ({"is": "pause", "at": 210_000}, "'pause' - at `$.is`"),
        ({"is": "report", "at": 210_000, "edge": "e"}, "`start`"),
        ({"is": "command", "at": 210_000, "id": "n", "what": "pause", "fn": "f", "who": "w"}, "$.what"),
    ],
)
def test_a_planner_does_not_start_on_an_unknown_journal_entry(
    entry: dict[str, Any], message: str, tmp_path: Path
) -> None:
    path = copied(JOURNAL, tmp_path)
    add_entry(path, entry)
    with pytest.raises(msgspec.ValidationError) as refused:
        Operator(path)
    assert message in str(refused.value)


def error_of_command(*words: object) -> str:
    result = CliRunner().invoke(main, [str(word) for word in words])
    assert result.exit_code and not isinstance(result.exception, msgspec.MsgspecError), result.output
    return result.output


def test_a_tape_of_another_version_is_rejected(tmp_path: Path) -> None:
    header, *events = TAPE.read_text().splitlines(keepends=True)
    newer = tmp_path / "tape"
    newer.write_text("".join([json.dumps(json.loads(header) | {"tape": 2}) + "\n", *events]))
    message = error_of_command("day", "check", newer, "--json")
    assert str(newer) in message and "can't be judged" in message and "no tape" in message


def test_a_tape_with_an_invalid_line_is_rejected(tmp_path: Path) -> None:
    newer = tmp_path / "tape"
    newer.write_bytes(TAPE.read_bytes() + b"[]\n")
    message = error_of_command("day", "check", newer)
    assert f"{newer}:{len(TAPE.read_bytes().splitlines()) + 1}: no line of a tape" in message


def test_unknown_fields_of_results_are_ignored(found: Any, tmp_path: Path) -> None:
    newer = tmp_path / "results"
    lines = [json.loads(line) | {"more": [1]} for line in RESULTS.read_text().splitlines()]
    newer.write_text("".join(json.dumps(line) + "\n" for line in lines))
    assert command_line("experiment", "compare", newer, "--json") == found["experiment"]["service"]


def test_invalid_results_are_rejected(tmp_path: Path) -> None:
    newer = tmp_path / "results"
    newer.write_bytes(RESULTS.read_bytes() + b'{"key":"k","seed":1}\n')
    message = error_of_command("experiment", "compare", newer)
    assert f"{newer}:{len(RESULTS.read_bytes().splitlines()) + 1}: no line of results" in message

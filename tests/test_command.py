"""The command line: exit codes, output and error messages."""

import json
import socket
import time
from collections.abc import Callable
from pathlib import Path

import pytest
from click.testing import CliRunner, Result

from lapistrestle.command.main import main
from lapistrestle.edge.reactor import monotonic_reactor

EXAMPLES = Path(__file__).parent.parent / "examples"

Run = Callable[..., Result]


@pytest.fixture
def run() -> Run:
    return lambda *args: CliRunner().invoke(main, [str(a) for a in args])


def test_one_command_runs_and_checks_a_day(run: Run, tmp_path: Path) -> None:
    tape = tmp_path / "bad.tape"
    result = run("day", "run", EXAMPLES / "days" / "bad-day.json5", "--virtual", "--tape", tape)
    assert result.exit_code == 0, result.output
    assert result.output.rstrip().endswith("rules: kept") and "gain answered over gain asked" in result.output
    again = run("day", "check", tape, "--json")
    told = json.loads(again.output)
    assert again.exit_code == 0 and told["kept"] and len(told["rules"]) == 9
    assert 0.5 < told["service"]["total"] <= 1


def test_a_violated_rule_is_shown_with_its_lines(run: Run, tmp_path: Path) -> None:
    tape = tmp_path / "bad.tape"
    run("day", "run", EXAMPLES / "days" / "bad-day.json5", "--virtual", "--no-check", "--tape", tape)
    lines = tape.read_text().splitlines(keepends=True)
    answer = next(line for line in lines if '\\"is\\":\\"answer\\"' in line)
    at = lines.index(answer)
    tape.write_text("".join([*lines[: at + 1], answer, *lines[at + 1 :]]))
    result = run("day", "check", tape)
    assert result.exit_code == 1 and result.output.rstrip().endswith("rules: broken (1)")
    assert "2 final answers" in result.output and f"{at + 1}: " in result.output


def test_deployments_are_checked(run: Run, tmp_path: Path) -> None:
    good = run("deployment", "check", *sorted(EXAMPLES.glob("*.json5")))
    assert good.exit_code == 0 and good.output.count("fits") == 3
    wrong = tmp_path / "wrong.json5"
    wrong.write_text("{methodes: {}}")
    result = run("deployment", "check", wrong, EXAMPLES / "slots.json5")
    assert result.exit_code == 1 and "did you mean methods?" in result.output and "fits" in result.output


@pytest.mark.parametrize(
    "args", [("day", "run", "none.json5"), ("edge", "none.json5"), ("roster", "none.json5")]
)
def test_a_missing_file_gives_an_error_message_without_traceback(run: Run, args: tuple[str, ...]) -> None:
    result = run(*args)
    assert result.exit_code == 1 and "can't be read" in result.output and "Traceback" not in result.output


def test_the_programs_run_on_the_monotonic_clock(monkeypatch: pytest.MonkeyPatch) -> None:
    """Timers would be delayed if they used the wall clock and that were set back."""
    reactor = monotonic_reactor()
    before = reactor.seconds()
    monkeypatch.setattr(time, "time", lambda: 0.0)
    assert reactor.seconds is time.monotonic and reactor.seconds() >= before


def test_a_port_in_use_gives_an_error_message(run: Run, tmp_path: Path) -> None:
    path, taken = tmp_path / "d.json5", socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    taken.bind(("127.0.0.1", 0))
    text = (EXAMPLES / "thumbs.json5").read_text()
    path.write_text(text.replace("7201", str(taken.getsockname()[1])))
    result = run("edge", path)
    taken.close()
    assert result.exit_code == 1 and "can't listen for peers" in result.output


def test_an_edge_without_a_roster_gives_an_error_message(run: Run, tmp_path: Path) -> None:
    path = tmp_path / "d.json5"
    path.write_text('{methods: {m: {effect: "idempotent", deadline: "3 s"}}}')
    result = run("edge", path)
    assert result.exit_code == 1 and "roster.port: is missing" in result.output

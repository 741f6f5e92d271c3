"""Recorded behaviour, byte for byte, as at d027b98 (`tests/data/README.md` says when these change)."""

import json
from collections.abc import Callable
from hashlib import blake2b
from pathlib import Path

import pytest
from click.testing import CliRunner

from lapistrestle.benchlink.wire import Adapter
from lapistrestle.command.main import main

DATA = Path(__file__).parent / "data"
SESSION, TAPES = DATA / "behaviour" / "session.jsonl", DATA / "behaviour" / "tapes.json"
DAY = DATA / "stored" / "day.json5"
SEEDS = ("1", "2", "3")


def adapter() -> Callable[[bytes], bytes]:
    """Return the reply function of a new adapter."""
    return Adapter().answer


def run_day(seed: str, folder: Path) -> bytes:
    """Run the short day under a seed and return its tape."""
    tape = folder / "tape"
    arguments = ("day", "run", str(DAY), "--virtual", "--no-check", "--seed", seed, "--tape", str(tape))
    result = CliRunner().invoke(main, arguments)
    assert result.exit_code == 0, result.output
    return tape.read_bytes()


def digest(tape: bytes) -> str:
    return blake2b(tape, digest_size=16).hexdigest()


def test_the_adapter_replies_with_the_same_bytes() -> None:
    lines = SESSION.read_bytes().splitlines()
    answer = adapter()
    for number, (line, reply) in enumerate(zip(lines[::2], lines[1::2], strict=True)):
        assert answer(line) == reply, f"reply {number}, in line {2 * number + 2}"


def test_the_session_has_every_event_and_most_commands() -> None:
    batches = [json.loads(line) for line in SESSION.read_bytes().splitlines()]
    events = {name for batch in batches[::2] for event in batch["happened"] for name in event}
    commands = {name for batch in batches[1::2] for command in batch["cmds"] for name in command}
    assert events == {
        "Init",
        "Update",
        "Demand",
        "UnderWay",
        "Done",
        "Vanished",
        "Fired",
        "Loaded",
        "CrashNow",
    }
    assert commands == {"Relay", "Reject", "NotifyMe", "Preload", "Log", "Listen"}


@pytest.mark.parametrize("seed", SEEDS)
def test_a_short_day_gives_the_same_tape(seed: str, tmp_path: Path) -> None:
    assert digest(run_day(seed, tmp_path)) == json.loads(TAPES.read_text())[seed]

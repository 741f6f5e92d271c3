"""What the program does, byte for byte, as at d027b98 (`tests/data/README.md` says when these change)."""

import json
from collections.abc import Callable
from hashlib import blake2b
from pathlib import Path

import pytest
from click.testing import CliRunner

from lapistrestle.benchlink.wire import Links
from lapistrestle.command.main import main

DATA = Path(__file__).parent / "data"
SESSION, TAPES = DATA / "behaviour" / "session.jsonl", DATA / "behaviour" / "tapes.json"
DAY = DATA / "stored" / "day.json5"
SEEDS = ("1", "2", "3")


def adapter() -> Callable[[bytes], bytes]:
    """One that has heard nothing yet."""
    return Links().answer


def played(seed: str, folder: Path) -> bytes:
    """The tape of the short day under a seed."""
    tape = folder / "tape"
    words = ("day", "run", str(DAY), "--virtual", "--no-check", "--seed", seed, "--tape", str(tape))
    result = CliRunner().invoke(main, words)
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
    said = [json.loads(line) for line in SESSION.read_bytes().splitlines()]
    events = {word for batch in said[::2] for event in batch["happened"] for word in event}
    commands = {word for batch in said[1::2] for command in batch["cmds"] for word in command}
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
    assert digest(played(seed, tmp_path)) == json.loads(TAPES.read_text())[seed]

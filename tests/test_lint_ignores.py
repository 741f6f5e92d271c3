"""The list of rules that a package can't pass yet only shrinks: `python tests/test_lint_ignores.py` does it.

A package that moves takes its rules along by hand, or with `--anew`, which writes the list as it must be now:
its change is to be read before it goes in.
"""

import json
import subprocess
import sys
import tomllib
from collections import defaultdict
from fnmatch import fnmatch
from pathlib import Path
from typing import Any

ROOT = Path(__file__).parent.parent
SETTINGS = ROOT / "pyproject.toml"
BEGIN, END = "# begin: left\n", "# end: left\n"
SOURCES = ("lapistrestle", "tests", "benchmarks")

Rules = dict[str, set[str]]  # by pattern of files


def listed() -> Rules:
    """What the settings let pass: what is left and what holds for good."""
    told = tomllib.loads(SETTINGS.read_text())["tool"]["ruff"]["lint"]["per-file-ignores"]
    return {pattern: set(rules) for pattern, rules in told.items()}


def left() -> Rules:
    """The part of it that is left to do."""
    lines = SETTINGS.read_text().split(BEGIN)[1].split(END)[0]
    return {pattern: set(rules) for pattern, rules in tomllib.loads(lines).items()}


def violations() -> list[tuple[str, str]]:
    """File and rule of all that breaks a rule when none is let pass."""
    command = [sys.executable, "-m", "ruff", "check", "--output-format", "json", "--exit-zero"]
    command += ["--config", "lint.per-file-ignores = {}", *SOURCES]
    done = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=True, timeout=60)
    found: list[dict[str, Any]] = json.loads(done.stdout)
    return [(str(Path(one["filename"]).relative_to(ROOT)), one["code"]) for one in found]


def pattern_of(file: str) -> str:
    """A package, a module beside the packages, the tests or the benchmarks."""
    parts = Path(file).parts
    if parts[0] != "lapistrestle":
        return f"{parts[0]}/*"
    return file if len(parts) == len(("lapistrestle", "module.py")) else f"lapistrestle/{parts[1]}/*"


def needless() -> Rules:
    """What is let pass though nothing breaks it."""
    found = violations()
    return {
        pattern: unused
        for pattern, rules in listed().items()
        if (unused := {rule for rule in rules if not any(broken(rule, pattern, *one) for one in found)})
    }


def broken(rule: str, pattern: str, file: str, code: str) -> bool:
    return code == rule and fnmatch(file, pattern)


def needed() -> Rules:
    """What is left, as it must be for every rule to pass."""
    for_good = {pattern: rules for pattern, rules in listed().items() if pattern not in left()}
    found: Rules = defaultdict(set)
    for file, rule in violations():
        if not any(rule in rules and fnmatch(file, pattern) for pattern, rules in for_good.items()):
            found[pattern_of(file)].add(rule)
    return found


def write(rules: Rules) -> None:
    """Put what is left into the settings."""
    before, rest = SETTINGS.read_text().split(BEGIN)
    lines = [f'"{pattern}" = {json.dumps(sorted(rules[pattern]))}\n' for pattern in sorted(rules)]
    SETTINGS.write_text(before + BEGIN + "".join(lines) + END + rest.split(END)[1])


def test_no_rule_is_let_pass_that_nothing_breaks() -> None:
    assert not needless(), "python tests/test_lint_ignores.py takes these out of pyproject.toml"


def test_the_modules_that_mypy_is_loose_with_are_there() -> None:
    overrides = tomllib.loads(SETTINGS.read_text())["tool"]["mypy"]["overrides"]
    loose = [name for one in overrides if "disallow_untyped_defs" in one for name in one["module"]]
    assert len(loose) == len(set(loose))
    assert not [name for name in loose if not (ROOT / "tests" / f"{name}.py").exists()]


if __name__ == "__main__":
    now = needed()
    if "--anew" not in sys.argv:
        now = {pattern: rules & now.get(pattern, set()) for pattern, rules in left().items()}
    write({pattern: rules for pattern, rules in now.items() if rules})

"""The list of ignored lint rules per package may only shrink: `python tests/test_lint_ignores.py` shrinks it.

When a package is renamed, move its entry by hand or with `--anew`, which rewrites the whole list; review that
change before it is committed.
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


def ignored_rules() -> Rules:
    """Return all ignored rules: the shrinking list and the permanent ones."""
    ignores = tomllib.loads(SETTINGS.read_text())["tool"]["ruff"]["lint"]["per-file-ignores"]
    return {pattern: set(rules) for pattern, rules in ignores.items()}


def shrinking_rules() -> Rules:
    """Return the ignored rules of the shrinking list."""
    lines = SETTINGS.read_text().split(BEGIN)[1].split(END)[0]
    return {pattern: set(rules) for pattern, rules in tomllib.loads(lines).items()}


def violations() -> list[tuple[str, str]]:
    """Return the file and rule of each violation when no rule is ignored."""
    command = [sys.executable, "-m", "ruff", "check", "--output-format", "json", "--exit-zero"]
    command += ["--config", "lint.per-file-ignores = {}", *SOURCES]
    done = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=True, timeout=60)
    found: list[dict[str, Any]] = json.loads(done.stdout)
    return [(str(Path(one["filename"]).relative_to(ROOT)), one["code"]) for one in found]


def pattern_of(file: str) -> str:
    """Return the pattern that covers a file: its package or module, the tests or the benchmarks."""
    parts = Path(file).parts
    if parts[0] != "lapistrestle":
        return f"{parts[0]}/*"
    return file if len(parts) == len(("lapistrestle", "module.py")) else f"lapistrestle/{parts[1]}/*"


def unused_rules() -> Rules:
    """Return the ignored rules without a violation."""
    found = violations()
    return {
        pattern: unused
        for pattern, rules in ignored_rules().items()
        if (unused := {rule for rule in rules if not any(matches(rule, pattern, *one) for one in found)})
    }


def matches(rule: str, pattern: str, file: str, code: str) -> bool:
    return code == rule and fnmatch(file, pattern)


def required_rules() -> Rules:
    """Return the shrinking list that the current violations require."""
    for_good = {
        pattern: rules for pattern, rules in ignored_rules().items() if pattern not in shrinking_rules()
    }
    found: Rules = defaultdict(set)
    for file, rule in violations():
        if not any(rule in rules and fnmatch(file, pattern) for pattern, rules in for_good.items()):
            found[pattern_of(file)].add(rule)
    return found


def write(rules: Rules) -> None:
    """Write the shrinking list to the settings."""
    before, rest = SETTINGS.read_text().split(BEGIN)
    lines = [f'"{pattern}" = {json.dumps(sorted(rules[pattern]))}\n' for pattern in sorted(rules)]
    SETTINGS.write_text(before + BEGIN + "".join(lines) + END + rest.split(END)[1])


def test_no_ignored_rule_is_unused() -> None:
    assert not unused_rules(), "python tests/test_lint_ignores.py removes these from pyproject.toml"


def test_modules_with_relaxed_mypy_checks_exist() -> None:
    overrides = tomllib.loads(SETTINGS.read_text())["tool"]["mypy"]["overrides"]
    loose = [name for one in overrides if "disallow_untyped_defs" in one for name in one["module"]]
    assert len(loose) == len(set(loose))
    assert not [name for name in loose if not (ROOT / "tests" / f"{name}.py").exists()]


if __name__ == "__main__":
    now = required_rules()
    if "--anew" not in sys.argv:
        now = {pattern: rules & now.get(pattern, set()) for pattern, rules in shrinking_rules().items()}
    write({pattern: rules for pattern, rules in now.items() if rules})

"""Leaves out the tests that KNOWN-RED.txt lists, and names them at the end of the run.

Each shows a fault that is known and not mended. `--known-red` runs these alone.
"""

from pathlib import Path

import pytest

KNOWN_RED = Path(__file__).parent.parent / "KNOWN-RED.txt"
TEST_FIELD = "test:"  # begins the line that names a test: a prefix of its node id


def known_red() -> tuple[str, ...]:
    """Return the listed tests, as prefixes of their node ids."""
    lines = [line.strip() for line in KNOWN_RED.read_text().splitlines()]
    return tuple(line.removeprefix(TEST_FIELD).strip() for line in lines if line.startswith(TEST_FIELD))


def pytest_addoption(parser: pytest.Parser) -> None:
    parser.addoption("--known-red", action="store_true", help="run the tests of KNOWN-RED.txt alone")


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    for test in known_red():
        terminalreporter.write_line(f"known red, not run: {test}")


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    listed = known_red()
    wanted = config.getoption("--known-red")
    chosen = [item for item in items if (bool(listed) and item.nodeid.startswith(listed)) is bool(wanted)]
    left_out = [item for item in items if item not in set(chosen)]
    config.hook.pytest_deselected(items=left_out)
    items[:] = chosen

"""Dependencies between packages: which may import which, with the exceptions listed."""

import ast
import subprocess
import sys
from collections import defaultdict
from functools import cache
from pathlib import Path

ROOT = Path(__file__).parent.parent

STANDS_FOR = {"__main__": "command"}  # top-level modules that count as part of a package

DECISIONS = {"policy", "rollout", "rollout_types", "fleet", "overload", "directory", "store"}
PACKAGES = {path.parent.name for path in (ROOT / "lapistrestle").glob("*/__init__.py")}
SHARED = {"ticks"}  # the unit of time, which every package may import
MAY_IMPORT: dict[str, set[str]] = {
    "ticks": set(),
    "policy": set(),
    "benchlink": {"policy"},
    "hosting": {"policy"},
    "wire": {"rollout_types"},
    "sources": {"wire"},  # connections on which lists are subscribed
    "rollout_types": set(),  # types of rollouts that processes exchange
    "deployment": set(),
    "records": set(),
    "edge": {"hosting", "wire", "sources", "deployment", "records"} | DECISIONS,
    "node": {"edge", "hosting", "policy", "deployment"},
    "planner": {"hosting", "wire", "deployment", "records"} | DECISIONS,
    "fleet": {"wire", "records"},
    "overload": {"fleet", "policy"},
    "agreement": {"store", "wire", "records"},
    "rollout": {"rollout_types", "wire", "records"},
    "store": {"wire", "records"},
    "directory": {"wire", "sources", "records", "agreement"},
    "command": PACKAGES | {"rollout_types"},
    "model": {"hosting"} | DECISIONS,
    "standins": {"wire", "rollout_types"},
    "checks": {"wire", "rollout_types"},
}
# Imports that violate the layout. Remove entries that no longer occur, and add none.
EXCEPTIONS: dict[str, set[str]] = {
    "benchlink": {"deployment", "hosting"},  # its settings' translation; the registry of ids
    "deployment": {"policy"},  # the type of the map that it translates to
    "directory": {"deployment"},  # the settings of the holder's program
    "model": {
        "checks",
        "deployment",
        "edge",
        "sources",
        "standins",
        "wire",
    },  # it simulates the days of the stand-ins
    "node": {"records"},  # the log, created by the main program
    "overload": {"wire"},  # the encoding of health verdicts in datagrams
    # This package also starts the programs of a day and of the simulations.
    "standins": {
        "agreement",
        "deployment",
        "directory",
        "edge",
        "fleet",
        "hosting",
        "node",
        "planner",
        "sources",
        "store",
    },
}
KNOWN_CYCLES: list[set[str]] = []

# Packages of the platform's edge.
OF_THE_PLATFORM = {"deployment", "edge", "hosting", "node", "policy", "records", "ticks"}
NOT_OF_THE_PLATFORM = ("deployment.load", "deployment.schema", "edge.program", "edge.runners", "records.logs")


def package_of(module: str) -> str:
    """Return the package of a module, given by its full name."""
    part = module.split(".")[1]
    return STANDS_FOR.get(part, part)


def imported_by(path: Path) -> set[str]:
    """Return the full names of this project's modules that a file imports, at any place in the file."""
    found = set[str]()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            found |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom):
            assert node.module and not node.level, f"{path}:{node.lineno}: imports go by full names"
            found |= {f"{node.module}.{alias.name}" for alias in node.names}
    return {name for name in found if name.startswith("lapistrestle.")}


@cache
def imports_by_package() -> dict[str, dict[str, list[str]]]:
    """Return, by package, the packages that it imports and the files that import them."""
    found: dict[str, dict[str, list[str]]] = defaultdict(lambda: defaultdict(list))
    for path in sorted((ROOT / "lapistrestle").rglob("*.py")):
        file = str(path.relative_to(ROOT))
        package = package_of(file.removesuffix(".py").replace("/", "."))
        for name in imported_by(path):
            if package_of(name) != package and file not in found[package][package_of(name)]:
                found[package][package_of(name)].append(file)
    return found


def reached_from(package: str) -> set[str]:
    """Return all packages that one imports, directly or transitively."""
    found, ahead = set[str](), [package]
    while ahead:
        more = set(imports_by_package().get(ahead.pop(), ())) - found
        found |= more
        ahead += more
    return found


def test_every_package_has_a_rule() -> None:
    files = {path.stem for path in (ROOT / "lapistrestle").glob("*.py")} - {"__init__"}
    assert not (PACKAGES | {STANDS_FOR.get(file, file) for file in files}) - set(MAY_IMPORT)


def test_packages_import_only_what_the_layout_allows() -> None:
    violations = {
        f"{package} imports {other}: {', '.join(files)}"
        for package, others in imports_by_package().items()
        for other, files in others.items()
        if other not in SHARED | MAY_IMPORT.get(package, set()) | EXCEPTIONS.get(package, set())
    }
    assert not violations


def test_every_listed_exception_occurs() -> None:
    missing = {
        f"{package} does not import {other}"
        for package, others in EXCEPTIONS.items()
        for other in others
        if other not in imports_by_package().get(package, {}) or other in MAY_IMPORT.get(package, set())
    }
    assert not missing


def test_there_are_only_known_import_cycles() -> None:
    cycles: list[set[str]] = []
    for package in sorted(imports_by_package()):
        cycle = {other for other in reached_from(package) if package in reached_from(other)}
        if cycle and cycle not in cycles:
            cycles.append(cycle)
    assert cycles == KNOWN_CYCLES


def test_the_platforms_edge_imports_only_packages_available_there() -> None:
    """Runs in a process of its own, as the test process has imported other packages."""
    code = "import lapistrestle.node.__main__, lapistrestle.node.program, sys; print(*sys.modules)"
    done = subprocess.run(
        [sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True, timeout=60
    )
    names = [name for name in done.stdout.split() if name.startswith("lapistrestle.")]
    assert {package_of(name) for name in names} == OF_THE_PLATFORM
    assert not [name for name in names if name.split(".", 1)[1] in NOT_OF_THE_PLATFORM]

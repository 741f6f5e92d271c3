"""Which packages import which: arrows go one way, and each that goes against the layout is listed."""

import ast
import subprocess
import sys
from collections import defaultdict
from functools import cache
from pathlib import Path

ROOT = Path(__file__).parent.parent

STANDS_FOR = {"__main__": "command"}  # by a module beside the packages, the package that it counts as

DECISIONS = {"policy", "rollout", "rollout_types", "fleet", "overload", "directory", "store"}
PACKAGES = {path.parent.name for path in (ROOT / "lapistrestle").glob("*/__init__.py")}
SHARED = {"ticks"}  # the unit of time, which every package may import
MAY_IMPORT: dict[str, set[str]] = {
    "ticks": set(),
    "policy": set(),
    "benchlink": {"policy"},
    "hosting": {"policy"},
    "wire": {"rollout_types"},
    "sources": {"wire"},  # connections that lists are followed on
    "rollout_types": set(),  # types of rollouts that cross processes
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
# Today's arrows against the layout. One that is gone is taken off; none is added.
EXCEPTIONS: dict[str, set[str]] = {
    "benchlink": {"deployment", "hosting"},  # its settings' translation; the registry of ids
    "deployment": {"policy"},  # the type of the map that it translates to
    "directory": {"deployment"},  # the settings of the holder's program
    "model": {"checks", "deployment", "edge", "sources", "standins", "wire"},  # it plays the stand-ins' days
    "node": {"records"},  # the log, made where the program begins
    "overload": {"wire"},  # verdicts of workers, as datagrams carry them
    # The days' programs and the rigs stand here, beside the stand-ins for what is not ours.
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
CIRCLES: list[set[str]] = []

# What the platform's edge is made of.
OF_THE_PLATFORM = {"deployment", "edge", "hosting", "node", "policy", "records", "ticks"}
NOT_OF_THE_PLATFORM = ("deployment.load", "deployment.schema", "edge.program", "edge.runners", "records.logs")


def package_of(module: str) -> str:
    """Of a module's full name."""
    part = module.split(".")[1]
    return STANDS_FOR.get(part, part)


def imported_by(path: Path) -> set[str]:
    """Full names of the program's own modules that a file imports, wherever in the file."""
    found = set[str]()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            found |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom):
            assert node.module and not node.level, f"{path}:{node.lineno}: imports go by full names"
            found |= {f"{node.module}.{alias.name}" for alias in node.names}
    return {name for name in found if name.startswith("lapistrestle.")}


@cache
def arrows() -> dict[str, dict[str, list[str]]]:
    """By package, the packages that it imports and the files that do."""
    found: dict[str, dict[str, list[str]]] = defaultdict(lambda: defaultdict(list))
    for path in sorted((ROOT / "lapistrestle").rglob("*.py")):
        file = str(path.relative_to(ROOT))
        package = package_of(file.removesuffix(".py").replace("/", "."))
        for name in imported_by(path):
            if package_of(name) != package and file not in found[package][package_of(name)]:
                found[package][package_of(name)].append(file)
    return found


def reached_from(package: str) -> set[str]:
    """All packages that one needs, through others too."""
    found, ahead = set[str](), [package]
    while ahead:
        more = set(arrows().get(ahead.pop(), ())) - found
        found |= more
        ahead += more
    return found


def test_every_package_has_its_place() -> None:
    files = {path.stem for path in (ROOT / "lapistrestle").glob("*.py")} - {"__init__"}
    assert not (PACKAGES | {STANDS_FOR.get(file, file) for file in files}) - set(MAY_IMPORT)


def test_arrows_go_as_the_layout_says() -> None:
    against = {
        f"{package} imports {other}: {', '.join(files)}"
        for package, others in arrows().items()
        for other, files in others.items()
        if other not in SHARED | MAY_IMPORT.get(package, set()) | EXCEPTIONS.get(package, set())
    }
    assert not against


def test_no_exception_is_listed_that_does_not_occur() -> None:
    gone = {
        f"{package} does not import {other}"
        for package, others in EXCEPTIONS.items()
        for other in others
        if other not in arrows().get(package, {}) or other in MAY_IMPORT.get(package, set())
    }
    assert not gone


def test_there_are_no_circles_but_those_known() -> None:
    circles: list[set[str]] = []
    for package in sorted(arrows()):
        circle = {other for other in reached_from(package) if package in reached_from(other)}
        if circle and circle not in circles:
            circles.append(circle)
    assert circles == CIRCLES


def test_the_platforms_edge_imports_nothing_that_is_off_there() -> None:
    """In a process of its own, as this one has much imported."""
    code = "import lapistrestle.node.__main__, lapistrestle.node.program, sys; print(*sys.modules)"
    done = subprocess.run(
        [sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True, timeout=60
    )
    names = [name for name in done.stdout.split() if name.startswith("lapistrestle.")]
    assert {package_of(name) for name in names} == OF_THE_PLATFORM
    assert not [name for name in names if name.split(".", 1)[1] in NOT_OF_THE_PLATFORM]

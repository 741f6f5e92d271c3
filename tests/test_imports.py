"""Which packages import which."""

import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).parent.parent

# The decision module, which one package is to hold; the rest is what the platform's edge is made of.
DECISION_MODULE = {"choice", "state", "interface", "policy"}
OF_THE_PLATFORM = {"deployment", "edge", "hosting", "node", "records"}
NOT_OF_THE_PLATFORM = ("deployment.load", "deployment.shape", "edge.program", "edge.runners", "records.logs")


def test_the_platforms_edge_imports_nothing_that_is_off_there() -> None:
    """In a process of its own, as this one has much imported."""
    code = "import lapistrestle.node.__main__, lapistrestle.node.program, sys; print(*sys.modules)"
    done = subprocess.run(
        [sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True, timeout=60
    )
    names = [name for name in done.stdout.split() if name.startswith("lapistrestle.")]
    packages = {name.split(".")[1] for name in names}
    assert packages - DECISION_MODULE == OF_THE_PLATFORM
    assert not [name for name in names if name.split(".", 1)[1] in NOT_OF_THE_PLATFORM]

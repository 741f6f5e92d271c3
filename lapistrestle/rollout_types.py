"""Types of a gradual rollout that cross processes.

The decisions (`rollout/`) and the messages (`wire/`) share them. They stand outside both, so that messages
depend on no decision and decisions on no encoding.
"""

from dataclasses import dataclass, field
from enum import Enum
from typing import Literal

RolloutAction = Literal["start", "advance", "hold", "resume", "back"]
"""What an operator may ask for; also the form on the wire and in the journal."""

DEFAULT_STEPS = (0.01, 0.05, 0.25, 1.0)
"""Weights that a candidate gets in turn where a command names none."""


class CommandOutcome(Enum):
    """What came of a command or another input; the value is the form on the wire."""

    DONE = "done"
    NOTHING_TO_DO = "nothing to do"
    REFUSED = "refused"


@dataclass(frozen=True)
class TrafficSplit:
    """How one function's traffic is split over two versions, as an edge holds it.

    The part `weight` of the keys goes to `candidate`, the rest to the `settled` version. `peak_weight` is
    the largest weight that the candidate has had or gets next: keys below it may have met it at an edge
    whose plan is newer. A withdrawn candidate has no weight but keeps its peak until clients can no longer
    come back from it. `next_weight` is the weight to load replicas for, and `step` the index of the present
    one (-1: none yet). Once `promoted`, the candidate is what runs, with no lease, and the version before it
    is retained for clients that come back and for a rollback. Weights are fractions from 0 to 1.
    """

    function: str
    settled: str
    candidate: str = ""
    weight: float = 0.0
    peak_weight: float = 0.0
    withdrawn: bool = False
    step: int = field(default=-1, compare=False)
    next_weight: float = 0.0
    promoted: bool = False


def versioned_name(function: str, version: str) -> str:
    """Return the name of a version, `function@version`.

    To workers and to the dispatcher's decisions a version is a function of its own.
    """
    return f"{function}@{version}" if version else function

"""Types of a gradual rollout that processes exchange.

The decisions (`rollout/`) and the messages (`wire/`) share them. They are in neither package, so that
messages do not depend on decisions nor decisions on encodings.
"""

from dataclasses import dataclass, field
from enum import Enum
from typing import Literal

RolloutAction = Literal["start", "advance", "hold", "resume", "back"]
"""An operator's command, as written on the wire and in the journal."""

DEFAULT_STEPS = (0.01, 0.05, 0.25, 1.0)
"""Successive weights of a candidate if a command names none."""


class CommandOutcome(Enum):
    """The outcome of a command or another input; the value is the form on the wire."""

    DONE = "done"
    NOTHING_TO_DO = "nothing to do"
    REFUSED = "refused"


@dataclass(frozen=True)
class TrafficSplit:
    """How a function's traffic is split between two versions.

    The fraction `weight` of the keys is sent to `candidate`, the rest to the `settled` version. `peak_weight`
    is the largest weight that the candidate has had or gets next: keys below it may have been sent to the
    candidate by an edge with a newer plan. A withdrawn candidate has no weight but keeps its peak weight
    until clients no longer retry requests sent to it. `next_weight` is the weight for which replicas are
    loaded, and `step` the index of the current weight (-1: none yet). Once `promoted`, the candidate gets all
    traffic without a lease, and the previous version is retained for retries and a rollback. Weights are
    fractions from 0 to 1.
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

    Workers and the dispatcher's decisions treat each version as a function of its own.
    """
    return f"{function}@{version}" if version else function

"""Messages between the planner and edges, and between operators and the planner; protocol
`lapistrestle.planner`."""

from typing import Annotated, Literal

from msgspec import Meta, Struct, convert, field

from lapistrestle.rollout.versions import Split
from lapistrestle.wire.messages import Bye, Fault, Hello, Message, Name, Number

PLANNER = "lapistrestle.planner"


class Share(Struct, omit_defaults=True, gc=False):
    """One function's versions: this share of the keys goes to the candidate, the rest to the settled one.

    `peak`: keys below it may have met the candidate; `next`: the share to load copies for; `done`: the
    candidate is what runs, and the version before it is still kept.
    """

    function: Name = field(name="fn")
    settled: str = ""
    candidate: str = ""
    share: Annotated[float, Meta(ge=0, le=1)] = 0.0
    peak: Annotated[float, Meta(ge=0, le=1)] = 0.0
    withdrawn: bool = False
    step: int = -1
    next: Annotated[float, Meta(ge=0, le=1)] = 0.0
    done: bool = False


def shown(split: Split) -> Share:
    """A split as it crosses the wire: the same names."""
    return convert(split, Share, from_attributes=True)


def split_of(share: Share) -> Split:
    return convert(share, Split, from_attributes=True)


class Plan(Message, tag="plan"):
    """Shares that changed since the number that the edge has; all of them where `whole`."""

    number: Number
    epoch: Number
    shares: list[Share]
    whole: bool = False


class Beat(Message, tag="beat"):
    """An edge asks, with a moment of its own clock and the plan it has; the planner answers with that
    moment."""

    asked: Annotated[int, Meta(ge=0)]
    has: int = -1


class Counts(Message, tag="counts"):
    """An edge's running counts of a minute: settled, bad of them, candidate, bad of them."""

    function: Name = field(name="fn")
    candidate: Name
    step: int
    minute: int
    counts: tuple[Number, Number, Number, Number]


class Warm(Message, tag="warm"):
    """The share that the copies of both versions stand for as far as this edge can tell, and what is missing
    for more; each second."""

    function: Name = field(name="fn")
    candidate: Name
    share: Annotated[float, Meta(ge=0, le=1)] = 0.0
    lacks: str = ""


class Order(Message, tag="order"):
    """An operator's command; one `id` is answered once and for all."""

    id: Name
    what: Literal["start", "advance", "hold", "resume", "back"]
    function: Name = field(name="fn")
    who: Name
    why: str = ""
    candidate: str = ""
    steps: tuple[float, ...] = (0.01, 0.05, 0.25, 1.0)
    remembered: Annotated[float, Meta(ge=0, le=86_400_000)] = 60_000.0


class Reply(Message, tag="reply"):
    """What an order came to; it is on disk when this is said. `behind`: edges that do not go by it yet."""

    id: Name
    outcome: str
    says: str
    state: str
    share: float
    number: Number
    behind: list[str] = field(default_factory=list)


class Ask(Message, tag="ask"):
    """An operator asks how things stand."""


class RolloutStatus(Struct):
    function: str = field(name="fn")
    settled: str
    candidate: str
    state: str
    share: float
    step: int
    counts: tuple[int, int, int, int]
    harm: float
    good: float
    history: list[tuple[float, str, str, str, str]]  # ms, who, why, input, state
    next: float = 0.0
    waits: dict[str, str] = field(default_factory=dict)  # edges without copies for the next share, and why


class Status(Message, tag="status"):
    number: Number
    epoch: Number
    rollouts: list[RolloutStatus]
    edges: dict[str, int]  # the plan that each edge has


FromPlanner = Hello | Plan | Beat | Reply | Status | Fault | Bye
ToPlanner = Hello | Beat | Counts | Warm | Order | Ask | Bye

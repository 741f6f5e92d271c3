"""The planner's state machine: all rollouts, as the outcome of its entries in order. Free of I/O.

Everything that changes anything is an entry: an operator's command, an edge's report, a tick.
`PlannerState.apply` is the only way in, so the same entries give the same state after a restart, and an entry
is written before it is applied. Plans are numbered by the entry that changed them; an edge that knows a
number is told what changed since.
"""

from dataclasses import dataclass, field
from itertools import pairwise
from typing import Annotated, Literal

import msgspec
from msgspec import Meta, Struct

from lapistrestle.rollout.evidence import Findings, Tally
from lapistrestle.rollout.life import NOTHING, REFUSED, Input, Rollout, State
from lapistrestle.rollout.versions import Split

Name = Annotated[str, Meta(min_length=1, max_length=200)]
OVER = (State.SETTLED, State.WITHDRAWN)
STEPS = (0.01, 0.05, 0.25, 1.0)  # shares of a candidate, unless a command names others
REMEMBERED = 600_000  # tenths of a millisecond for which clients may still bring tokens of a version


class Entry(Struct, tag_field="is", omit_defaults=True, kw_only=True):
    """What all entries share: `at`, in tenths of a millisecond since the planner's first start."""

    at: int


class Command(Entry, tag="command"):
    """An operator's. `id` is the command's own: one that comes twice is answered as the first time."""

    id: Name
    what: Literal["start", "advance", "hold", "resume", "back"]
    function: Name = msgspec.field(name="fn")
    who: Name
    why: str = ""
    candidate: str = ""
    steps: tuple[float, ...] = STEPS
    remembered: int = REMEMBERED


class Report(Entry, tag="report"):
    """An edge's running counts of one minute of one candidate's step; `start` differs at each of its
    starts."""

    edge: Name
    start: str
    function: Name = msgspec.field(name="fn")
    candidate: str
    step: int
    minute: int
    counts: tuple[int, int, int, int]


class Tick(Entry, tag="look"):
    """Time has passed; `warm` names the functions whose next step's copies stand."""

    warm: tuple[str, ...] = ()


AnyEntry = Command | Report | Tick
ENTRY = msgspec.json.Decoder(AnyEntry)
encode = msgspec.json.Encoder().encode


@dataclass(frozen=True)
class Reply:
    """What a command came to."""

    outcome: str
    says: str
    state: str
    share: float
    number: int


@dataclass
class PlannerState:
    """All rollouts, as of the entries applied."""

    number: int = 0
    rollouts: dict[str, Rollout] = field(default_factory=dict)  # by function: the newest
    ended: list[Rollout] = field(default_factory=list)  # those before it
    settled: dict[str, str] = field(default_factory=dict)
    replies: dict[str, Reply] = field(default_factory=dict)
    changed: dict[str, int] = field(default_factory=dict)  # by function: the entry that changed its split

    def apply(self, number: int, entry: AnyEntry) -> Reply | None:
        """Apply the entry of that number; returns a command's reply. Raises ValueError where it does not
        follow the last."""
        if number != self.number + 1:
            raise ValueError(f"entry {number} does not follow {self.number}")
        self.number = number
        before = {function: rollout.split() for function, rollout in self.rollouts.items()}
        reply = None
        match entry:
            case Command():
                reply = self.command(entry)
            case Report():
                self.report(entry)
            case Tick():
                self.tick(entry)
        for function, rollout in self.rollouts.items():
            if rollout.state is State.SETTLED:
                self.settled[function] = rollout.candidate
            elif self.settled.get(function) == rollout.candidate:
                self.settled[function] = rollout.settled  # it had settled, and was taken back
            if before.get(function) != rollout.split():
                self.changed[function] = number
        return reply

    def command(self, command: Command) -> Reply:
        """A command that comes twice is answered as the first time."""
        known = self.replies.get(command.id)
        if known is not None:
            return known
        outcome, says = self.start(command) if command.what == "start" else self.steer(command)
        rollout = self.rollouts.get(command.function)
        state, share = (rollout.state.name.lower(), rollout.share) if rollout else ("none", 0.0)
        reply = self.replies[command.id] = Reply(outcome, says, state, share, self.number)
        return reply

    def start(self, command: Command) -> tuple[str, str]:
        """Begin a rollout. Returns the outcome and what it says."""
        function, candidate = command.function, command.candidate
        running = self.rollouts.get(function)
        if running is not None and running.state not in OVER:
            if running.candidate == candidate and running.state is not State.WITHDRAWING:
                return NOTHING, f"{candidate} is being rolled out already"
            return (
                REFUSED,
                f"{function} has {running.candidate} {running.state.name.lower()}; take that back first",
            )
        steps = command.steps
        rising = all(a < b for a, b in pairwise(steps))
        if not steps or not rising or steps[0] <= 0 or steps[-1] != 1:
            return REFUSED, f"steps are {list(steps)}; shares must rise from above 0 to 1"
        settled = self.settled.get(function, "")
        if not candidate or candidate == settled:
            return NOTHING if candidate else REFUSED, f"{candidate or 'no version'} is what {function} runs"
        if running is not None and running.kept:
            return REFUSED, f"{settled} settled lately, and clients may still come back to it; wait"
        if running is not None:
            self.ended.append(running)
        made = self.rollouts[function] = Rollout(function, settled, candidate, steps, command.remembered)
        outcome = made.tell(Input.START, command.at, command.who, command.why)
        return outcome, f"{settled or 'none'} to {candidate}"

    def steer(self, command: Command) -> tuple[str, str]:
        """Move the rollout under way. Returns the outcome and what it says."""
        rollout = self.rollouts.get(command.function)
        if rollout is None:
            return REFUSED, f"{command.function} has no rollout"
        if command.candidate and command.candidate != rollout.candidate:
            return REFUSED, f"{command.function} has {rollout.candidate}, not {command.candidate}"
        outcome = rollout.tell(Input[command.what.upper()], command.at, command.who, command.why)
        if rollout.urged:
            return outcome, f"{rollout.candidate} goes to {rollout.next:.0%} within two seconds"
        return outcome, f"{rollout.candidate} is {rollout.state.name.lower()} at {rollout.share:.0%}"

    def report(self, report: Report) -> None:
        """Evidence of another step, or of a candidate that is gone, is none."""
        rollout = self.rollouts.get(report.function)
        if rollout is not None and (rollout.candidate, rollout.step) == (report.candidate, report.step):
            rollout.evidence.report(report.edge, report.start, report.minute, Tally(*report.counts))

    def running(self) -> dict[str, Rollout]:
        """Those that the clock or the evidence may still move."""
        return {function: r for function, r in self.rollouts.items() if r.state not in OVER or r.kept}

    def tick(self, tick: Tick) -> dict[str, Findings]:
        """Let the clock and the evidence move what runs."""
        return {
            function: rollout.look(tick.at, function in tick.warm)
            for function, rollout in self.running().items()
        }

    # what edges are told

    def plan(self, after: int = -1) -> dict[str, Split]:
        """Splits that changed after that number; all of them where none is known."""
        return {
            function: r.split()
            for function, r in self.rollouts.items()
            if self.changed.get(function, 0) > after
        }

"""The planner's state machine: all rollouts, as the outcome of its entries in order. Free of I/O.

Everything that changes anything is an entry: an operator's command, an edge's report, a tick.
`PlannerState.apply` is the only way in, so the same entries give the same state after a restart, and an entry
is written before it is applied. Plans are numbered by the entry that changed them; an edge that knows a
number is told what changed since.
"""

from dataclasses import dataclass, field
from itertools import pairwise
from typing import Annotated

import msgspec
from msgspec import Meta, Struct

from lapistrestle.rollout.evidence import OutcomeCounts, Verdict
from lapistrestle.rollout.state_machine import Rollout, RolloutInput, RolloutState
from lapistrestle.rollout_types import DEFAULT_STEPS, CommandOutcome, RolloutAction, TrafficSplit

Name = Annotated[str, Meta(min_length=1, max_length=200)]
OVER = (RolloutState.SETTLED, RolloutState.WITHDRAWN)
DEFAULT_RETENTION = 600_000  # tenths of a millisecond for which clients may still bring tokens of a version


class Entry(Struct, tag_field="is", omit_defaults=True, kw_only=True):
    """What all entries share: `at`, in tenths of a millisecond since the planner's first start."""

    at: int


class CommandEntry(Entry, tag="command"):
    """An operator's. `id` is the command's own: one that comes twice is answered as the first time."""

    id: Name
    action: RolloutAction = msgspec.field(name="what")
    fn: Name
    operator: Name = msgspec.field(name="who")
    reason: str = msgspec.field(default="", name="why")
    candidate: str = ""
    steps: tuple[float, ...] = DEFAULT_STEPS
    retention: int = msgspec.field(default=DEFAULT_RETENTION, name="remembered")


class OutcomeEntry(Entry, tag="report"):
    """An edge's running counts of one minute of one candidate's step; `start` differs at each of its
    starts."""

    edge: Name
    start: str
    fn: Name
    candidate: str
    step: int
    minute: int
    counts: tuple[int, int, int, int]


class TickEntry(Entry, tag="look"):
    """Time has passed; `warm` names the functions whose next step's copies stand."""

    functions_ready: tuple[str, ...] = msgspec.field(default=(), name="warm")


AnyEntry = CommandEntry | OutcomeEntry | TickEntry
ENTRY_DECODER = msgspec.json.Decoder(AnyEntry)
encode_entry = msgspec.json.Encoder().encode


@dataclass(frozen=True)
class CommandResult:
    """What a command came to."""

    outcome: CommandOutcome
    message: str
    state: str
    weight: float
    number: int


@dataclass
class PlannerState:
    """All rollouts, as of the entries applied."""

    number: int = 0
    rollouts: dict[str, Rollout] = field(default_factory=dict)  # by function: the newest
    ended: list[Rollout] = field(default_factory=list)  # those before it
    settled: dict[str, str] = field(default_factory=dict)
    replies: dict[str, CommandResult] = field(default_factory=dict)
    changed: dict[str, int] = field(default_factory=dict)  # by function: the entry that changed its split

    def apply(self, number: int, entry: AnyEntry) -> CommandResult | None:
        """Apply the entry of that number; returns a command's reply. Raises ValueError where it does not
        follow the last."""
        if number != self.number + 1:
            raise ValueError(f"entry {number} does not follow {self.number}")
        self.number = number
        before = {fn: rollout.split() for fn, rollout in self.rollouts.items()}
        reply = None
        match entry:
            case CommandEntry():
                reply = self.command(entry)
            case OutcomeEntry():
                self.report(entry)
            case TickEntry():
                self.tick(entry)
        for fn, rollout in self.rollouts.items():
            if rollout.state is RolloutState.SETTLED:
                self.settled[fn] = rollout.candidate
            elif self.settled.get(fn) == rollout.candidate:
                self.settled[fn] = rollout.settled  # it had settled, and was taken back
            if before.get(fn) != rollout.split():
                self.changed[fn] = number
        return reply

    def command(self, command: CommandEntry) -> CommandResult:
        """A command that comes twice is answered as the first time."""
        known = self.replies.get(command.id)
        if known is not None:
            return known
        outcome, message = self.start(command) if command.action == "start" else self.steer(command)
        rollout = self.rollouts.get(command.fn)
        state, weight = (rollout.state.name.lower(), rollout.weight) if rollout else ("none", 0.0)
        reply = self.replies[command.id] = CommandResult(outcome, message, state, weight, self.number)
        return reply

    def start(self, command: CommandEntry) -> tuple[CommandOutcome, str]:
        """Begin a rollout. Returns the outcome and what it says."""
        fn, candidate = command.fn, command.candidate
        running = self.rollouts.get(fn)
        if running is not None and running.state not in OVER:
            if running.candidate == candidate and running.state is not RolloutState.WITHDRAWING:
                return CommandOutcome.NOTHING_TO_DO, f"{candidate} is being rolled out already"
            return (
                CommandOutcome.REFUSED,
                f"{fn} has {running.candidate} {running.state.name.lower()}; take that back first",
            )
        steps = command.steps
        rising = all(a < b for a, b in pairwise(steps))
        if not steps or not rising or steps[0] <= 0 or steps[-1] != 1:
            return CommandOutcome.REFUSED, f"steps are {list(steps)}; shares must rise from above 0 to 1"
        settled = self.settled.get(fn, "")
        if not candidate or candidate == settled:
            return (
                CommandOutcome.NOTHING_TO_DO if candidate else CommandOutcome.REFUSED,
                f"{candidate or 'no version'} is what {fn} runs",
            )
        if running is not None and running.previous_retained:
            return (
                CommandOutcome.REFUSED,
                f"{settled} settled lately, and clients may still come back to it; wait",
            )
        if running is not None:
            self.ended.append(running)
        made = self.rollouts[fn] = Rollout(fn, settled, candidate, steps, command.retention)
        outcome = made.handle(RolloutInput.START, command.at, command.operator, command.reason)
        return outcome, f"{settled or 'none'} to {candidate}"

    def steer(self, command: CommandEntry) -> tuple[CommandOutcome, str]:
        """Move the rollout under way. Returns the outcome and what it says."""
        rollout = self.rollouts.get(command.fn)
        if rollout is None:
            return CommandOutcome.REFUSED, f"{command.fn} has no rollout"
        if command.candidate and command.candidate != rollout.candidate:
            return CommandOutcome.REFUSED, f"{command.fn} has {rollout.candidate}, not {command.candidate}"
        outcome = rollout.handle(RolloutInput(command.action), command.at, command.operator, command.reason)
        if rollout.advance_requested:
            return outcome, f"{rollout.candidate} goes to {rollout.next_weight:.0%} within two seconds"
        return outcome, f"{rollout.candidate} is {rollout.state.name.lower()} at {rollout.weight:.0%}"

    def report(self, report: OutcomeEntry) -> None:
        """Evidence of another step, or of a candidate that is gone, is none."""
        rollout = self.rollouts.get(report.fn)
        if rollout is not None and (rollout.candidate, rollout.step) == (report.candidate, report.step):
            rollout.evidence.add_report(
                report.edge, report.start, report.minute, OutcomeCounts(*report.counts)
            )

    def running(self) -> dict[str, Rollout]:
        """Those that the clock or the evidence may still move."""
        return {fn: r for fn, r in self.rollouts.items() if r.state not in OVER or r.previous_retained}

    def tick(self, tick: TickEntry) -> dict[str, Verdict]:
        """Let the clock and the evidence move what runs."""
        return {
            fn: rollout.evaluate(tick.at, fn in tick.functions_ready)
            for fn, rollout in self.running().items()
        }

    # what edges are told

    def plan(self, after: int = -1) -> dict[str, TrafficSplit]:
        """Splits that changed after that number; all of them where none is known."""
        return {fn: r.split() for fn, r in self.rollouts.items() if self.changed.get(fn, 0) > after}

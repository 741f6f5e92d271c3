"""The planner's state: all rollouts, computed from the journal's entries in order. Free of I/O.

Only entries (`planner/entries.py`) change the state: an operator's command, an edge's counts, a tick. They
are written before `PlannerState.apply` applies them, so that replaying the journal after a restart gives the
same state. A plan has the number of the entry that changed it; an edge that has a plan is sent the changes
since. `docs/rollout.md` gives the reasons.
"""

from collections.abc import Sequence
from dataclasses import dataclass, field
from itertools import pairwise

from lapistrestle.planner.entries import CommandEntry, JournalEntry, OutcomeEntry, TickEntry
from lapistrestle.rollout.evidence import OutcomeCounts, Verdict
from lapistrestle.rollout.state_machine import FINAL_STATES, Rollout, RolloutInput, RolloutState
from lapistrestle.rollout_types import CommandOutcome, TrafficSplit


class EntryOrderError(ValueError):
    """An entry's number does not follow that of the last applied entry, `last`."""

    def __init__(self, number: int, last: int) -> None:
        super().__init__(f"entry {number} does not follow {last}")
        self.number = number
        self.last = last


@dataclass(frozen=True)
class CommandResult:
    """The result of a command.

    `message` describes it for people; `state` and `weight` are those of the rollout after the command (`none`
    and 0 if the function has no rollout); `number` is that of the command's entry.
    """

    outcome: CommandOutcome
    message: str
    state: str
    weight: float
    number: int


@dataclass
class PlannerState:
    """All rollouts as of the last applied entry, `number`.

    By function, `rollouts` are the newest rollouts, `settled_versions` the versions that run without a
    rollout, and `changed_at` the entries that last changed the splits. `past_rollouts` were replaced by newer
    ones; `results` are the answers to commands by their ids.
    """

    number: int = 0
    rollouts: dict[str, Rollout] = field(default_factory=dict)
    past_rollouts: list[Rollout] = field(default_factory=list)
    settled_versions: dict[str, str] = field(default_factory=dict)
    results: dict[str, CommandResult] = field(default_factory=dict)
    changed_at: dict[str, int] = field(default_factory=dict)

    def apply(self, number: int, entry: JournalEntry) -> CommandResult | None:
        """Apply the entry of that number and return a command's result.

        Raises EntryOrderError if the number does not follow the last one.
        """
        if number != self.number + 1:
            raise EntryOrderError(number, self.number)
        self.number = number
        splits_before = {function: rollout.split() for function, rollout in self.rollouts.items()}
        result = None
        match entry:
            case CommandEntry():
                result = self.execute(entry)
            case OutcomeEntry():
                self.record_outcomes(entry)
            case TickEntry():
                self.evaluate(entry)
        for function, rollout in self.rollouts.items():
            self._update_settled_version(function, rollout)
            if splits_before.get(function) != rollout.split():
                self.changed_at[function] = number
        return result

    def execute(self, command: CommandEntry) -> CommandResult:
        """Execute a command; a repeated one gets the first result again."""
        known = self.results.get(command.id)
        if known is not None:
            return known
        if command.action == "start":
            outcome, message = self.start_rollout(command)
        else:
            outcome, message = self.steer_rollout(command)
        rollout = self.rollouts.get(command.function)
        state = rollout.state.value if rollout else "none"
        weight = rollout.weight if rollout else 0.0
        result = CommandResult(outcome, message, state, weight, self.number)
        self.results[command.id] = result
        return result

    def start_rollout(self, command: CommandEntry) -> tuple[CommandOutcome, str]:
        """Start a rollout. Return the outcome and its message."""
        objection = self._objection_to_start(command)
        if objection is not None:
            return objection
        previous = self.rollouts.get(command.function)
        if previous is not None:
            self.past_rollouts.append(previous)
        settled = self.settled_versions.get(command.function, "")
        rollout = Rollout(command.function, settled, command.candidate, command.steps, command.retention)
        self.rollouts[command.function] = rollout
        outcome = rollout.handle(RolloutInput.START, command.at, command.operator, command.reason)
        return outcome, f"{settled or 'none'} to {command.candidate}"

    def steer_rollout(self, command: CommandEntry) -> tuple[CommandOutcome, str]:
        """Apply a command to the function's newest rollout. Return the outcome and its message."""
        rollout = self.rollouts.get(command.function)
        if rollout is None:
            return CommandOutcome.REFUSED, f"{command.function} has no rollout"
        if command.candidate and command.candidate != rollout.candidate:
            message = f"{command.function} has {rollout.candidate}, not {command.candidate}"
            return CommandOutcome.REFUSED, message
        action = RolloutInput(command.action)
        outcome = rollout.handle(action, command.at, command.operator, command.reason)
        if rollout.advance_requested:
            return outcome, f"{rollout.candidate} goes to {rollout.next_weight:.0%} within two seconds"
        return outcome, f"{rollout.candidate} is {rollout.state.value} at {rollout.weight:.0%}"

    def record_outcomes(self, entry: OutcomeEntry) -> None:
        """Add an edge's counts to the evidence; those of another step or candidate are ignored."""
        rollout = self.rollouts.get(entry.function)
        if rollout is None or (rollout.candidate, rollout.step) != (entry.candidate, entry.step):
            return
        rollout.evidence.add_report(entry.edge, entry.start, entry.minute, OutcomeCounts(*entry.counts))

    def evaluate(self, tick: TickEntry) -> dict[str, Verdict]:
        """Evaluate the active rollouts; return the verdicts by function."""
        return {
            function: rollout.evaluate(tick.at, function in tick.functions_ready)
            for function, rollout in self.active_rollouts().items()
        }

    def active_rollouts(self) -> dict[str, Rollout]:
        """Return, by function, the rollouts that time or evidence may still change."""
        return {
            function: rollout
            for function, rollout in self.rollouts.items()
            if rollout.state not in FINAL_STATES or rollout.previous_retained
        }

    def splits_changed_after(self, number: int = -1) -> dict[str, TrafficSplit]:
        """Return, by function, the splits that changed after that entry; by default all."""
        return {
            function: rollout.split()
            for function, rollout in self.rollouts.items()
            if self.changed_at.get(function, 0) > number
        }

    def _objection_to_start(self, command: CommandEntry) -> tuple[CommandOutcome, str] | None:
        """Return why this command can't start a rollout, or None if it can."""
        latest = self.rollouts.get(command.function)
        if latest is not None and latest.state not in FINAL_STATES:
            return _objection_of_running(latest, command.candidate)
        settled = self.settled_versions.get(command.function, "")
        if not steps_are_valid(command.steps):
            message = f"steps are {list(command.steps)}; shares must rise from above 0 to 1"
        elif not command.candidate:
            message = f"no version is what {command.function} runs"
        elif command.candidate == settled:
            return CommandOutcome.NOTHING_TO_DO, f"{settled} is what {command.function} runs"
        elif latest is not None and latest.previous_retained:
            message = f"{settled} settled lately, and clients may still come back to it; wait"
        else:
            return None
        return CommandOutcome.REFUSED, message

    def _update_settled_version(self, function: str, rollout: Rollout) -> None:
        if rollout.state is RolloutState.SETTLED:
            self.settled_versions[function] = rollout.candidate
        elif self.settled_versions.get(function) == rollout.candidate:
            self.settled_versions[function] = rollout.settled  # a settled candidate was rolled back


def _objection_of_running(rollout: Rollout, candidate: str) -> tuple[CommandOutcome, str]:
    """Return why no rollout of `candidate` can start while one is running."""
    if rollout.candidate == candidate and rollout.state is not RolloutState.WITHDRAWING:
        return CommandOutcome.NOTHING_TO_DO, f"{candidate} is being rolled out already"
    message = f"{rollout.function} has {rollout.candidate} {rollout.state.value}; take that back first"
    return CommandOutcome.REFUSED, message


def steps_are_valid(steps: Sequence[float]) -> bool:
    """Return whether the weights rise strictly from above 0 to 1."""
    rising = all(earlier < later for earlier, later in pairwise(steps))
    return bool(steps) and rising and steps[0] > 0 and steps[-1] == 1

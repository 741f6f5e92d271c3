"""The life of one rollout: a table of state, input, next state and effect, read by a short loop."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from enum import Enum

from lapistrestle.rollout.evidence import Evidence, Findings
from lapistrestle.rollout.versions import Split

State = Enum("State", "PROPOSED WARMING GROWING HELD SETTLED WITHDRAWING WITHDRAWN")
Input = Enum("Input", "START WARM COLD GROW BAD ADVANCE HOLD RESUME BACK FORGOTTEN")
MOST = 0.9  # until it settles, a part stays behind as what it is judged by, and stays loaded

DONE, NOTHING, REFUSED = "done", "nothing to do", "refused"


@dataclass
class Rollout:
    """One candidate of one function. `steps` are its shares in turn; the last is 1."""

    fn: str
    settled: str
    candidate: str
    steps: tuple[float, ...]
    remembered: int  # for how long clients may come back from it
    state: State = State.PROPOSED
    step: int = -1  # in `steps`; -1: no share yet
    peak: float = 0.0
    since: int = 0  # when this state began
    evidence: Evidence = field(default_factory=Evidence)
    # when, who, why, input and state
    history: list[tuple[int, str, str, str, str]] = field(default_factory=list)

    @property
    def share(self) -> float:
        growing = self.state in (State.GROWING, State.HELD) and self.step >= 0
        part = min(self.steps[self.step], MOST) if growing else 0.0
        return 1.0 if self.state is State.SETTLED else part

    def split(self) -> Split:
        """What edges are told."""
        if self.state is State.SETTLED:
            return Split(self.fn, self.candidate)
        if self.state in (State.PROPOSED, State.WITHDRAWN):
            return Split(self.fn, self.settled)
        back = self.state is State.WITHDRAWING
        return Split(self.fn, self.settled, self.candidate, self.share, self.peak, back, self.step)

    def tell(self, given: Input, now: int, who: str = "planner", why: str = "") -> str:
        """An input; what came of it. What a state has no answer for is refused, what is so already is
        nothing."""
        if self.state in ALREADY.get(given, ()):
            return NOTHING
        after = LIFE.get((self.state, given))
        if after is None:
            return REFUSED
        before, (self.state, effect) = self.state, after
        effect(self)
        self.peak = max(self.peak, self.share)
        if self.state is not before:
            self.since = now
        self.history.append((now, who, why, given.name.lower(), self.state.name.lower()))
        return DONE

    def look(self, now: int, warm: bool) -> Findings:
        """Once in a while: what the evidence, the loads and the clock say. `warm`: the next step's copies
        stand."""
        findings = self.evidence.findings()
        if findings.turn_back and (self.state, Input.BAD) in LIFE:
            self.tell(Input.BAD, now, why=f"harm {findings.harm:.1f}")
        elif self.state is State.WARMING:
            self.tell(Input.WARM if warm else Input.COLD, now)
        elif self.state is State.GROWING and findings.may_grow and warm:
            self.tell(Input.GROW, now, why=f"good {findings.good:.1f}")
        elif self.state is State.WITHDRAWING and now - self.since >= self.remembered:
            self.tell(Input.FORGOTTEN, now)
        return findings

    # effects

    def nothing(self) -> None: ...

    def grow(self) -> None:
        """The next step is judged by itself, so that a fault that shows only at load can't hide behind the
        last."""
        self.evidence = Evidence()
        if self.step + 1 < len(self.steps):
            self.step += 1
        else:
            self.state = State.SETTLED

    def resume(self) -> None:
        """Held before its copies stood: they come first."""
        if self.step < 0:
            self.state = State.WARMING

    def advance(self) -> None:
        self.resume()
        if self.state is State.GROWING:
            self.grow()

    def take_back(self) -> None:
        self.step = -1


ALREADY: Mapping[Input, tuple[State, ...]] = {
    Input.HOLD: (State.HELD,),
    Input.BACK: (State.WITHDRAWING, State.WITHDRAWN),
    Input.START: (State.WARMING, State.GROWING, State.SETTLED),
    Input.RESUME: (State.WARMING, State.GROWING),
}
_ = Rollout
Effect = Callable[[Rollout], None]
LIFE: dict[tuple[State, Input], tuple[State, Effect]] = {
    (State.PROPOSED, Input.START): (State.WARMING, _.nothing),
    (State.PROPOSED, Input.BACK): (State.WITHDRAWN, _.take_back),
    (State.WARMING, Input.WARM): (State.GROWING, _.grow),
    (State.WARMING, Input.HOLD): (State.HELD, _.nothing),
    (State.WARMING, Input.BACK): (State.WITHDRAWING, _.take_back),
    (State.GROWING, Input.GROW): (State.GROWING, _.grow),
    (State.GROWING, Input.ADVANCE): (State.GROWING, _.grow),
    (State.GROWING, Input.HOLD): (State.HELD, _.nothing),
    (State.GROWING, Input.BAD): (State.WITHDRAWING, _.take_back),
    (State.GROWING, Input.BACK): (State.WITHDRAWING, _.take_back),
    (State.HELD, Input.RESUME): (State.GROWING, _.resume),
    (State.HELD, Input.ADVANCE): (State.GROWING, _.advance),
    (State.HELD, Input.BAD): (State.WITHDRAWING, _.take_back),
    (State.HELD, Input.BACK): (State.WITHDRAWING, _.take_back),
    (State.WITHDRAWING, Input.FORGOTTEN): (State.WITHDRAWN, _.nothing),
}

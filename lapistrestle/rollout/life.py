"""The life of one rollout: a table of state, input, next state and effect, read by a short loop."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from enum import Enum

from lapistrestle.rollout.evidence import Evidence, Findings
from lapistrestle.rollout.versions import Split

State = Enum("State", "PROPOSED WARMING GROWING HELD SETTLED WITHDRAWING WITHDRAWN")
Input = Enum("Input", "START TELL WARM GROW BAD ADVANCE HOLD RESUME BACK FORGOTTEN")
MOST = 0.9  # until it settles, a part stays behind as what it is judged by, and stays loaded
AHEAD = 10_000  # tenths of a millisecond; the plan of an edge with a lease is no older

DONE, NOTHING, REFUSED = "done", "nothing to do", "refused"


@dataclass
class Rollout:
    """One candidate of one function. `steps` are its shares in turn; the last is 1."""

    function: str
    settled: str
    candidate: str
    steps: tuple[float, ...]
    remembered: int  # for how long clients may come back from it
    state: State = State.PROPOSED
    step: int = -1  # in `steps`; -1: no share yet
    peak: float = 0.0
    since: int = 0  # when this state began
    told: int | None = None  # when edges were told that the next step comes
    urged: bool = False  # it comes without evidence
    kept: bool = False  # settled, and the version before it is still kept
    evidence: Evidence = field(default_factory=Evidence)
    # when, who, why, input and state
    history: list[tuple[int, str, str, str, str]] = field(default_factory=list)

    @property
    def share(self) -> float:
        growing = self.state in (State.GROWING, State.HELD) and self.step >= 0
        part = min(self.steps[self.step], MOST) if growing else 0.0
        return 1.0 if self.state is State.SETTLED else part

    @property
    def next(self) -> float:
        """The share after this one; its copies come first."""
        last = self.step + 1 >= len(self.steps) or self.state is State.SETTLED
        return 1.0 if last else min(self.steps[self.step + 1], MOST)

    def split(self) -> Split:
        """What edges are told. The peak comes before its step, so that no edge with a lease takes a key for
        one that can't have met the candidate yet."""
        if self.state is State.SETTLED and not self.kept:
            return Split(self.function, self.candidate)
        if self.state in (State.PROPOSED, State.WITHDRAWN):
            return Split(self.function, self.settled)
        back, done = self.state is State.WITHDRAWING, self.state is State.SETTLED
        peak = self.peak if back or self.told is None else max(self.peak, self.next)
        ahead = 0.0 if back else self.next
        return Split(
            self.function, self.settled, self.candidate, self.share, peak, back, self.step, ahead, done
        )

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
        if given is Input.TELL:
            self.told = now
            return DONE
        if self.state is not before:
            self.since = now
        self.history.append((now, who, why, given.name.lower(), self.state.name.lower()))
        return DONE

    def look(self, now: int, warm: bool) -> Findings:
        """Once in a while: what the evidence, the loads and the clock say. `warm`: the next step's copies
        stand."""
        findings = self.evidence.findings()
        given: Input | None = None
        why = ""
        if findings.turn_back and (self.state, Input.BAD) in LIFE:
            given, why = Input.BAD, f"harm {findings.harm:.1f}"
        elif self.state is State.WARMING and warm:
            given = Input.WARM
        elif self.state is State.GROWING and self.urged:
            given, why = Input.GROW, "advance"
        elif self.state is State.GROWING and findings.may_grow and warm:
            given, why = Input.GROW, f"good {findings.good:.1f}"
        elif (self.state is State.WITHDRAWING or self.kept) and now - self.since >= self.remembered:
            given = Input.FORGOTTEN
        if given in STEPS and self.told is None:
            given = Input.TELL
        elif given in STEPS and self.told is not None and now - self.told < AHEAD:
            given = None
        if given is not None:
            self.tell(given, now, why=why)
        return findings

    # effects

    def nothing(self) -> None: ...

    def grow(self) -> None:
        """The next step is judged by itself, so that a fault that shows only at load can't hide behind the
        last."""
        self.evidence, self.told, self.urged = Evidence(), None, False
        if self.step + 1 < len(self.steps):
            self.step += 1
        else:
            self.state, self.kept = State.SETTLED, True

    def hold(self) -> None:
        self.urged = False

    def let_go(self) -> None:
        self.kept = False

    def resume(self) -> None:
        """Held before its copies stood: they come first."""
        if self.step < 0:
            self.state = State.WARMING

    def advance(self) -> None:
        self.resume()
        self.urged = self.state is State.GROWING

    def take_back(self) -> None:
        self.step, self.kept, self.told, self.urged = -1, False, None, False


ALREADY: Mapping[Input, tuple[State, ...]] = {
    Input.HOLD: (State.HELD,),
    Input.BACK: (State.WITHDRAWING, State.WITHDRAWN),
    Input.START: (State.WARMING, State.GROWING, State.SETTLED),
    Input.RESUME: (State.WARMING, State.GROWING),
}
STEPS = (Input.WARM, Input.GROW)
_ = Rollout
Effect = Callable[[Rollout], None]
LIFE: dict[tuple[State, Input], tuple[State, Effect]] = {
    (State.PROPOSED, Input.START): (State.WARMING, _.nothing),
    (State.PROPOSED, Input.BACK): (State.WITHDRAWN, _.take_back),
    (State.WARMING, Input.TELL): (State.WARMING, _.nothing),
    (State.GROWING, Input.TELL): (State.GROWING, _.nothing),
    (State.WARMING, Input.WARM): (State.GROWING, _.grow),
    (State.WARMING, Input.HOLD): (State.HELD, _.nothing),
    (State.WARMING, Input.BACK): (State.WITHDRAWING, _.take_back),
    (State.GROWING, Input.GROW): (State.GROWING, _.grow),
    (State.GROWING, Input.ADVANCE): (State.GROWING, _.advance),
    (State.GROWING, Input.HOLD): (State.HELD, _.hold),
    (State.GROWING, Input.BAD): (State.WITHDRAWING, _.take_back),
    (State.GROWING, Input.BACK): (State.WITHDRAWING, _.take_back),
    (State.HELD, Input.RESUME): (State.GROWING, _.resume),
    (State.HELD, Input.ADVANCE): (State.GROWING, _.advance),
    (State.HELD, Input.BAD): (State.WITHDRAWING, _.take_back),
    (State.HELD, Input.BACK): (State.WITHDRAWING, _.take_back),
    (State.SETTLED, Input.BACK): (State.WITHDRAWING, _.take_back),
    (State.SETTLED, Input.FORGOTTEN): (State.SETTLED, _.let_go),
    (State.WITHDRAWING, Input.FORGOTTEN): (State.WITHDRAWN, _.nothing),
}

"""Which version of a function an RPC goes to.

An RPC's point in [0, 1) follows from what stays the same over its client's tries, so a share that grows
only adds keys, and a further try meets the version of the first, at whichever edge. What is withdrawn
overrides that.
"""

from dataclasses import dataclass, field
from enum import Enum
from hashlib import blake2b

Course = Enum("Course", "SETTLED CANDIDATE ABORT")


@dataclass(frozen=True)
class Split:
    """What an edge holds of one function: `share` of the keys go to `candidate`, the rest to `settled`.

    `peak` is the largest share that the candidate has had: keys below it may have met it. A withdrawn
    candidate has no share but keeps its peak until clients can no longer come back from it.
    """

    fn: str
    settled: str
    candidate: str = ""
    share: float = 0.0
    peak: float = 0.0
    withdrawn: bool = False
    step: int = field(default=-1, compare=False)


def point(fn: str, candidate: str, key: str) -> float:
    """Where this key lies. The candidate's name is in it, so that not always the same keys go first."""
    digest = blake2b(f"{fn}\0{candidate}\0{key}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big") / 2**64


def key_of(key: str, token: int | None, tag: str) -> str:
    """What stays the same over a client's tries: its own key, else the token, else nothing but this try's
    id."""
    return f"k{key}" if key else f"t{token}" if token is not None else f"i{tag}"


# what an RPC gets: by whether its key lies within the share, within the peak, and whether it may repeat work
# that ran on the withdrawn version where its token is not known elsewhere
COURSES: dict[tuple[bool, bool, bool], Course] = {
    (True, True, False): Course.CANDIDATE,
    (True, True, True): Course.CANDIDATE,  # its first try met the candidate too
    (False, True, False): Course.SETTLED,
    (False, True, True): Course.ABORT,
    (False, False, False): Course.SETTLED,
    (False, False, True): Course.SETTLED,  # its first try never met the candidate
}


def course(split: Split, key: str, kind: str, repeat: bool, tokens_span: bool) -> Course:
    """What an RPC gets.

    Idempotent ones go wherever the share says. A side-effecting one comes back only after a denial, which
    promised that nothing ran, so it is new wherever it goes. A tokened one that comes back may have run on
    the candidate: where runners know tokens across versions (`tokens_span`) the settled version drops it;
    where they do not it would run again as if it were new, so it is aborted, which promises nothing (rule
    2). Without a mark for repeats every tokened RPC below the peak counts as one: hand `repeat` true then.
    """
    if not split.candidate:
        return Course.SETTLED
    at = point(split.fn, split.candidate, key)
    within = at < split.share and not split.withdrawn
    may_repeat = repeat and kind == "tokened" and not tokens_span
    return COURSES[within, within or at < split.peak, may_repeat]

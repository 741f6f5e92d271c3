"""Which version of a function an RPC goes to.

An RPC's point in [0, 1) follows from what stays the same over its client's tries, so a share that grows
only adds keys, and a further try meets the version of the first, at whichever edge. What is withdrawn
overrides that.
"""

from dataclasses import dataclass, field
from enum import Enum
from hashlib import blake2b

Course = Enum("Course", "SETTLED CANDIDATE ABORT")
Met = Enum("Met", "SETTLED CANDIDATE UNKNOWN")  # where an edge sent earlier tries of this RPC itself


@dataclass(frozen=True)
class Split:
    """What an edge holds of one function: `share` of the keys go to `candidate`, the rest to `settled`.

    `peak` is the largest share that the candidate has had or gets next: keys below it may have met it at
    an edge whose plan is newer. A withdrawn candidate has no share but keeps its peak until clients can no
    longer come back from it. `next` is the share to load for. Once `done` the candidate is what runs, with
    no lease, and the version before it is kept for clients that come back and for a change of mind.
    """

    function: str
    settled: str
    candidate: str = ""
    share: float = 0.0
    peak: float = 0.0
    withdrawn: bool = False
    step: int = field(default=-1, compare=False)
    next: float = 0.0
    done: bool = False


def point(function: str, candidate: str, key: str) -> float:
    """Where this key lies. The candidate's name is in it, so that not always the same keys go first."""
    digest = blake2b(f"{function}\0{candidate}\0{key}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big") / 2**64


def key_of(key: str, token: int | None, tag: str) -> str:
    """What stays the same over a client's tries: its own key, else the token, else nothing but this try's
    id."""
    return f"k{key}" if key else f"t{token}" if token is not None else f"i{tag}"


# what an RPC gets: by whether its key lies within the share, and within the peak
NEW: dict[tuple[bool, bool], Course] = {
    (True, True): Course.CANDIDATE,
    (False, True): Course.SETTLED,
    (False, False): Course.SETTLED,
}
# and where it may repeat work of another version that does not know its token: the same, and where it was
# sent before
REPEATS: dict[tuple[bool, bool, Met], Course] = {
    (True, True, Met.CANDIDATE): Course.CANDIDATE,
    (False, True, Met.CANDIDATE): Course.ABORT,  # withdrawn since, or without a lease
    (False, False, Met.CANDIDATE): Course.ABORT,
    (True, True, Met.SETTLED): Course.SETTLED,  # the share has grown since
    (False, True, Met.SETTLED): Course.SETTLED,
    (False, False, Met.SETTLED): Course.SETTLED,
    (True, True, Met.UNKNOWN): Course.ABORT,  # at another edge, before the step or after it
    (False, True, Met.UNKNOWN): Course.ABORT,
    (False, False, Met.UNKNOWN): Course.SETTLED,  # no edge can have sent it to the candidate
}


def course(
    split: Split, key: str, kind: str, repeat: bool, tokens_span: bool, met: Met = Met.UNKNOWN
) -> Course:
    """What an RPC gets.

    Idempotent ones go wherever the share says. A side-effecting one comes back only after a denial, which
    promised that nothing ran, so it is new wherever it goes. A tokened one that comes back may have run:
    where runners know tokens across versions (`tokens_span`) any of them drops it; where they do not it
    goes to the version that it met before, and is aborted, which promises nothing, where that is not known
    or not allowed now (rule 2).
    """
    if not split.candidate:
        return Course.SETTLED
    at = point(split.function, split.candidate, key)
    within = at < split.share and not split.withdrawn
    if repeat and kind == "tokened" and not tokens_span:
        return REPEATS[within, within or at < split.peak, met]
    return NEW[within, within or at < split.peak]


def after_denial(kind: str, may_have_run: bool, tokens_span: bool) -> Course:
    """What an RPC gets that was denied on a version that is barred now. A tokened one may be denied though
    it may have run, as its version knows the token; another version does not."""
    harmless = kind == "idempotent" or not may_have_run or (kind == "tokened" and tokens_span)
    return Course.SETTLED if harmless else Course.ABORT

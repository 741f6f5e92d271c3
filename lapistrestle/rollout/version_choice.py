"""Which version of a function an RPC goes to.

An RPC's hash position in [0, 1) follows from what stays the same over its client's tries, so a share that
grows only adds keys, and a further try meets the version of the first, at whichever edge. What is withdrawn
overrides that.
"""

from enum import Enum
from hashlib import blake2b

from lapistrestle.rollout_types import TrafficSplit

VersionChoice = Enum("VersionChoice", "SETTLED CANDIDATE ABORT")
EarlierVersion = Enum(
    "EarlierVersion", "SETTLED CANDIDATE UNKNOWN"
)  # where an edge sent earlier tries of this RPC itself


def hash_position(fn: str, candidate: str, key: str) -> float:
    """Where this key lies. The candidate's name is in it, so that not always the same keys go first."""
    digest = blake2b(f"{fn}\0{candidate}\0{key}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big") / 2**64


def attempt_key(key: str, token: int | None, tag: str) -> str:
    """What stays the same over a client's tries: its own key, else the token, else nothing but this try's
    id."""
    return f"k{key}" if key else f"t{token}" if token is not None else f"i{tag}"


# what an RPC gets: by whether its key lies within the share, and within the peak
FIRST_ATTEMPT_CHOICES: dict[tuple[bool, bool], VersionChoice] = {
    (True, True): VersionChoice.CANDIDATE,
    (False, True): VersionChoice.SETTLED,
    (False, False): VersionChoice.SETTLED,
}
# and where it may repeat work of another version that does not know its token: the same, and where it was
# sent before
REPEATED_ATTEMPT_CHOICES: dict[tuple[bool, bool, EarlierVersion], VersionChoice] = {
    (True, True, EarlierVersion.CANDIDATE): VersionChoice.CANDIDATE,
    (False, True, EarlierVersion.CANDIDATE): VersionChoice.ABORT,  # withdrawn since, or without a lease
    (False, False, EarlierVersion.CANDIDATE): VersionChoice.ABORT,
    (True, True, EarlierVersion.SETTLED): VersionChoice.SETTLED,  # the share has grown since
    (False, True, EarlierVersion.SETTLED): VersionChoice.SETTLED,
    (False, False, EarlierVersion.SETTLED): VersionChoice.SETTLED,
    (True, True, EarlierVersion.UNKNOWN): VersionChoice.ABORT,  # at another edge, before the step or after it
    (False, True, EarlierVersion.UNKNOWN): VersionChoice.ABORT,
    (
        False,
        False,
        EarlierVersion.UNKNOWN,
    ): VersionChoice.SETTLED,  # no edge can have sent it to the candidate
}


def choose_version(
    split: TrafficSplit,
    key: str,
    kind: str,
    repeat: bool,
    tokens_span: bool,
    met: EarlierVersion = EarlierVersion.UNKNOWN,
) -> VersionChoice:
    """What an RPC gets.

    Idempotent ones go wherever the share says. A side-effecting one comes back only after a denial, which
    promised that nothing ran, so it is new wherever it goes. A tokened one that comes back may have run:
    where runners know tokens across versions (`tokens_span`) any of them drops it; where they do not it
    goes to the version that it met before, and is aborted, which promises nothing, where that is not known
    or not allowed now (rule 2).
    """
    if not split.candidate:
        return VersionChoice.SETTLED
    at = hash_position(split.fn, split.candidate, key)
    within = at < split.weight and not split.withdrawn
    if repeat and kind == "tokened" and not tokens_span:
        return REPEATED_ATTEMPT_CHOICES[within, within or at < split.peak_weight, met]
    return FIRST_ATTEMPT_CHOICES[within, within or at < split.peak_weight]


def choose_after_denial(kind: str, may_have_run: bool, tokens_span: bool) -> VersionChoice:
    """What an RPC gets that was denied on a version that is barred now. A tokened one may be denied though
    it may have run, as its version knows the token; another version does not."""
    harmless = kind == "idempotent" or not may_have_run or (kind == "tokened" and tokens_span)
    return VersionChoice.SETTLED if harmless else VersionChoice.ABORT

"""Which version of a function a request goes to.

A request's hash position in [0, 1) follows from what stays the same over its client's attempts, so a weight
that grows only adds keys, and a further attempt meets the version of the first, at whichever edge. What is
withdrawn overrides that. `docs/rollout.md`, *Which version an RPC meets*, weighs the alternatives.
"""

from enum import Enum, auto
from hashlib import blake2b

from lapistrestle.rollout_types import TrafficSplit

DIGEST_BYTES = 8


class VersionChoice(Enum):
    """What a request gets."""

    SETTLED = auto()
    CANDIDATE = auto()
    ABORT = auto()  # it may have run on a version that it can't go to now


class EarlierVersion(Enum):
    """Where this edge itself sent earlier attempts of a request."""

    SETTLED = auto()
    CANDIDATE = auto()
    UNKNOWN = auto()


def hash_position(function: str, candidate: str, key: str) -> float:
    """Return where a key lies in [0, 1).

    The candidate's name is in the hash, so that not always the same keys go first.
    """
    digest = blake2b(f"{function}\0{candidate}\0{key}".encode(), digest_size=DIGEST_BYTES).digest()
    return int.from_bytes(digest, "big") / 2 ** (8 * DIGEST_BYTES)


def attempt_key(key: str, token: int | None, tag: str) -> str:
    """Return what stays the same over a client's attempts.

    That is its own key, else the token, else nothing but `tag`, this attempt's id.
    """
    if key:
        return f"k{key}"
    return f"t{token}" if token is not None else f"i{tag}"


FIRST_ATTEMPT_CHOICES: dict[tuple[bool, bool], VersionChoice] = {
    (True, True): VersionChoice.CANDIDATE,
    (False, True): VersionChoice.SETTLED,
    (False, False): VersionChoice.SETTLED,
}
"""By whether the key lies within the weight, and within the peak weight."""

REPEATED_ATTEMPT_CHOICES: dict[tuple[bool, bool, EarlierVersion], VersionChoice] = {
    (True, True, EarlierVersion.CANDIDATE): VersionChoice.CANDIDATE,
    (False, True, EarlierVersion.CANDIDATE): VersionChoice.ABORT,  # withdrawn since, or without a lease
    (False, False, EarlierVersion.CANDIDATE): VersionChoice.ABORT,
    (True, True, EarlierVersion.SETTLED): VersionChoice.SETTLED,  # the weight has grown since
    (False, True, EarlierVersion.SETTLED): VersionChoice.SETTLED,
    (False, False, EarlierVersion.SETTLED): VersionChoice.SETTLED,
    (True, True, EarlierVersion.UNKNOWN): VersionChoice.ABORT,  # at another edge, before the step or after
    (False, True, EarlierVersion.UNKNOWN): VersionChoice.ABORT,
    (
        False,
        False,
        EarlierVersion.UNKNOWN,
    ): VersionChoice.SETTLED,  # no edge can have sent it to the candidate
}
"""The same where it may repeat work on a version that does not know its token, and by where it was sent."""


def choose_version(
    split: TrafficSplit,
    key: str,
    kind: str,
    repeat: bool,
    tokens_span: bool,
    earlier: EarlierVersion = EarlierVersion.UNKNOWN,
) -> VersionChoice:
    """Return what a request gets.

    `kind` is its method's: an idempotent one goes wherever the weight says. A side-effecting one comes back
    only after a denial, which promised that nothing ran, so it is new wherever it goes. A tokened one that
    comes back (`repeat`) may have run: where workers know tokens across versions (`tokens_span`) any of them
    drops it; where they do not it goes to the version that it met before, and is aborted, which promises
    nothing, where that is not known or not allowed now.
    """
    if not split.candidate:
        return VersionChoice.SETTLED
    position = hash_position(split.function, split.candidate, key)
    within_weight = position < split.weight and not split.withdrawn
    within_peak = within_weight or position < split.peak_weight
    if repeat and kind == "tokened" and not tokens_span:
        return REPEATED_ATTEMPT_CHOICES[within_weight, within_peak, earlier]
    return FIRST_ATTEMPT_CHOICES[within_weight, within_peak]


def choose_after_denial(kind: str, may_have_run: bool, tokens_span: bool) -> VersionChoice:
    """Return what a request gets that was denied on a version that is barred now.

    A tokened one may be denied though it may have run, as its version knows the token; another does not.
    """
    harmless = kind == "idempotent" or not may_have_run or (kind == "tokened" and tokens_span)
    return VersionChoice.SETTLED if harmless else VersionChoice.ABORT

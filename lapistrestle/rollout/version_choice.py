"""The choice of a function's version for a request.

A request's hash position in [0, 1) is computed from a key that is the same for all of the client's attempts.
So a growing weight only adds keys, and a retry gets the same version as the first attempt, at any edge,
unless that version is withdrawn. `docs/rollout.md`, *Which version an RPC meets*, weighs the alternatives.
"""

from enum import Enum, auto
from hashlib import blake2b

from lapistrestle.rollout_types import TrafficSplit

DIGEST_BYTES = 8


class VersionChoice(Enum):
    """The version for a request, or its abort."""

    SETTLED = auto()
    CANDIDATE = auto()
    ABORT = auto()  # it may have run on a version to which it can't be sent now


class EarlierVersion(Enum):
    """The version to which this edge sent earlier attempts of a request."""

    SETTLED = auto()
    CANDIDATE = auto()
    UNKNOWN = auto()


def hash_position(function: str, candidate: str, key: str) -> float:
    """Return a key's hash position in [0, 1).

    The candidate's name is part of the hash, so that each rollout starts with other keys.
    """
    digest = blake2b(f"{function}\0{candidate}\0{key}".encode(), digest_size=DIGEST_BYTES).digest()
    return int.from_bytes(digest, "big") / 2 ** (8 * DIGEST_BYTES)


def attempt_key(key: str, token: int | None, tag: str) -> str:
    """Return a key that is the same for all of a client's attempts of a request.

    That is the client's key or else the token; without either only `tag`, the id of this attempt.
    """
    if key:
        return f"k{key}"
    return f"t{token}" if token is not None else f"i{tag}"


FIRST_ATTEMPT_CHOICES: dict[tuple[bool, bool], VersionChoice] = {
    (True, True): VersionChoice.CANDIDATE,
    (False, True): VersionChoice.SETTLED,
    (False, False): VersionChoice.SETTLED,
}
"""The choice by whether the key is within the weight, and within the peak weight."""

REPEATED_ATTEMPT_CHOICES: dict[tuple[bool, bool, EarlierVersion], VersionChoice] = {
    (True, True, EarlierVersion.CANDIDATE): VersionChoice.CANDIDATE,
    (False, True, EarlierVersion.CANDIDATE): VersionChoice.ABORT,  # withdrawn since, or no lease
    (False, False, EarlierVersion.CANDIDATE): VersionChoice.ABORT,
    (True, True, EarlierVersion.SETTLED): VersionChoice.SETTLED,  # the weight has grown since
    (False, True, EarlierVersion.SETTLED): VersionChoice.SETTLED,
    (False, False, EarlierVersion.SETTLED): VersionChoice.SETTLED,
    (True, True, EarlierVersion.UNKNOWN): VersionChoice.ABORT,  # at another edge, before or after the step
    (False, True, EarlierVersion.UNKNOWN): VersionChoice.ABORT,
    (
        False,
        False,
        EarlierVersion.UNKNOWN,
    ): VersionChoice.SETTLED,  # no edge can have sent it to the candidate
}
"""The choice for a tokened retry if versions do not share tokens, also by the version of earlier attempts."""


def choose_version(
    split: TrafficSplit,
    key: str,
    kind: str,
    repeat: bool,
    tokens_span: bool,
    earlier: EarlierVersion = EarlierVersion.UNKNOWN,
) -> VersionChoice:
    """Return the version for a request.

    `kind` is that of its method. An idempotent request follows the weight. A side-effecting one is retried
    only after a denial, which guarantees that nothing ran, so it follows the weight too. A tokened retry
    (`repeat`) may have run: if versions share tokens (`tokens_span`) any worker drops the duplicate; else it
    must go to the version of the earlier attempts, and is aborted (which guarantees nothing) if that version
    is unknown or not allowed now.
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
    """Return the version for a request that was denied on a version that is barred now.

    A tokened request may be denied although it may have run, as its version knows the token; other versions
    do not, unless versions share tokens.
    """
    harmless = kind == "idempotent" or not may_have_run or (kind == "tokened" and tokens_span)
    return VersionChoice.SETTLED if harmless else VersionChoice.ABORT

"""Replies of the platform's runners: one JSON object a line, and what each verb means to the module."""

import msgspec

from lapistrestle.policy.types import Outcome

ATTEMPTS = {
    "200": Outcome.OK,
    "404": Outcome.NOT_LOADED,
    "503": Outcome.REJECTED,
    "500": Outcome.ERROR,
    "504": Outcome.NOT_SENT,
}
ORDERS = {"200": Outcome.OK, "503": Outcome.REJECTED, "500": Outcome.ERROR}
PROBES = {"alive": Outcome.OK, "dead": Outcome.ERROR}

Figure = int | float | str


class Attrs(msgspec.Struct):
    """What a reply says beside its content; figures may come as text."""

    company: Figure = 0
    slots_up: Figure = 0
    use: str = ""


NO_ATTRS = Attrs()


class Reply(msgspec.Struct):
    """A reply of a runner. `rid` is the request's, `content` base64."""

    verb: str
    rid: str
    attrs: Attrs | None = None
    content: str | None = None


DECODER = msgspec.json.Decoder(Reply)


def reply_of(line: bytes) -> Reply | None:
    """None if the line is no reply."""
    try:
        reply = DECODER.decode(line)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        return None
    return reply if reply.verb in ATTEMPTS or reply.verb in PROBES else None


def report_of(use: str, names: dict[str, str]) -> dict[str, float]:
    """The figures of a load report under the names that the module knows. Raises ValueError."""
    found: dict[str, float] = {}
    for entry in use.split(";"):
        name, _, figure = entry.partition(":")
        if name in names:
            found[names[name]] = float(figure)
    return found

"""Replies of the platform's runners, one JSON object per line, and the outcomes that their verbs
stand for.
"""

import msgspec

from lapistrestle.policy.types import Outcome

ATTEMPT_OUTCOMES = {
    "200": Outcome.OK,
    "404": Outcome.NOT_LOADED,
    "503": Outcome.REJECTED,
    "500": Outcome.ERROR,
    "504": Outcome.NOT_SENT,
}
PRELOAD_OUTCOMES = {"200": Outcome.OK, "503": Outcome.REJECTED, "500": Outcome.ERROR}
HEALTH_CHECK_OUTCOMES = {"alive": Outcome.OK, "dead": Outcome.ERROR}

Figure = int | float | str


class ReplyAttributes(msgspec.Struct):
    """Attributes of a reply. Numbers may be sent as text."""

    concurrent: Figure = msgspec.field(default=0, name="company")  # other calls that ran at the same time
    copies: Figure = msgspec.field(default=0, name="slots_up")  # loaded copies of the function
    load_report: str = msgspec.field(default="", name="use")  # "name:figure;..."


NO_ATTRIBUTES = ReplyAttributes()


class Reply(msgspec.Struct):
    """A reply of a runner. `rid` is the request's id, `content` is in base64."""

    verb: str
    rid: str
    attrs: ReplyAttributes | None = None
    content: str | None = None


DECODER = msgspec.json.Decoder(Reply)


def parse_reply(line: bytes) -> Reply | None:
    """Decode a line; None if it is no valid reply."""
    try:
        reply = DECODER.decode(line)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        return None
    return reply if reply.verb in ATTEMPT_OUTCOMES or reply.verb in HEALTH_CHECK_OUTCOMES else None


def parse_load_report(text: str, names: dict[str, str]) -> dict[str, float]:
    """Parse a load report. `names` maps its names to the module's. Raises ValueError."""
    found: dict[str, float] = {}
    for entry in text.split(";"):
        name, _, figure = entry.partition(":")
        if name in names:
            found[names[name]] = float(figure)
    return found

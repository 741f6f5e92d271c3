"""Replies of the platform's runners: one JSON object a line, and what each verb means to the module."""

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
    """What a reply says beside its content; figures may come as text."""

    concurrent: Figure = msgspec.field(default=0, name="company")  # other calls that ran beside it
    copies: Figure = msgspec.field(default=0, name="slots_up")  # of the function that it holds
    load_report: str = msgspec.field(default="", name="use")  # "name:figure;..."


NO_ATTRIBUTES = ReplyAttributes()


class Reply(msgspec.Struct):
    """A reply of a runner. `rid` is the request's, `content` base64."""

    verb: str
    rid: str
    attrs: ReplyAttributes | None = None
    content: str | None = None


DECODER = msgspec.json.Decoder(Reply)


def parse_reply(line: bytes) -> Reply | None:
    """The reply of a line; None if it is none."""
    try:
        reply = DECODER.decode(line)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        return None
    return reply if reply.verb in ATTEMPT_OUTCOMES or reply.verb in HEALTH_CHECK_OUTCOMES else None


def parse_load_report(text: str, names: dict[str, str]) -> dict[str, float]:
    """The figures of a load report under the names that the module knows. Raises ValueError."""
    found: dict[str, float] = {}
    for entry in text.split(";"):
        name, _, figure = entry.partition(":")
        if name in names:
            found[names[name]] = float(figure)
    return found

"""Every message of the three protocols; `docs/protocol.md` specifies them for other languages.

A message is one JSON object on a line of its own; `is` names its type. Times are milliseconds, whole or with
a fraction; memory is in MB. Fields at their default are left out. Unknown fields pass over, so that a newer
peer may add some; unknown types and values out of bounds do not.
"""

from typing import Annotated, Literal

import msgspec
from msgspec import Meta, Raw, Struct

VERSION = 1
CLIENT, RUNNER, ROSTER = "lapistrestle.client", "lapistrestle.runner", "lapistrestle.roster"

Name = Annotated[str, Meta(min_length=1, max_length=200)]
Number = Annotated[int, Meta(ge=0, lt=2**53)]
Millis = Annotated[float, Meta(ge=0, le=86_400_000)]
Memory = Annotated[float, Meta(ge=0, le=1e9)]
Lanes = Annotated[int, Meta(ge=1, le=10_000)]
NO_BODY = Raw(b"null")


class Message(Struct, tag_field="is", omit_defaults=True, gc=False):
    """What all messages share."""


class Hello(Message, tag="hello"):
    """First line in each direction. `you` tells a client how the edge names its connection."""

    protocol: Name
    version: int
    name: str = ""
    connection_name: str = msgspec.field(default="", name="you")
    start: str = ""  # a runner's: differs at each of its starts
    up_for: Millis | None = None  # a runner's: since that start
    draining: bool = False


class Goodbye(Message, tag="bye"):
    """The connection is closed by the sender, for this reason."""

    reason: str = msgspec.field(name="why")


class Fault(Message, tag="fault"):
    """A line could not be taken; `id` if it could be read. No RPC came of it."""

    reason: str = msgspec.field(name="why")
    id: str = ""


# clients to edge


class Call(Message, tag="call"):
    """An RPC. `left` is what the client still waits; `key` stays the same over its retries."""

    id: Name
    function: Name = msgspec.field(name="fn")
    method: Name
    timeout: Millis = msgspec.field(name="left")
    customer: str = ""
    memory: Memory = 0.0
    lanes: Lanes = 1
    work: Annotated[float, Meta(ge=0, le=1e9)] | None = None
    is_retry: bool = msgspec.field(default=False, name="repeat")
    token: Number | None = None
    key: str = ""
    body: Raw = NO_BODY
    load_time: Millis | None = msgspec.field(default=None, name="load")


class CancelRequest(Message, tag="leave"):
    """The client waits no longer for this RPC; no answer follows unless it is on its way."""

    id: Name


class StreamStarted(Message, tag="begun"):
    """A streamed answer has begun; its end follows as the answer."""

    id: Name


class Answer(Message, tag="answer"):
    """The final answer. `come_back`: how long the client should stay away after a denial."""

    id: Name
    verdict: Literal["ok", "denied", "aborted"]
    retry_after: Millis = msgspec.field(name="come_back", default=0.0)
    body: Raw = NO_BODY


class InspectRequest(Message, tag="look"):
    """An operator asks what the edge knows of something."""

    subject: Literal["fleet", "directory"] = msgspec.field(name="what")


class InspectResponse(Message, tag="shown"):
    """The answer to a look, as JSON for people and tools; its names may grow."""

    body: Raw


# edge to runner; `call`, `order` and `probe` are numbers of the edge's, counted up on each connection


class Run(Message, tag="run"):
    call_id: Number = msgspec.field(name="call")
    request: str = msgspec.field(name="rpc")
    function: Name = msgspec.field(name="fn")
    method: Name
    timeout: Millis = msgspec.field(name="within")
    customer: str = ""
    memory: Memory = 0.0
    lanes: Lanes = 1
    token: Number | None = None
    key: str = ""
    body: Raw = NO_BODY


class Cancel(Message, tag="cancel"):
    call_id: Number = msgspec.field(name="call")


class PreloadRequest(Message, tag="hold"):
    """Hold at least `count` copies; 0 only asks how many stand."""

    preload_id: Number = msgspec.field(name="order")
    function: Name = msgspec.field(name="fn")
    count: Annotated[int, Meta(ge=0, le=16)]
    memory: Memory = 0.0
    lanes: Lanes = 1


class Unload(Message, tag="unload"):
    function: Name = msgspec.field(name="fn")


class Probe(Message, tag="probe"):
    probe_id: Number = msgspec.field(name="probe")


# runner to edge


class RunStarted(Message, tag="begun"):
    call_id: Number = msgspec.field(name="call")


class RunFinished(Message, tag="ended"):
    """How a call-out ended there; `warmth`, `company` and `report` only where settings say so."""

    call_id: Number = msgspec.field(name="call")
    outcome: Literal["ok", "error", "full", "miss", "cancelled"]
    load_state: Literal["", "stood", "began load", "joined load", "load failed"] = msgspec.field(
        default="", name="warmth"
    )
    concurrency: Number | None = msgspec.field(default=None, name="company")
    report: dict[str, float] | None = None
    body: Raw = NO_BODY


class PreloadResult(Message, tag="held"):
    preload_id: Number = msgspec.field(name="order")
    outcome: Literal["ok", "full", "error"]
    count: Number = 0


class ProbeResult(Message, tag="probed"):
    probe_id: Number = msgspec.field(name="probe")
    report: dict[str, float] | None = None


class Draining(Message, tag="draining"):
    """The runner finishes what it has and takes nothing new."""


# edge and roster


class RosterSubscribe(Message, tag="follow"):
    """Send the whole list, then each change."""


class RosterRequest(Message, tag="ask"):
    """Send the whole list once more."""


class RosterEntry(Struct, omit_defaults=True, gc=False):
    """A worker as the roster names it."""

    name: Name
    port: Annotated[int, Meta(ge=0, le=65535)] = 0
    zone: str = ""
    cell: int = 0
    kind: str = ""
    size: Annotated[float, Meta(ge=0, le=1e6)] = 1.0
    listing: Literal["serving", "draining", "gone"] = "serving"
    start: str = ""
    up_for: Millis | None = None


class RosterSnapshot(Message, tag="whole"):
    """All workers; one that is missing is gone. `epoch` differs each time the numbers begin anew."""

    number: Number
    workers: list[RosterEntry]
    epoch: str = ""


class RosterUpdate(Message, tag="change"):
    """Changed workers only; its number is one more than that of the list it changes."""

    number: Number
    workers: list[RosterEntry]
    epoch: str = ""


class RosterUnavailable(Message, tag="failed"):
    """The roster could not answer an `ask` or `follow`."""


# between edges


class PeerMessage(Message, tag="peer"):
    sender: Number
    text: Annotated[str, Meta(max_length=256)]


FromClient = Hello | Call | CancelRequest | InspectRequest | Goodbye
ToClient = Hello | StreamStarted | Answer | InspectResponse | Fault | Goodbye
ToRunner = Hello | Run | Cancel | PreloadRequest | Unload | Probe | Goodbye
FromRunner = Hello | RunStarted | RunFinished | PreloadResult | ProbeResult | Draining | Fault | Goodbye
ToRoster = Hello | RosterSubscribe | RosterRequest | Goodbye
FromRoster = Hello | RosterSnapshot | RosterUpdate | RosterUnavailable | Goodbye

encode = msgspec.json.Encoder().encode

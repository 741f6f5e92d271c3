"""Messages of the client, runner and roster protocols, specified for other languages in `docs/protocol.md`.

A message is one JSON object per line; its field `is` names the type. Durations are milliseconds, possibly
fractional; memory is in MB. Fields with their default value are omitted. Unknown fields are ignored, so that
newer peers may add some; unknown types and values out of bounds are rejected.
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
    """Base of all messages."""


class Hello(Message, tag="hello"):
    """The greeting, the first line in each direction.

    `connection_name` tells a client how the edge names its connection.
    """

    protocol: Name
    version: int
    name: str = ""
    connection_name: str = msgspec.field(default="", name="you")
    start: str = ""  # identifies one start of a runner's process
    up_for: Millis | None = None  # time since a runner's start
    draining: bool = False


class Goodbye(Message, tag="bye"):
    """The sender closes the connection for this reason."""

    reason: str = msgspec.field(name="why")


class Fault(Message, tag="fault"):
    """A line was rejected and no RPC resulted from it; `id` is that of the line, if it could be read."""

    reason: str = msgspec.field(name="why")
    id: str = ""


# clients to edge


class Call(Message, tag="call"):
    """An RPC.

    `timeout` is how long the client still waits. `key` and `token` stay the same over its retries; workers
    deduplicate by `token`. `lanes` is how many calls one copy runs at once. `work` is the client's estimate
    of the work, `load_time` how long a stand-in takes to load the function.
    """

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
    """The client no longer waits for this RPC; no answer follows except one that is already on its way."""

    id: Name


class StreamStarted(Message, tag="begun"):
    """A streamed answer has started; an `Answer` follows at its end."""

    id: Name


class Answer(Message, tag="answer"):
    """The final answer. `retry_after` is how long the client should wait before a retry after a denial."""

    id: Name
    verdict: Literal["ok", "denied", "aborted"]
    retry_after: Millis = msgspec.field(name="come_back", default=0.0)
    body: Raw = NO_BODY


class InspectRequest(Message, tag="look"):
    """An operator's request for the state of an edge's fleet membership or directory client."""

    subject: Literal["fleet", "directory"] = msgspec.field(name="what")


class InspectResponse(Message, tag="shown"):
    """The answer to an `InspectRequest`, as JSON for people and tools; later versions may add fields."""

    body: Raw


# edge to runner; the edge counts `call_id`, `preload_id` and `probe_id` up on each connection


class Run(Message, tag="run"):
    """Run a call within `timeout`. `request` identifies the client's RPC over all attempts."""

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
    """Cancel a call; the edge ignores its result."""

    call_id: Number = msgspec.field(name="call")


class PreloadRequest(Message, tag="hold"):
    """Load at least `count` copies of a function; 0 only asks how many are loaded."""

    preload_id: Number = msgspec.field(name="order")
    function: Name = msgspec.field(name="fn")
    count: Annotated[int, Meta(ge=0, le=16)]
    memory: Memory = 0.0
    lanes: Lanes = 1


class Unload(Message, tag="unload"):
    """Unload all copies of a function."""

    function: Name = msgspec.field(name="fn")


class Probe(Message, tag="probe"):
    """A health check."""

    probe_id: Number = msgspec.field(name="probe")


# runner to edge


class RunStarted(Message, tag="begun"):
    """The streamed answer of a call has started."""

    call_id: Number = msgspec.field(name="call")


class RunFinished(Message, tag="ended"):
    """The result of a call.

    `full`: the runner had no capacity; `miss`: the function was not loaded. Settings decide whether
    `load_state` (was the function loaded), `concurrency` (calls running on the copy) and `report` (load
    figures) are sent.
    """

    call_id: Number = msgspec.field(name="call")
    outcome: Literal["ok", "error", "full", "miss", "cancelled"]
    load_state: Literal["", "stood", "began load", "joined load", "load failed"] = msgspec.field(
        default="", name="warmth"
    )
    concurrency: Number | None = msgspec.field(default=None, name="company")
    report: dict[str, float] | None = None
    body: Raw = NO_BODY


class PreloadResult(Message, tag="held"):
    """The answer to a `PreloadRequest`; `count` copies are loaded."""

    preload_id: Number = msgspec.field(name="order")
    outcome: Literal["ok", "full", "error"]
    count: Number = 0


class ProbeResult(Message, tag="probed"):
    """The answer to a `Probe`, with load figures where settings say so."""

    probe_id: Number = msgspec.field(name="probe")
    report: dict[str, float] | None = None


class Draining(Message, tag="draining"):
    """The runner finishes its calls and accepts no new ones."""


# edge and roster


class RosterSubscribe(Message, tag="follow"):
    """Subscribe to the list of workers: a `RosterSnapshot` and then each `RosterUpdate`."""


class RosterRequest(Message, tag="ask"):
    """Request another `RosterSnapshot`."""


class RosterEntry(Struct, omit_defaults=True, gc=False):
    """A worker as the roster lists it; `start` and `up_for` are those of its `Hello`."""

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
    """All workers; those missing are gone. `epoch` changes whenever the numbering restarts."""

    number: Number
    workers: list[RosterEntry]
    epoch: str = ""


class RosterUpdate(Message, tag="change"):
    """The changed workers only; `number` is one more than that of the list to which it applies."""

    number: Number
    workers: list[RosterEntry]
    epoch: str = ""


class RosterUnavailable(Message, tag="failed"):
    """The roster could not answer a `RosterSubscribe` or `RosterRequest`."""


# between edges


class PeerMessage(Message, tag="peer"):
    """A gossip text of the decision module, sent to another edge."""

    sender: Number
    text: Annotated[str, Meta(max_length=256)]


FromClient = Hello | Call | CancelRequest | InspectRequest | Goodbye
ToClient = Hello | StreamStarted | Answer | InspectResponse | Fault | Goodbye
ToRunner = Hello | Run | Cancel | PreloadRequest | Unload | Probe | Goodbye
FromRunner = Hello | RunStarted | RunFinished | PreloadResult | ProbeResult | Draining | Fault | Goodbye
ToRoster = Hello | RosterSubscribe | RosterRequest | Goodbye
FromRoster = Hello | RosterSnapshot | RosterUpdate | RosterUnavailable | Goodbye

encode = msgspec.json.Encoder().encode

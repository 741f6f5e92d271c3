"""What a client asks for: the headers of a request checked, strictly, and made into one value."""

import re
from math import isfinite

from msgspec import Struct

from lapistrestle.node import records
from lapistrestle.node.configuration import Configuration
from lapistrestle.policy.settings import Settings

MOST_WORK = 600_000.0  # milliseconds
MOST_MEMORY = 1e6  # MB
MOST_LANES = 1024
SLACK = 50  # milliseconds that a patience may exceed its class's deadline, as every time limit on sockets may
LENGTH_DIGITS = 9  # of a content length that is read: more than any body has

ID = re.compile(rb"[0-9a-f]{16}")
KEY = re.compile(rb"[0-9A-Za-z._:-]{1,64}")
NUMBER = re.compile(rb"[0-9]{1,12}(\.[0-9]{1,9})?")


class Unfit(Exception):
    """A request that can't be used."""

    def __init__(self, status: int, why: str) -> None:
        super().__init__(why)
        self.status = status


class Method(Struct, frozen=True, gc=False):
    """A class of calls, as the settings name it."""

    number: int
    quoted: bytes  # its name within a JSON text
    deadline: float  # milliseconds: the longest that a client may wait
    tokened: bool  # each call has a key, by which a repeat is dropped


class Invocation(Struct, frozen=True, gc=False):
    """A call that can be used. Spans are milliseconds, as they came."""

    method: Method
    id: bytes
    function: bytes
    patience: float  # milliseconds that the client waits, at most the class's deadline
    work: float | None
    repeat: bool
    key: bytes
    customer: int
    memory: float  # MB
    lanes: int
    load: float | None


def number_of(fields: dict[bytes, bytes], name: bytes, most: float) -> float | None:
    """A decimal number of a header, None where it is missing. Raises Unfit."""
    said = fields.get(name)
    if said is None:
        return None
    if not NUMBER.fullmatch(said):
        raise Unfit(400, f"{name.decode()} is no number")
    found = float(said)
    if not isfinite(found) or found > most:
        raise Unfit(400, f"{name.decode()} is out of range")
    return found


def attrs_of(said: bytes) -> dict[bytes, bytes]:
    """Names and values of `X-Attrs`. Raises Unfit."""
    found = {}
    for entry in said.split(b";"):
        name, colon, value = entry.partition(b":")
        if entry and not colon:
            raise Unfit(400, "X-Attrs can't be read")
        found[name.strip()] = value.strip()
    return found


def methods_of(configuration: Configuration, settings: Settings) -> dict[bytes, Method]:
    """By path."""
    made = {}
    for number, profile in enumerate(configuration.platform.profiles):
        name, method = profile.name.encode(), settings.methods[number]
        quoted = name.replace(b"\\", b"\\\\").replace(b'"', b'\\"')
        tokened = method.kind == "tokened"
        made[b"/invoke/" + name] = Method(number, quoted, method.deadline / 10, tokened)
    return made


class Parser:
    """Requests to invocations, by the settings of one dispatcher."""

    def __init__(self, configuration: Configuration, settings: Settings) -> None:
        self.methods = methods_of(configuration, settings)
        self.customers = {t.name.encode(): number for number, t in enumerate(configuration.platform.tenants)}

    def parse(self, request: records.Request, path: bytes) -> Invocation:
        """Raises Unfit where the request can't be used."""
        fields, method = request.fields, self.methods.get(path)
        if method is None:
            raise Unfit(404, "no such class")
        id, function = fields.get(b"HTTP_X_CALL_ID", b""), fields.get(b"HTTP_X_ENTITY", b"")
        if not ID.fullmatch(id):
            raise Unfit(400, "X-Call-Id is not 16 hex digits")
        if not ID.fullmatch(function):
            raise Unfit(400, "X-Entity is not 16 hex digits")
        patience = number_of(fields, b"HTTP_X_PATIENCE_MS", method.deadline + SLACK)
        if not patience:
            raise Unfit(400, "X-Patience-Ms is missing or nothing")
        work = number_of(fields, b"HTTP_X_WEIGHT_MS", MOST_WORK)
        repeat = fields.get(b"HTTP_X_REPEAT", b"")
        if repeat not in (b"", b"0", b"1"):
            raise Unfit(400, "X-Repeat is neither 1 nor absent")
        key = fields.get(b"HTTP_X_DEDUPE_KEY", b"")
        if (key or method.tokened) and not KEY.fullmatch(key):
            raise Unfit(400, "X-Dedupe-Key can't be used")
        customer = self.customer(fields.get(b"HTTP_X_CUSTOMER", b""))
        size = fields.get(b"CONTENT_LENGTH", b"")
        if size and (not size.isdigit() or int(size[:LENGTH_DIGITS]) != len(request.body)):
            raise Unfit(400, "CONTENT_LENGTH is not the body's")
        attrs = attrs_of(fields.get(b"HTTP_X_ATTRS", b""))
        memory = number_of(attrs, b"memory_mb", MOST_MEMORY) or 0.0
        lanes = number_of(attrs, b"lanes", MOST_LANES)
        load = number_of(attrs, b"load_ms", MOST_WORK)
        if lanes is not None and (lanes < 1 or lanes != int(lanes)):
            raise Unfit(400, "lanes is no count")
        return Invocation(
            method, id, function, min(patience, method.deadline), work, repeat == b"1", key, customer, memory,
            int(lanes or 1), load,
        )  # fmt: skip

    def customer(self, name: bytes) -> int:
        """The customer's number; whom the settings don't share out to has no share: one that names nobody
        takes nobody's. Raises Unfit."""
        customer = self.customers.get(name, len(self.customers)) if self.customers else 0
        if name and self.customers and customer == len(self.customers):
            raise Unfit(400, "X-Customer is none of the settings' tenants")
        return customer

"""Strict validation of a request's headers into an `Invocation`."""

import re
from math import isfinite

from msgspec import Struct

from lapistrestle.node import fastcgi
from lapistrestle.node.configuration import Configuration
from lapistrestle.policy.settings import Settings
from lapistrestle.ticks import MILLISECOND

MAX_WORK = 600_000.0  # milliseconds
MAX_MEMORY = 1e6  # MB
MAX_LANES = 1024
PATIENCE_TOLERANCE = 50  # milliseconds that the protocol allows past any time limit, here the deadline
LENGTH_DIGITS = 9  # digits of CONTENT_LENGTH that are parsed: more than any body's length has

# the fields of a request that are read; others are ignored
FIELDS = frozenset(
    {
        b"SCRIPT_NAME",
        b"CONTENT_LENGTH",
        b"HTTP_X_ATTRS",
        b"HTTP_X_CALL_ID",
        b"HTTP_X_CUSTOMER",
        b"HTTP_X_DEDUPE_KEY",
        b"HTTP_X_ENTITY",
        b"HTTP_X_PATIENCE_MS",
        b"HTTP_X_REPEAT",
        b"HTTP_X_WEIGHT_MS",
    }
)

ID = re.compile(rb"[0-9a-f]{16}")
KEY = re.compile(rb"[0-9A-Za-z._:-]{1,64}")
NUMBER = re.compile(rb"[0-9]{1,12}(\.[0-9]{1,9})?")


class InvalidRequestError(Exception):
    """A request that is rejected as invalid. Its text is sent to the client.

    `status` is the HTTP status of the answer, `where` the header or part at fault, `found` its value (None:
    it is missing), and `expected` describes a valid value.
    """

    def __init__(self, status: int, message: str, where: str, found: bytes | None, expected: str) -> None:
        super().__init__(message)
        self.status = status
        self.message = message
        self.where = where
        self.found = found
        self.expected = expected


class Method(Struct, frozen=True, gc=False):
    """A class of calls in the settings."""

    number: int
    quoted: bytes  # its name within a JSON text
    deadline: float  # milliseconds: the longest that a client may wait
    has_key: bool  # calls must have an idempotency key, by which duplicates are dropped


class Invocation(Struct, frozen=True, gc=False):
    """A validated call. Times are milliseconds, as the client sent them."""

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


def parse_number(fields: dict[bytes, bytes], name: bytes, highest: float) -> float | None:
    """Parse a decimal number from 0 to `highest`; None if it is missing. Raises InvalidRequestError."""
    text = fields.get(name)
    if text is None:
        return None
    where = name.decode()
    if not NUMBER.fullmatch(text):
        raise InvalidRequestError(400, f"{where} is no number", where, text, "a decimal number")
    value = float(text)
    if not isfinite(value) or value > highest:
        raise InvalidRequestError(400, f"{where} is out of range", where, text, f"at most {highest}")
    return value


def parse_attributes(text: bytes) -> dict[bytes, bytes]:
    """Parse the names and values of `X-Attrs`. Raises InvalidRequestError."""
    attributes = {}
    for entry in text.split(b";"):
        name, colon, value = entry.partition(b":")
        if entry and not colon:
            raise InvalidRequestError(400, "X-Attrs can't be read", "X-Attrs", entry, "name:value")
        attributes[name.strip()] = value.strip()
    return attributes


def parse_id(fields: dict[bytes, bytes], field: bytes, header: str) -> bytes:
    """Parse an id of 16 hexadecimal digits. Raises InvalidRequestError."""
    text = fields.get(field, b"")
    if not ID.fullmatch(text):
        raise InvalidRequestError(400, f"{header} is not 16 hex digits", header, text, "16 hex digits")
    return text


def parse_repeat(fields: dict[bytes, bytes]) -> bool:
    """Whether the client marks the call as a retry. Raises InvalidRequestError."""
    text = fields.get(b"HTTP_X_REPEAT", b"")
    if text not in (b"", b"0", b"1"):
        raise InvalidRequestError(400, "X-Repeat is neither 1 nor absent", "X-Repeat", text, "1 or nothing")
    return text == b"1"


def parse_key(fields: dict[bytes, bytes], method: "Method") -> bytes:
    """The idempotency key; empty where the method needs none. Raises InvalidRequestError."""
    key = fields.get(b"HTTP_X_DEDUPE_KEY", b"")
    if (key or method.has_key) and not KEY.fullmatch(key):
        raise InvalidRequestError(
            400, "X-Dedupe-Key can't be used", "X-Dedupe-Key", key, "1 to 64 characters"
        )
    return key


def check_content_length(request: fastcgi.Request) -> None:
    """Raises InvalidRequestError if CONTENT_LENGTH is not the body's length."""
    text = request.fields.get(b"CONTENT_LENGTH", b"")
    if text and (not text.isdigit() or int(text[:LENGTH_DIGITS]) != len(request.body)):
        expected = str(len(request.body))
        raise InvalidRequestError(400, "CONTENT_LENGTH is not the body's", "CONTENT_LENGTH", text, expected)


def checked_lanes(lanes: float | None, attributes: dict[bytes, bytes]) -> int:
    """How many calls one copy of the function serves concurrently, 1 by default.

    Raises InvalidRequestError.
    """
    if lanes is None:
        return 1
    if lanes < 1 or lanes != int(lanes):
        found = attributes[b"lanes"]
        raise InvalidRequestError(400, "lanes is no count", "lanes", found, "a whole number from 1")
    return int(lanes)


def methods_by_path(configuration: Configuration, settings: Settings) -> dict[bytes, Method]:
    """The classes of calls by their request path."""
    methods = {}
    for number, profile in enumerate(configuration.platform.profiles):
        name, method = profile.name.encode(), settings.methods[number]
        quoted = name.replace(b"\\", b"\\\\").replace(b'"', b'\\"')
        has_key = method.kind == "tokened"
        methods[b"/invoke/" + name] = Method(number, quoted, method.deadline / MILLISECOND, has_key)
    return methods


class InvocationParser:
    """Validates requests by the settings of one dispatcher."""

    def __init__(self, configuration: Configuration, settings: Settings) -> None:
        self.methods = methods_by_path(configuration, settings)
        tenants = configuration.platform.tenants
        self.customers = {tenant.name.encode(): number for number, tenant in enumerate(tenants)}

    def parse(self, request: fastcgi.Request, path: bytes) -> Invocation:
        """Validate a request. Raises InvalidRequestError."""
        fields = request.fields
        method = self.methods.get(path)
        if method is None:
            raise InvalidRequestError(
                404, "no such class", "SCRIPT_NAME", path, "a path of the settings' profiles"
            )
        call_id = parse_id(fields, b"HTTP_X_CALL_ID", "X-Call-Id")
        function = parse_id(fields, b"HTTP_X_ENTITY", "X-Entity")
        patience = parse_number(fields, b"HTTP_X_PATIENCE_MS", method.deadline + PATIENCE_TOLERANCE)
        if not patience:
            found = fields.get(b"HTTP_X_PATIENCE_MS")
            message = "X-Patience-Ms is missing or nothing"
            raise InvalidRequestError(400, message, "X-Patience-Ms", found, "milliseconds above 0")
        work = parse_number(fields, b"HTTP_X_WEIGHT_MS", MAX_WORK)
        repeat = parse_repeat(fields)
        key = parse_key(fields, method)
        customer = self.customer(fields.get(b"HTTP_X_CUSTOMER", b""))
        check_content_length(request)
        attributes = parse_attributes(fields.get(b"HTTP_X_ATTRS", b""))
        memory = parse_number(attributes, b"memory_mb", MAX_MEMORY) or 0.0
        lanes = parse_number(attributes, b"lanes", MAX_LANES)
        load = parse_number(attributes, b"load_ms", MAX_WORK)
        return Invocation(
            method=method,
            id=call_id,
            function=function,
            patience=min(patience, method.deadline),
            work=work,
            repeat=repeat,
            key=key,
            customer=customer,
            memory=memory,
            lanes=checked_lanes(lanes, attributes),
            load=load,
        )

    def customer(self, name: bytes) -> int:
        """The index of a customer in the settings; a call without a customer gets an index after the last.

        Such a call has no share or quota of its own. Raises InvalidRequestError for an unknown name.
        """
        customer = self.customers.get(name, len(self.customers)) if self.customers else 0
        if name and self.customers and customer == len(self.customers):
            message = "X-Customer is none of the settings' tenants"
            raise InvalidRequestError(400, message, "X-Customer", name, "a tenant of the settings")
        return customer

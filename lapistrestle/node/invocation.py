"""What a client asks for: the headers of a request checked, strictly, and made into one value."""

import re
from math import isfinite

from msgspec import Struct

from lapistrestle.node import fastcgi
from lapistrestle.node.configuration import Configuration
from lapistrestle.policy.settings import Settings

MAX_WORK = 600_000.0  # milliseconds
MAX_MEMORY = 1e6  # MB
MAX_LANES = 1024
# milliseconds past its class's deadline, as every time limit on sockets may be
PATIENCE_TOLERANCE = 50
LENGTH_DIGITS = 9  # of a content length that is read: more than any body has

ID = re.compile(rb"[0-9a-f]{16}")
KEY = re.compile(rb"[0-9A-Za-z._:-]{1,64}")
NUMBER = re.compile(rb"[0-9]{1,12}(\.[0-9]{1,9})?")


class InvalidRequestError(Exception):
    """A request that can't be used. Its text goes to the client.

    `status` is the HTTP status that it is owed; `where` the header or part at fault, `found` what it held
    (None: it was missing), and `expected` what it should hold.
    """

    def __init__(self, status: int, message: str, where: str, found: bytes | None, expected: str) -> None:
        super().__init__(message)
        self.status = status
        self.message = message
        self.where = where
        self.found = found
        self.expected = expected


class Method(Struct, frozen=True, gc=False):
    """A class of calls, as the settings name it."""

    number: int
    quoted: bytes  # its name within a JSON text
    deadline: float  # milliseconds: the longest that a client may wait
    has_key: bool  # each call has an idempotency key, by which a repeat is dropped


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


def parse_number(fields: dict[bytes, bytes], name: bytes, highest: float) -> float | None:
    """A decimal number of a header, None where it is missing. Raises InvalidRequestError."""
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
    """Names and values of `X-Attrs`. Raises InvalidRequestError."""
    attributes = {}
    for entry in text.split(b";"):
        name, colon, value = entry.partition(b":")
        if entry and not colon:
            raise InvalidRequestError(400, "X-Attrs can't be read", "X-Attrs", entry, "name:value")
        attributes[name.strip()] = value.strip()
    return attributes


def parse_id(fields: dict[bytes, bytes], field: bytes, header: str) -> bytes:
    """An id of 16 hexadecimal digits. Raises InvalidRequestError."""
    text = fields.get(field, b"")
    if not ID.fullmatch(text):
        raise InvalidRequestError(400, f"{header} is not 16 hex digits", header, text, "16 hex digits")
    return text


def parse_repeat(fields: dict[bytes, bytes]) -> bool:
    """Whether the client sends a call again. Raises InvalidRequestError."""
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
    """Raises InvalidRequestError where the length that was announced is not the body's."""
    text = request.fields.get(b"CONTENT_LENGTH", b"")
    if text and (not text.isdigit() or int(text[:LENGTH_DIGITS]) != len(request.body)):
        expected = str(len(request.body))
        raise InvalidRequestError(400, "CONTENT_LENGTH is not the body's", "CONTENT_LENGTH", text, expected)


def checked_lanes(lanes: float | None, attributes: dict[bytes, bytes]) -> int:
    """How many calls one copy of the function serves at once; by default 1. Raises InvalidRequestError."""
    if lanes is None:
        return 1
    if lanes < 1 or lanes != int(lanes):
        found = attributes[b"lanes"]
        raise InvalidRequestError(400, "lanes is no count", "lanes", found, "a whole number from 1")
    return int(lanes)


def methods_by_path(configuration: Configuration, settings: Settings) -> dict[bytes, Method]:
    """The classes of calls, by the path that invokes them."""
    methods = {}
    for number, profile in enumerate(configuration.platform.profiles):
        name, method = profile.name.encode(), settings.methods[number]
        quoted = name.replace(b"\\", b"\\\\").replace(b'"', b'\\"')
        has_key = method.kind == "tokened"
        methods[b"/invoke/" + name] = Method(number, quoted, method.deadline / 10, has_key)
    return methods


class InvocationParser:
    """Requests to invocations, by the settings of one dispatcher."""

    def __init__(self, configuration: Configuration, settings: Settings) -> None:
        self.methods = methods_by_path(configuration, settings)
        tenants = configuration.platform.tenants
        self.customers = {tenant.name.encode(): number for number, tenant in enumerate(tenants)}

    def parse(self, request: fastcgi.Request, path: bytes) -> Invocation:
        """The call of a request. Raises InvalidRequestError where that can't be used."""
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
        """The customer's number; whom the settings don't share out to has no share: one that names nobody
        takes nobody's. Raises InvalidRequestError.
        """
        customer = self.customers.get(name, len(self.customers)) if self.customers else 0
        if name and self.customers and customer == len(self.customers):
            message = "X-Customer is none of the settings' tenants"
            raise InvalidRequestError(400, message, "X-Customer", name, "a tenant of the settings")
        return customer

"""The current protocols, settings and command line, in the form of the files in `data/`."""

import json
from pathlib import Path
from typing import Any

import click
import msgspec
import schema
from wire_names import (
    CONSTANTS,
    FLEET_DATAGRAM,
    FLEET_UNION,
    JSON_UNIONS,
    SETTINGS,
    decode_datagram,
    encode_datagram,
    encode_line,
    line_decoder,
)

from lapistrestle.command.main import main

DATA = Path(__file__).parent / "data"
FLEET = "pinned"


def wire(protocol: str) -> Any:
    """Describe a line protocol: by direction and tag, the fields of a message and two encoded examples."""
    return {
        direction: {
            tag: {"lines": [reencoded(union, line) for line in lines], "holds": schema.tags(union)[tag]}
            for tag, lines in example_lines(union).items()
        }
        for direction, union in JSON_UNIONS[protocol].items()
    }


def example_lines(union: Any) -> dict[str, list[bytes]]:
    return {
        tag: [json.dumps(message, ensure_ascii=False).encode() for message in messages]
        for tag, messages in schema.examples(union).items()
    }


def reencoded(union: Any, line: bytes) -> str:
    """Decode a line and return it encoded again."""
    return encode_line(line_decoder(union)(line)).decode()


def fleet_wire() -> Any:
    """Describe datagrams: the fields, and by tag of the message two encoded examples in hexadecimal."""
    whole = schema.sample(FLEET_DATAGRAM)
    examples = {
        tag: [encode_datagram(decode_datagram(datagram(whole, message), FLEET)).hex() for message in messages]
        for tag, messages in schema.examples(FLEET_UNION).items()
    }
    return {"holds": schema.described(FLEET_DATAGRAM), "datagrams": examples}


def datagram(whole: list[Any], message: list[Any]) -> bytes:
    """Encode a datagram with this message; the other fields are the same in all examples."""
    _, _, sender, _, records = whole
    return msgspec.msgpack.encode([FLEET, 1, sender, message, records])


def settings() -> Any:
    """Describe all keys of the settings files."""
    return {name: schema.described(kind) for name, kind in SETTINGS.items()}


def command_line(command: click.Command = main, path: str = "lapistrestle") -> dict[str, Any]:
    """Return the arguments and options of each command, by its full name."""
    found = {path: [parameter(one) for one in command.params]}
    if isinstance(command, click.Group):
        for name, part in command.commands.items():
            found |= command_line(part, f"{path} {name}")
    return found


def parameter(one: click.Parameter) -> dict[str, Any]:
    """Describe an argument or option: its spelling, type and default."""
    info = one.to_info_dict()
    options = [*one.opts, *one.secondary_opts]
    return {
        "spelled": one.human_readable_name if isinstance(one, click.Argument) else options,
        "takes": info["type"].get("choices", info["type"]["name"]),
        "values": one.nargs,
        "required": one.required,
        "repeats": info.get("multiple", False),
        "flag": info.get("is_flag", False),
        "default": "worked out" if callable(one.default) else info["default"],
    }


def all_found() -> dict[Path, Any]:
    """Return the content of each data file, by path."""
    return {
        **{DATA / "wire" / f"{protocol}.json": wire(protocol) for protocol in JSON_UNIONS},
        DATA / "wire" / "fleet.json": fleet_wire(),
        DATA / "wire" / "constants.json": CONSTANTS,
        DATA / "settings.json": settings(),
        DATA / "cli.json": command_line(),
    }

"""What protocols, settings and command line look like now, in the form of the files in `data/`."""

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
    """A protocol of lines: by direction and tag, what a message holds and two examples of its bytes."""
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
    """The line as this package writes what it reads there."""
    return encode_line(line_decoder(union)(line)).decode()


def fleet_wire() -> Any:
    """What a datagram holds, and by tag of its word two examples of its bytes, as hexadecimal digits."""
    whole = schema.sample(FLEET_DATAGRAM)
    examples = {
        tag: [encode_datagram(decode_datagram(datagram(whole, word), FLEET)).hex() for word in words]
        for tag, words in schema.examples(FLEET_UNION).items()
    }
    return {"holds": schema.described(FLEET_DATAGRAM), "datagrams": examples}


def datagram(whole: list[Any], word: list[Any]) -> bytes:
    """A datagram's bytes around a word; the rest is the same in each."""
    _, _, sender, _, claims = whole
    return msgspec.msgpack.encode([FLEET, 1, sender, word, claims])


def settings() -> Any:
    """Every key of the settings files."""
    return {name: schema.described(kind) for name, kind in SETTINGS.items()}


def command_line(command: click.Command = main, path: str = "lapistrestle") -> dict[str, Any]:
    """By the words of each command, its arguments and options."""
    found = {path: [parameter(one) for one in command.params]}
    if isinstance(command, click.Group):
        for name, part in command.commands.items():
            found |= command_line(part, f"{path} {name}")
    return found


def parameter(one: click.Parameter) -> dict[str, Any]:
    """How one argument or option is spelled and what it takes."""
    told = one.to_info_dict()
    options = [*one.opts, *one.secondary_opts]
    return {
        "spelled": one.human_readable_name if isinstance(one, click.Argument) else options,
        "takes": told["type"].get("choices", told["type"]["name"]),
        "values": one.nargs,
        "required": one.required,
        "repeats": told.get("multiple", False),
        "flag": told.get("is_flag", False),
        "default": "worked out" if callable(one.default) else told["default"],
    }


def all_found() -> dict[Path, Any]:
    """Each file and what stands in it."""
    return {
        **{DATA / "wire" / f"{protocol}.json": wire(protocol) for protocol in JSON_UNIONS},
        DATA / "wire" / "fleet.json": fleet_wire(),
        DATA / "wire" / "constants.json": CONSTANTS,
        DATA / "settings.json": settings(),
        DATA / "cli.json": command_line(),
    }

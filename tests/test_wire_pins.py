"""Wire formats, settings and command line are unchanged since d027b98 (`tests/data/README.md`)."""

import json
import shlex
import tomllib
from pathlib import Path
from typing import Any

import pins
import pytest
import schema
from wire_names import (
    CONSTANTS,
    FLEET_DATAGRAM,
    FLEET_UNION,
    JSON_UNIONS,
    LOADERS,
    SETTINGS,
    decode_datagram,
    encode_datagram,
)

ROOT = Path(__file__).parent.parent
DIRECTIONS = [
    (protocol, direction) for protocol, directions in JSON_UNIONS.items() for direction in directions
]


def pinned(*path: str) -> Any:
    """Return the content of one of the data files."""
    return json.loads(pins.DATA.joinpath(*path).read_text())


def test_every_pinned_file_belongs_to_a_protocol() -> None:
    files = {path.stem for path in (pins.DATA / "wire").iterdir()}
    assert files == {*JSON_UNIONS, "fleet", "constants"}


@pytest.mark.parametrize("protocol", JSON_UNIONS)
def test_each_direction_has_the_same_messages(protocol: str) -> None:
    expected = pinned("wire", f"{protocol}.json")
    unions = JSON_UNIONS[protocol]
    assert set(expected) == set(unions)
    assert {direction: set(tags) for direction, tags in expected.items()} == {
        direction: set(schema.tags(union)) for direction, union in unions.items()
    }


@pytest.mark.parametrize(("protocol", "direction"), DIRECTIONS)
def test_each_message_has_the_same_fields(protocol: str, direction: str) -> None:
    found = schema.tags(JSON_UNIONS[protocol][direction])
    for tag, message in pinned("wire", f"{protocol}.json")[direction].items():
        assert found[tag] == message["holds"], tag


@pytest.mark.parametrize(("protocol", "direction"), DIRECTIONS)
def test_each_line_is_decoded_and_encoded_with_the_same_bytes(protocol: str, direction: str) -> None:
    union = JSON_UNIONS[protocol][direction]
    for message in pinned("wire", f"{protocol}.json")[direction].values():
        complete, least = message["lines"]
        for line in (complete, least):
            assert pins.reencoded(union, line.encode()) == line
        fields = message["holds"]["fields"]
        assert list(json.loads(complete)) == ["is", *fields]
        assert set(json.loads(least)) == {"is"} | {f for f in fields if fields[f][1] == "required"}


def test_datagrams_have_the_same_messages_and_fields() -> None:
    expected = pinned("wire", "fleet.json")
    assert set(expected["datagrams"]) == set(schema.tags(FLEET_UNION))
    assert schema.described(FLEET_DATAGRAM) == expected["holds"]


@pytest.mark.parametrize("tag", pinned("wire", "fleet.json")["datagrams"])
def test_each_datagram_is_decoded_and_encoded_with_the_same_bytes(tag: str) -> None:
    for digits in pinned("wire", "fleet.json")["datagrams"][tag]:
        assert encode_datagram(decode_datagram(bytes.fromhex(digits), pins.FLEET)).hex() == digits


def test_names_and_versions_of_protocols() -> None:
    assert pinned("wire", "constants.json") == CONSTANTS


@pytest.mark.parametrize("kind", SETTINGS)
def test_settings_have_the_same_keys(kind: str) -> None:
    assert schema.described(SETTINGS[kind]) == pinned("settings.json")[kind]


def test_no_kind_of_settings_is_missing() -> None:
    assert set(pinned("settings.json")) == set(SETTINGS)


def test_commands_and_options_are_spelled_the_same() -> None:
    found, expected = pins.command_line(), pinned("cli.json")
    assert set(found) == set(expected)
    for command, parameters in expected.items():
        assert json.loads(json.dumps(found[command])) == parameters, command


# files distributed with the program


def loaders_of(path: Path) -> list[Any]:
    return [load for pattern, load in LOADERS.items() if path in (ROOT / "examples").glob(pattern)]


EXAMPLES = sorted(path.relative_to(ROOT) for path in (ROOT / "examples").rglob("*.*"))


@pytest.mark.parametrize("path", EXAMPLES, ids=str)
def test_an_example_loads(path: Path) -> None:
    (load,) = loaders_of(ROOT / path)
    assert load(ROOT / path) is not None


@pytest.mark.parametrize("site", sorted((ROOT / "deploy" / "sites").iterdir()), ids=lambda site: site.name)
def test_a_site_loads(site: Path) -> None:
    expected = tomllib.loads((site / f"{site.name}.toml").read_text())
    assert expected["name"] == site.name
    assert json.loads((site / expected["wire"]).read_text())["family"] == expected["family"]
    for name in ("design.json", "real.json"):
        assert json.loads((site / name).read_text())
    assert all(line.startswith("unlock ") for line in (site / "unlock.txt").read_text().splitlines())


def test_the_files_named_by_the_deploy_file_exist() -> None:
    expected = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
    assert list(expected) == ["build", "run", "sim", "policy", "node", "packages"]
    for command, module in (("run", "lapistrestle.node"), ("sim", "lapistrestle.benchlink")):
        words = shlex.split(expected[command])
        assert words[-2:] == ["-m", module]
        assert (ROOT / module.replace(".", "/") / "__main__.py").exists()
    for path in (*expected["policy"], *expected["node"]):
        assert (ROOT / path).exists(), path

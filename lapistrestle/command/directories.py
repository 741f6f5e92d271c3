"""The commands `lapistrestle directory`: run a holder of the directory, and show the state of one."""

import secrets
from pathlib import Path
from typing import Any

import click
import msgspec
from rich.console import Console
from rich.table import Table

from lapistrestle.command.programs import as_json, serve, tell_port
from lapistrestle.command.query import send_query
from lapistrestle.deployment.load import DeploymentError, load_holder
from lapistrestle.edge.reactor import monotonic_reactor
from lapistrestle.records.logs import make_log


@click.group()
def directory() -> None:
    """The directory of instances, from which dispatchers get the workers of the functions that they call."""


@directory.command("serve")
@click.argument("settings", type=click.Path(path_type=Path))
@click.option("--port", type=int, help="Port to listen at, instead of that in the settings.")
@click.option("--roster-port", type=int, help="Port of the roster, instead of that in the settings.")
@tell_port
@as_json
def serve_shards(
    settings: Path, port: int | None, roster_port: int | None, tell_port: Path | None, json_: bool
) -> None:
    """Run a holder: follow the roster, and serve the shards that SETTINGS name to dispatchers.

    On SIGTERM it announces to them that it stops; they switch to another replica of the shard at once.
    """
    from lapistrestle.directory.server import HolderProgram

    deployment = load_holder(settings)
    if port is not None:
        deployment.serve.port = port
    if roster_port is not None:
        deployment.roster.port = roster_port
    if not deployment.roster.port:
        raise DeploymentError(f"{settings}: roster.port: is missing; a holder needs one (or --roster-port)")
    reactor = monotonic_reactor()
    program = HolderProgram(reactor, deployment, make_log(json_), secrets.randbits(32))
    serve(reactor, program.start, tell_port, lambda: program.stop(reactor.stop))


@directory.command("show")
@click.argument("function", default="")
@click.option("--port", default=7200, show_default=True, help="Port of the holder.")
@as_json
def show_directory(function: str, port: int, json_: bool) -> None:
    """Show shards, replicas, epoch, revision and load of one holder; with FUNCTION its shard and prefix."""
    from lapistrestle.wire import directory as wire

    no_answer = f"no answer from a holder at port {port}"
    answer = send_query(port, wire.DIRECTORY, wire.FromHolder, wire.InspectRequest(function), no_answer)
    state = msgspec.json.decode(answer.body, type=dict[str, Any])
    if json_:
        return click.echo(msgspec.json.encode(state).decode())
    if function:
        print_function(state)
    else:
        print_holder(state)


@directory.command("watched")
@click.option("--port", default=7100, show_default=True, help="Port at which the dispatcher accepts clients.")
@as_json
def show_watched(port: int, json_: bool) -> None:
    """Show what one dispatcher has cached of the directory."""
    from lapistrestle.wire import messages

    no_answer = f"no answer from an edge at port {port}"
    answer = send_query(
        port, messages.CLIENT, messages.ToClient, messages.InspectRequest("directory"), no_answer
    )
    state = msgspec.json.decode(answer.body, type=dict[str, Any])
    if json_:
        return click.echo(msgspec.json.encode(state).decode())
    reached = f"{state['shards reached']} of {state['shards']} shards reached"
    click.echo(f"{state['name']}, epoch {state['epoch']}; {reached}, {state['connections']} connections")
    held = f"{state['instances']} instances of {state['functions']} functions"
    click.echo(f"{held}; {state['waiting']} requests wait for a look-up")
    counts = ", ".join(f"{count} {what}" for what, count in state["look-ups"].items())
    click.echo(f"look-ups so far: {counts}")
    if region := state["region"]:
        sums = f"{region['instances']} instances, size {region['size']:g}, warm {region['warm']:g}"
        click.echo(f"region: {sums}, told {region['told ms ago']:.0f} ms ago")


def print_holder(state: dict[str, Any]) -> None:
    """Print a holder's state as text."""
    click.echo(headline(state))
    click.echo(f"{state['instances']} instances, {state['functions']} functions watched")
    rate = f"{state['bytes a second']:.0f} bytes a second, at most {state['most bytes in a second']}"
    click.echo(f"{state['sessions']} sessions ({state['slow']} slow), {state['watches']} watches, {rate}")
    busy = state["snapshots refused as busy"]
    click.echo(f"{busy} told to come back, {state['turned away']} closed, {state['cut as slow']} cut as slow")
    table = Table("shard", "here", "copies")
    for number, copies in enumerate(state["copies"]):
        here = "yes" if number in state["shards"] else ""
        table.add_row(str(number), here, ", ".join(map(format_copy, copies)))
    Console().print(table)


def print_function(state: dict[str, Any]) -> None:
    """Print a function's shard and the beginning of its order as text."""
    click.echo(headline(state))
    copies = ", ".join(map(format_copy, state["copies"][state["shard"]]))
    elsewhere = "" if state["shard"] in state["shards"] else ", which is not here"
    click.echo(f"{state['function']} is in shard {state['shard']}{elsewhere}, at {copies}")
    prefix = f"the longest prefix has {state['longest prefix']} of {state['instances']} instances"
    click.echo(f"{state['watchers']} watchers here, {prefix}; the order begins:")
    table = Table("place", "instance", "port", "zone", "size", "is", "start")
    for place, entry in enumerate(state["order"], 1):
        size, listing = entry.get("size", 1.0), entry.get("listing", "serving")
        zone, start = entry.get("zone", ""), entry.get("start", "")
        table.add_row(str(place), entry["name"], str(entry.get("port", 0)), zone, f"{size:g}", listing, start)
    Console().print(table)


def headline(state: dict[str, Any]) -> str:
    """Return the holder's name, epoch and revision as a line of text."""
    revision = state["revision"]
    number, source = revision.get("number", -1), revision.get("source", "")
    where = f" in zone {state['zone']}" if state["zone"] else ""
    known = f"revision {number} of {source or 'no roster yet'}, {state['knowledge']}"
    return f"{state['holder']}{where}, epoch {state['epoch']}; {known}, {state['age ms']:.0f} ms old"


def format_copy(copy: dict[str, Any]) -> str:
    """Return the address of a shard's holder, with its zone."""
    zone = f" ({copy['zone']})" if copy["zone"] else ""
    return f"{copy['host']}:{copy['port']}{zone}"

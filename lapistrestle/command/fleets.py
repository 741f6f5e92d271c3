"""`lapistrestle fleet`: what an edge knows of the other edges."""

from typing import Any

import click
import msgspec
from rich.console import Console
from rich.table import Table

from lapistrestle.command.asking import asked
from lapistrestle.command.programs import as_json
from lapistrestle.wire import messages as wire


def ask(port: int) -> dict[str, Any]:
    """What the edge at that port says of its fleet."""
    none = f"no answer from an edge at port {port}"
    shown = asked(port, wire.CLIENT, wire.ToClient, wire.InspectRequest("fleet"), none)
    return msgspec.json.decode(shown.body, type=dict[str, Any])


@click.group()
def fleet() -> None:
    """Edges among themselves: who is there, and what they let in."""


port_option = click.option("--port", default=7100, show_default=True, help="Where the edge answers clients.")


@fleet.command()
@port_option
@as_json
def show(port: int, json_: bool) -> None:
    """Members as one edge sees them, and its level of admission."""
    shown = ask(port)
    if json_:
        return click.echo(msgspec.json.encode(shown).decode())
    door = shown["door"]
    place = f"{shown['name']} is {shown['standing']} of {shown['fleet']}"
    click.echo(f"{place}, {shown['size']} there, doubt {shown['doubt']}")
    click.echo(f"figures {door['step']}, {door['told']} heard, {door['age ms']:.0f} ms old")
    level = f"level {door['level']} of {door['rungs']}"
    click.echo(f"{door['shedding']}, {level}, {door['denied']} denied at the door")
    if door["further"] is not None:
        click.echo(f"further call-outs: {door['further']} a second")
    if loads := shown["loads"]:
        part = f"cut {loads['cut']}, lent {loads['lent']}, borrowed {loads['borrowed']}"
        click.echo(f"loads: {loads['under way']} under way, {loads['may']} may be ({part})")
    table = Table("member", "zone", "port", "is", "for s", "heard s ago", "accused by")
    for m in shown["members"]:
        heard = "" if m["heard ms ago"] is None else f"{m['heard ms ago'] / 1000:.1f}"
        since, accused = f"{m['for ms'] / 1000:.0f}", ", ".join(m["accused by"])
        table.add_row(m["name"], m["zone"], str(m["port"]), m["is"], since, heard, accused)
    Console().print(table)


@fleet.command()
@click.argument("member")
@port_option
def explain(member: str, port: int) -> None:
    """Why an edge believes of MEMBER what it does."""
    shown = ask(port)
    found = next((m for m in shown["members"] if m["name"] == member), None)
    if found is None:
        names = ", ".join(m["name"] for m in shown["members"]) or "nobody"
        raise click.ClickException(f"{shown['name']} does not know {member}; it knows {names}")
    since = f"{found['for ms'] / 1000:.1f} s"
    accusers = ", ".join(found["accused by"]) or "somebody"
    why = {
        "alive": f"it counts as there since {since}",
        "suspect": f"for {since} it has not answered {accusers}, directly or through others; it counts as "
                   "there until it is dead or speaks",
        "dead": f"it was silent past its time, {since} ago; it is asked again now and then",
        "left": f"it said {since} ago that it leaves",
    }[found["is"]]  # fmt: skip
    heard = found["heard ms ago"]
    spoke = f"It last spoke {heard / 1000:.1f} s ago" if heard is not None else "It never spoke to this edge"
    click.echo(f"{member} is {found['is']}: {why}. {spoke}; incarnation {found['incarnation']}.")

"""The commands `lapistrestle fleet`: an edge's view of the fleet."""

from typing import Any

import click
import msgspec
from rich.console import Console
from rich.table import Table

from lapistrestle.command.programs import as_json
from lapistrestle.command.query import send_query
from lapistrestle.wire import messages as wire


def fleet_state(port: int) -> dict[str, Any]:
    """Return the state of the fleet as the edge at that port sees it. Raises ClickException."""
    no_answer = f"no answer from an edge at port {port}"
    response = send_query(port, wire.CLIENT, wire.ToClient, wire.InspectRequest("fleet"), no_answer)
    return msgspec.json.decode(response.body, type=dict[str, Any])


@click.group()
def fleet() -> None:
    """The fleet of edges: its members, and its admission control."""


port_option = click.option(
    "--port", default=7100, show_default=True, help="Port at which the edge accepts clients."
)


@fleet.command()
@port_option
@as_json
def show(port: int, json_: bool) -> None:
    """Show the members as one edge sees them, and its admission level."""
    state = fleet_state(port)
    if json_:
        return click.echo(msgspec.json.encode(state).decode())
    admission = state["door"]
    membership = f"{state['name']} is {state['standing']} of {state['fleet']}"
    click.echo(f"{membership}, {state['size']} there, doubt {state['doubt']}")
    click.echo(f"figures {admission['step']}, {admission['told']} heard, {admission['age ms']:.0f} ms old")
    level = f"level {admission['level']} of {admission['rungs']}"
    click.echo(f"{admission['shedding']}, {level}, {admission['denied']} denied at the door")
    if admission["further"] is not None:
        click.echo(f"further call-outs: {admission['further']} a second")
    if loads := state["loads"]:
        shares = f"cut {loads['cut']}, lent {loads['lent']}, borrowed {loads['borrowed']}"
        click.echo(f"loads: {loads['under way']} under way, {loads['may']} may be ({shares})")
    table = Table("member", "zone", "port", "is", "for s", "heard s ago", "accused by")
    for m in state["members"]:
        heard = "" if m["heard ms ago"] is None else f"{m['heard ms ago'] / 1000:.1f}"
        since, accused = f"{m['for ms'] / 1000:.0f}", ", ".join(m["accused by"])
        table.add_row(m["name"], m["zone"], str(m["port"]), m["is"], since, heard, accused)
    Console().print(table)


@fleet.command()
@click.argument("member")
@port_option
def explain(member: str, port: int) -> None:
    """Explain the state that an edge assigns to MEMBER."""
    state = fleet_state(port)
    found = next((m for m in state["members"] if m["name"] == member), None)
    if found is None:
        names = ", ".join(m["name"] for m in state["members"]) or "nobody"
        raise click.ClickException(f"{state['name']} does not know {member}; it knows {names}")
    since = f"{found['for ms'] / 1000:.1f} s"
    accusers = ", ".join(found["accused by"]) or "somebody"
    reason = {
        "alive": f"it has been alive for {since}",
        "suspect": f"for {since} it has not answered {accusers}, directly or through others; it counts as a "
                   "live member until it answers or is declared dead",
        "dead": f"it was silent past the suspicion timeout, {since} ago; it is still probed at times",
        "left": f"it announced {since} ago that it leaves",
    }[found["is"]]  # fmt: skip
    heard = found["heard ms ago"]
    last_message = (
        f"Its last message came {heard / 1000:.1f} s ago"
        if heard is not None
        else "It has sent no message to this edge"
    )
    click.echo(f"{member} is {found['is']}: {reason}. {last_message}; incarnation {found['incarnation']}.")

"""`lapistrestle planner` and `lapistrestle rollout`."""

import getpass
import uuid
from collections.abc import Callable
from pathlib import Path
from typing import Annotated, Any

import click
import msgspec
from msgspec import Meta
from rich.console import Console
from rich.table import Table

from lapistrestle.command.asking import asked as ask
from lapistrestle.command.programs import as_json, serve, tell_port
from lapistrestle.deployment.load import DeploymentError, convert_value, read_json5
from lapistrestle.deployment.schema import Duration, SettingsGroup
from lapistrestle.edge.reactor import monotonic_reactor
from lapistrestle.planner.server import Planner
from lapistrestle.records.logs import make_log
from lapistrestle.rollout_types import CommandOutcome
from lapistrestle.store.journal import Journal, JournalError
from lapistrestle.wire import messages as wire
from lapistrestle.wire import plans


@click.command()
@click.argument("journal", type=click.Path(path_type=Path))
@click.option("--port", default=0, help="0: a free one.")
@tell_port
@as_json
def planner(journal: Path, port: int, tell_port: Path | None, json_: bool) -> None:
    """Run a planner that keeps rollouts in the file JOURNAL and tells edges which version gets what share."""
    reactor = monotonic_reactor()
    try:
        kept = Journal(journal)
    except JournalError as trouble:
        raise DeploymentError(str(trouble)) from None
    program = Planner(reactor, kept, make_log(json_))
    program.on_stopped = reactor.stop
    serve(reactor, lambda: program.start(port), tell_port, reactor.stop)


class Policy(SettingsGroup):
    """Steps in percent, and for how long clients may come back."""

    steps: list[Annotated[float, Meta(gt=0, le=100)]]
    remembered: Duration = Duration(600_000)


def asked(port: int, message: wire.Message) -> Any:
    """The planner's answer. Raises ClickException where none comes: the order may be given again, same id."""
    none = f"no answer from a planner at port {port}; give the same order again"
    return ask(port, plans.PLANNER, plans.FromPlanner, message, none)


@click.group()
def rollout() -> None:
    """A new version of a function: let it grow by share, hold it, take it back."""


port = click.option("--port", required=True, type=int, help="Of the planner.")


def order(what: Any, help_: str) -> None:
    """Makes `rollout WHAT`."""

    @port
    @click.option("--fn", "function", required=True, help="The function.")
    @click.option("--candidate", default="", help="The new version.", required=what == "start")
    @click.option("--why", default="", help="Kept in the history.")
    @click.option("--who", default=getpass.getuser, show_default="you")
    @click.option("--id", "id_", help="The order's own; given twice, it is answered as the first time.")
    @as_json
    def command(
        port: int,
        function: str,
        candidate: str,
        why: str,
        who: str,
        id_: str | None,
        json_: bool,
        **more: Any,
    ) -> None:
        if (path := more.pop("policy", None)) is not None:
            value, text = read_json5(path)
            policy = convert_value(value, Policy, text, str(path))
            more["steps"] = tuple(step / 100 for step in policy.steps)
            more["retention"] = policy.remembered / 10
        made = plans.RolloutCommand(id_ or uuid.uuid4().hex, what, function, who, why, candidate, **more)
        reply = asked(port, made)
        if json_:
            click.echo(msgspec.json.encode(reply))
        else:
            late = f"; not there yet: {', '.join(reply.edges_behind)}" if reply.edges_behind else ""
            stands = f"{function} is {reply.state} at {reply.weight:.0%}"
            click.echo(f"{reply.outcome}: {reply.message}; {stands}{late}")
        raise SystemExit(1 if reply.outcome == CommandOutcome.REFUSED.value else 0)

    made: Callable[..., None] = command
    if what == "start":
        made = click.option("--steps", default="1,5,25,100", callback=shares, show_default=True)(made)
        made = click.option("--policy", type=click.Path(path_type=Path), help="JSON5 file.")(made)
        made = click.option("--remembered", "retention", default=60_000.0, show_default=True,
                            help="Milliseconds in which clients may come back.")(made)  # fmt: skip
    rollout.command(what, help=help_)(made)


def shares(ctx: click.Context, option: click.Parameter, said: str) -> tuple[float, ...]:
    try:
        return tuple(float(part) / 100 for part in said.split(","))
    except ValueError:
        raise click.BadParameter(f'"{said}"; expected percentages such as 1,5,25,100') from None


order("start", "Begin: load the candidate, then give it its first share.")
order("advance", "Go to the next step without waiting for evidence.")
order("hold", "Stay at this share.")
order("resume", "Go on after a hold.")
order("back", "Take the candidate back: nothing new reaches it after a second.")


@rollout.command()
@port
@as_json
def status(port: int, json_: bool) -> None:
    """How rollouts stand, and which plan each edge has."""
    told: plans.PlannerStatus = asked(port, plans.StatusRequest())
    if json_:
        return click.echo(msgspec.json.encode(told))
    table = Table(title=f"plan {told.number}, epoch {told.epoch}")
    for head in ("function", "settled", "candidate", "state", "share", "next", "settled bad/all",
                 "candidate bad/all", "harm (back at 4.6)", "good (on at 3.0)"):  # fmt: skip
        table.add_column(head)
    for one in told.rollouts:
        old, old_bad, new, new_bad = one.counts
        table.add_row(
            one.function, one.settled or "-", one.candidate, one.state,
            f"{one.weight:.0%}", f"{one.next_weight:.0%}",
            f"{old_bad}/{old}", f"{new_bad}/{new}", f"{one.log_harm:.1f}", f"{one.log_safety:.1f}",
        )  # fmt: skip
    Console(width=140).print(table)
    for edge, has in sorted(told.plan_by_edge.items()):
        click.echo(f"{edge}: plan {has}")
    for one in told.rollouts:
        for edge, why in sorted(one.shortages.items()):
            click.echo(f"{one.function} at {edge}: {why}")


@rollout.command()
@port
@click.option("--fn", "function", required=True)
@as_json
def history(port: int, function: str, json_: bool) -> None:
    """What happened to a function's newest rollout, by whom and why."""
    told: plans.PlannerStatus = asked(port, plans.StatusRequest())
    found = [one for one in told.rollouts if one.function == function]
    if not found:
        raise click.ClickException(f"{function} has no rollout")
    if json_:
        return click.echo(msgspec.json.encode(found[0].history))
    for at, who, why, given, state in found[0].history:
        click.echo(f"{at / 1000:10.1f} s  {given:10} by {who:10} to {state:12} {why}")

"""The commands `lapistrestle planner` and `lapistrestle rollout`."""

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

from lapistrestle.command.programs import as_json, serve, tell_port
from lapistrestle.command.query import send_query
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
@click.option("--port", default=0, help="Port to listen at; 0: any free one.")
@tell_port
@as_json
def planner(journal: Path, port: int, tell_port: Path | None, json_: bool) -> None:
    """Run a planner: it stores rollouts in the file JOURNAL and sends edges the share of each version."""
    reactor = monotonic_reactor()
    try:
        opened = Journal(journal)
    except JournalError as error:
        raise DeploymentError(str(error)) from None
    program = Planner(reactor, opened, make_log(json_))
    program.on_stopped = reactor.stop
    serve(reactor, lambda: program.start(port), tell_port, reactor.stop)


class RolloutPolicy(SettingsGroup):
    """A policy file: steps in percent, and for how long clients may retry requests on a version."""

    steps: list[Annotated[float, Meta(gt=0, le=100)]]
    remembered: Duration = Duration(600_000)


def query_planner(port: int, message: wire.Message) -> Any:
    """Return the planner's answer. Raises ClickException if there is none.

    A command without an answer may be repeated with the same id, as the planner executes it only once.
    """
    no_answer = f"no answer from a planner at port {port}; give the same order again"
    return send_query(port, plans.PLANNER, plans.FromPlanner, message, no_answer)


@click.group()
def rollout() -> None:
    """Rollouts: increase a new version's share of calls in steps, hold it, or roll it back."""


port = click.option("--port", required=True, type=int, help="Port of the planner.")


def add_command(action: Any, help_: str) -> None:
    """Add the command `rollout ACTION`."""

    @port
    @click.option("--fn", "function", required=True, help="The function.")
    @click.option("--candidate", default="", help="The new version.", required=action == "start")
    @click.option("--why", default="", help="Reason, shown in the history.")
    @click.option("--who", default=getpass.getuser, show_default="you")
    @click.option(
        "--id", "id_", help="Id of the command; a repeated id is not executed again, but answered as before."
    )
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
            policy = convert_value(value, RolloutPolicy, text, str(path))
            more["steps"] = tuple(step / 100 for step in policy.steps)
            more["retention"] = policy.remembered / 10
        message = plans.RolloutCommand(id_ or uuid.uuid4().hex, action, function, who, why, candidate, **more)
        reply = query_planner(port, message)
        if json_:
            click.echo(msgspec.json.encode(reply))
        else:
            behind = f"; not there yet: {', '.join(reply.edges_behind)}" if reply.edges_behind else ""
            state = f"{function} is {reply.state} at {reply.weight:.0%}"
            click.echo(f"{reply.outcome}: {reply.message}; {state}{behind}")
        raise SystemExit(1 if reply.outcome == CommandOutcome.REFUSED.value else 0)

    decorated: Callable[..., None] = command
    if action == "start":
        decorated = click.option("--steps", default="1,5,25,100", callback=parse_weights,
                                 show_default=True)(decorated)  # fmt: skip
        decorated = click.option("--policy", type=click.Path(path_type=Path), help="JSON5 file.")(decorated)
        decorated = click.option("--remembered", "retention", default=60_000.0, show_default=True,
                                 help="Milliseconds in which clients may retry.")(decorated)  # fmt: skip
    rollout.command(action, help=help_)(decorated)


def parse_weights(ctx: click.Context, option: click.Parameter, value: str) -> tuple[float, ...]:
    """Convert comma-separated percentages to weights from 0 to 1."""
    try:
        return tuple(float(percent) / 100 for percent in value.split(","))
    except ValueError:
        raise click.BadParameter(f'"{value}"; expected percentages such as 1,5,25,100') from None


add_command("start", "Start a rollout: load the candidate, then send it its first share of calls.")
add_command("advance", "Go to the next step without waiting for enough outcomes.")
add_command("hold", "Keep the candidate's share as it is.")
add_command("resume", "Continue a rollout that is on hold.")
add_command("back", "Roll back: after a second nothing new is sent to the candidate.")


@rollout.command()
@port
@as_json
def status(port: int, json_: bool) -> None:
    """Show the rollouts, and which plan each edge has."""
    answer: plans.PlannerStatus = query_planner(port, plans.StatusRequest())
    if json_:
        return click.echo(msgspec.json.encode(answer))
    table = Table(title=f"plan {answer.number}, epoch {answer.epoch}")
    for head in ("function", "settled", "candidate", "state", "share", "next", "settled bad/all",
                 "candidate bad/all", "harm (back at 4.6)", "good (on at 3.0)"):  # fmt: skip
        table.add_column(head)
    for item in answer.rollouts:
        old, old_bad, new, new_bad = item.counts
        table.add_row(
            item.function, item.settled or "-", item.candidate, item.state,
            f"{item.weight:.0%}", f"{item.next_weight:.0%}",
            f"{old_bad}/{old}", f"{new_bad}/{new}", f"{item.log_harm:.1f}", f"{item.log_safety:.1f}",
        )  # fmt: skip
    Console(width=140).print(table)
    for edge, plan in sorted(answer.plan_by_edge.items()):
        click.echo(f"{edge}: plan {plan}")
    for item in answer.rollouts:
        for edge, shortage in sorted(item.shortages.items()):
            click.echo(f"{item.function} at {edge}: {shortage}")


@rollout.command()
@port
@click.option("--fn", "function", required=True)
@as_json
def history(port: int, function: str, json_: bool) -> None:
    """Show the history of a function's latest rollout: changes, by whom and why."""
    answer: plans.PlannerStatus = query_planner(port, plans.StatusRequest())
    found = [item for item in answer.rollouts if item.function == function]
    if not found:
        raise click.ClickException(f"{function} has no rollout")
    if json_:
        return click.echo(msgspec.json.encode(found[0].history))
    for at, actor, reason, rollout_input, state in found[0].history:
        click.echo(f"{at / 1000:10.1f} s  {rollout_input:10} by {actor:10} to {state:12} {reason}")

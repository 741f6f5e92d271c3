"""The commands `lapistrestle day`: run a day (a scripted scenario), and check its tape against the rules."""

import sys
import time
from pathlib import Path
from typing import Any

import click
import msgspec
from rich.console import Console
from rich.table import Table

from lapistrestle.checks.rules import RuleResult, check_rules
from lapistrestle.checks.service import Service, measure_service
from lapistrestle.checks.trace import Trace
from lapistrestle.records.logs import make_log
from lapistrestle.standins.play import no_log, play_real, play_virtual
from lapistrestle.standins.script import read_day
from lapistrestle.standins.tape import read_tape

PATH = click.Path(path_type=Path)


@click.group()
def day() -> None:
    """Scripted scenarios of traffic and faults: run them, and check the recorded traffic."""


@day.command("run")
@click.argument("script", type=PATH)
@click.option("--virtual", is_flag=True, help="In simulated time and without sockets, as fast as possible.")
@click.option(
    "--tape", type=PATH, help="File of the recorded traffic; by default beside the script, as NAME.tape."
)
@click.option("--seed", type=int, help="Replaces the seed of the script.")
@click.option("--check/--no-check", default=True, show_default=True, help="Check the tape afterwards.")
@click.option("--verbose", is_flag=True, help="Show the log lines of the edges.")
@click.pass_context
def run_day(
    ctx: click.Context, script: Path, virtual: bool, tape: Path | None, seed: int | None, check: bool,
    verbose: bool,
) -> None:  # fmt: skip
    """Run a day. With --virtual the same script and seed give the same tape, byte for byte."""
    parsed, deployment = read_day(script)
    if seed is not None:
        parsed.seed = seed
    path = tape or script.with_suffix(".tape")
    log = make_log() if verbose else no_log
    started_at = time.monotonic()
    with path.open("wb") as sink:
        world = (play_virtual if virtual else play_real)(parsed, deployment, sink, log)
    counts = ", ".join(f"{n} {name}" for name, n in world.clients.counts.items())
    duration = time.monotonic() - started_at
    click.echo(f"{parsed.name}: {parsed.length / 10_000:.0f} s played in {duration:.1f} s; {counts}")
    click.echo(f"tape: {path}")
    if check:
        ctx.invoke(check_day, tape=path, json_=False, most=5)


@day.command("check")
@click.argument("tape", type=PATH)
@click.option("--json", "json_", is_flag=True)
@click.option(
    "--most", default=5, show_default=True, help="Maximum number of violations shown for each rule."
)
def check_day(tape: Path, json_: bool, most: int) -> None:
    """Check a tape against the five rules, and measure the service.

    Exit status 1: a rule is violated; 2: the file can't be read as a tape.
    """
    try:
        trace = Trace(read_tape(tape))
    except (OSError, ValueError, KeyError) as error:
        click.echo(f"{tape}: can't be judged: {error}", err=True)
        sys.exit(2)
    results, service = check_rules(trace), measure_service(trace)
    violations = sum(len(rule.violations) for rule in results)
    if json_:
        click.echo(msgspec.json.encode(to_plain(results, service, violations)))
    else:
        print_results(trace, results, service, most)
    if not json_:
        click.echo(f"rules: broken ({violations})" if violations else "rules: kept")
    sys.exit(1 if violations else 0)


def to_plain(results: list[RuleResult], service: Service, violations: int) -> dict[str, Any]:
    """Return the output of `--json`: `breaches` are the time in ms, the message and the lines on the tape."""
    rules = {
        rule.name: {
            "figures": rule.figures,
            "breaches": [[b.at, b.message, b.lines] for b in rule.violations],
        }
        for rule in results
    }
    return {"kept": not violations, "broken": violations, "rules": rules, "service": vars(service)}


def print_results(trace: Trace, results: list[RuleResult], service: Service, most: int) -> None:
    """Print a table of the rules, and up to `most` violations of each with their lines of the tape."""
    console = Console(width=110, highlight=False)
    table = Table("rule", "breaches", "figures", title=f"{trace.header['day']}, seed {trace.header['seed']}")
    for rule in results:
        figures = "; ".join(f"{name} {value:.4g}" for name, value in rule.figures.items())
        table.add_row(rule.name, str(len(rule.violations) or "none"), figures)
    console.print(table)
    for rule in results:
        for violation in rule.violations[:most]:
            console.print(
                f"broken: {rule.name}, at {violation.at / 1000:.3f} s: {violation.message}", markup=False
            )
            for number in violation.lines:
                console.print(f"    {number}: {trace.texts.get(number, '')}", markup=False)
        if len(rule.violations) > most:
            console.print(f"    and {len(rule.violations) - most} more of rule {rule.name}", markup=False)
    method, customer = service.worst_method, service.worst_customer
    console.print(
        f"gain answered over gain asked: {service.total:.3f} in total, {service.worst_window:.3f} in the "
        f"worst 10 s (from {service.worst_window_at:.0f} s), {method[1]:.3f} for method {method[0]}, "
        f"{customer[1]:.3f} for customer {customer[0] or '-'}; "
        f"{service.asked:.0f} RPCs wanted, {service.tries:.2f} call-outs an RPC"
    )

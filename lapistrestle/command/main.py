"""`lapistrestle`: every command."""

from dataclasses import fields
from pathlib import Path

import click

from lapistrestle.command import days, demo, directories, experiments, fleets, programs, rollouts
from lapistrestle.deployment.load import DeploymentError, load_deployment, to_settings


class Commands(click.Group):
    """A wrong file ends in one plain message, not in a traceback."""

    def invoke(self, ctx: click.Context) -> object:
        try:
            return super().invoke(ctx)
        except DeploymentError as trouble:
            raise click.ClickException(str(trouble)) from None


@click.group(cls=Commands, context_settings={"help_option_names": ["-h", "--help"]})
def main() -> None:
    """A gateway that runs calls on workers, which load functions on demand."""


@main.group()
def deployment() -> None:
    """Deployment files."""


@deployment.command("check")
@click.argument("files", nargs=-1, required=True, type=click.Path(path_type=Path))
def check_deployment(files: tuple[Path, ...]) -> None:
    """Check deployment files: the first thing wrong in each, its line, and what would be right."""
    wrong = 0
    for file in files:
        try:
            made = load_deployment(file)
            count = len(fields(to_settings(made)))
            figures = f"{len(made.methods)} methods, {len(made.customers)} customers, {count} settings"
            click.echo(f"{file}: fits; {figures}")
        except DeploymentError as trouble:
            wrong += 1
            click.echo(str(trouble), err=True)
    if wrong:
        raise SystemExit(1)


for program in (programs.edge, programs.runner, programs.roster, programs.call, rollouts.planner):
    main.add_command(program)
for group in (
    days.day,
    demo.demo,
    rollouts.rollout,
    experiments.experiment,
    fleets.fleet,
    directories.directory,
):
    main.add_command(group)

"""The command group `lapistrestle` with all commands."""

from dataclasses import fields
from pathlib import Path

import click

from lapistrestle.command import days, demo, directories, experiments, fleets, programs, rollouts
from lapistrestle.deployment.load import DeploymentError, load_deployment, to_settings


class Commands(click.Group):
    """A command group that reports an invalid file by its message, without a traceback."""

    def invoke(self, ctx: click.Context) -> object:
        try:
            return super().invoke(ctx)
        except DeploymentError as error:
            raise click.ClickException(str(error)) from None


@click.group(cls=Commands, context_settings={"help_option_names": ["-h", "--help"]})
def main() -> None:
    """A gateway that runs calls on workers, which load functions on demand."""


@main.group()
def deployment() -> None:
    """Deployment files."""


@deployment.command("check")
@click.argument("files", nargs=-1, required=True, type=click.Path(path_type=Path))
def check_deployment(files: tuple[Path, ...]) -> None:
    """Check deployment files: shows the first error in each, its line, and what is expected there."""
    invalid = 0
    for file in files:
        try:
            deployment = load_deployment(file)
            count = len(fields(to_settings(deployment)))
            figures = (
                f"{len(deployment.methods)} methods, {len(deployment.customers)} customers, {count} settings"
            )
            click.echo(f"{file}: fits; {figures}")
        except DeploymentError as error:
            invalid += 1
            click.echo(str(error), err=True)
    if invalid:
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

"""Commands of the scale tests.

python -m benchmarks.scale run [--role NAME]... [--quick] [--out FOLDER] [--jobs N]
python -m benchmarks.scale page [--check]
"""

import signal
import sys
from pathlib import Path

import click

from benchmarks.scale import page as capacity
from benchmarks.scale import results, roles, running


@click.group()
def main() -> None:
    """Scale tests and the tables of docs/CAPACITY.md."""


@main.command()
@click.option("--role", "names", multiple=True, help="Only these roles; all by default.")
@click.option("--quick", is_flag=True, help="Small sizes, one repeat; results are saved only with --out.")
@click.option("--out", type=click.Path(path_type=Path), help="Folder of the result files.")
@click.option("--jobs", default=running.JOBS, show_default=True, help="Roles to measure in parallel.")
def run(names: tuple[str, ...], quick: bool, out: Path | None, jobs: int) -> None:
    """Measure the roles and write a result file for each. The old file of a role that fails is unchanged."""
    known = roles.all_roles()
    if unknown := [name for name in names if name not in known]:
        raise click.ClickException(f"no role {', '.join(unknown)}; there are {', '.join(known)}")
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))  # so that the roles' processes end with this one
    command = " ".join(["python -m benchmarks.scale", *sys.argv[1:]])
    folder = out or (None if quick else results.RESULTS)
    failed = 0
    for outcome in running.run(running.Plan(names or tuple(known), quick, command, jobs), click.echo):
        if isinstance(outcome, running.Failure):
            failed += 1
            click.echo(f"{outcome.role}: {outcome.reason}", err=True)
        elif folder:
            click.echo(f"wrote {results.save(outcome, folder)}")
    sys.exit(1 if failed else 0)


@main.command()
@click.option("--check", is_flag=True, help="Write nothing; fail if a table differs from the results.")
def page(check: bool) -> None:
    """Write the tables into docs/CAPACITY.md."""
    if not check:
        return capacity.write()
    if differing := capacity.check():
        raise click.ClickException(f"tables that differ from the result files: {', '.join(differing)}")
    click.echo("every table matches the result files")


if __name__ == "__main__":
    main()

"""`calicohitch version`."""

import click

from .. import __version__


@click.command("version", help="Print the version.")
def command() -> None:
    print(__version__)

"""The command line. Each sub-command is a module of its own, imported when it is called."""

from __future__ import annotations

import sys
from collections.abc import Sequence
from importlib import import_module

import click

_COMMANDS = {
    "serve": "run the relay that NODE_CONFIG and the other NODE_ variables describe",
    "check-config": "read that configuration, say what is wrong with it, and end",
    "traces": "look into exported traces: show, slow, why",
    "clients": "tell from a log who was shed, and why",
    "fleet": "who is in the fleet, and whose work is whose: status, show, who",
    "recovery": "tell from logs how returns went, phase by phase",
    "version": "print the version",
}


class _Lazy(click.Group):
    """Guards the relay's memory and start against what only other sub-commands need."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        return list(_COMMANDS)

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        if cmd_name not in _COMMANDS:
            return None
        command: click.Command = import_module(f".{cmd_name.replace('-', '_')}", __name__).command
        return command

    def format_commands(self, ctx: click.Context, formatter: click.HelpFormatter) -> None:
        with formatter.section("Commands"):
            formatter.write_dl(list(_COMMANDS.items()))


@click.group(cls=_Lazy, help="A relay for outbound messages.", context_settings={"max_content_width": 110})
def _group() -> None:
    pass


def main(arguments: Sequence[str] | None = None) -> int:
    """Run a sub-command; its exit status. 2 where the command line or the configuration cannot be used."""
    try:
        status = _group.main(arguments, prog_name="calicohitch", standalone_mode=False)
    except click.exceptions.NoArgsIsHelpError as err:
        err.show()
        return 2
    except click.ClickException as err:
        # Every complaint begins alike, so that scripts find it in a log.
        print(f"calicohitch: {err.format_message()}", file=sys.stderr)
        return err.exit_code
    except click.Abort:
        return 130
    return status if isinstance(status, int) else 0

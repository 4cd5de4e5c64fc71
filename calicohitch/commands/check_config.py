"""`calicohitch check-config`."""

from __future__ import annotations

from pathlib import Path

import click

from .options import loaded, operator_option


@click.command("check-config", help="Read the configuration, say what is wrong with it, and end.")
@operator_option
def command(operator_path: Path | None) -> None:
    config, operator = loaded(operator_path)
    classes = ", ".join(config.names.classes)
    print(f"{config.name}: listens at {config.listen}, asks {config.discovery}, classes {classes}")
    if operator_path:
        on = ", ".join(name for name in ("tracing", "grpc", "clients", "fleet") if getattr(operator, name)) or "nothing"
        print(f"{operator_path}: settings of {on}; logs are {operator.logs.format}")

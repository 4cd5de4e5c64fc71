"""What several sub-commands share: the configuration of a relay."""

from __future__ import annotations

import os
from pathlib import Path

import click

from ..config import Config, ConfigError, load
from ..config.operator import Operator
from ..config.operator import load as load_operator

operator_option = click.option(
    "--operator",
    "operator_path",
    metavar="FILE",
    type=click.Path(path_type=Path),
    help="The operators' file (KDL): what the relay does beside what the platform tells it.",
)


class Unusable(click.ClickException):
    exit_code = 2


def loaded(operator_path: Path | None) -> tuple[Config, Operator]:
    """The platform's and the operators' settings, both checked; a usage error otherwise."""
    try:
        config = load(os.environ)
        return config, load_operator(operator_path, config.names.classes) if operator_path else Operator()
    except ConfigError as err:
        raise Unusable(str(err)) from err

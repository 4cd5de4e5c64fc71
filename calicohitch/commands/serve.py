"""`calicohitch serve`."""

from __future__ import annotations

import os
from pathlib import Path

import anyio
import click

from .. import logs
from ..config import reload
from ..service import serve
from .options import loaded, operator_option


@click.command("serve", help="Run the relay that NODE_CONFIG and the other NODE_ variables describe.")
@operator_option
def command(operator_path: Path | None) -> None:
    config, operator = loaded(operator_path)
    logs.set_up(operator.logs.format, operator.logs.level or os.environ.get("NODE_LOG_LEVEL", "INFO"))
    anyio.run(serve, config, lambda: reload(config, os.environ), None, operator)

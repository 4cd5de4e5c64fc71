"""`calicohitch serve`."""

from __future__ import annotations

import gc
import os
from pathlib import Path

import anyio
import click

from .. import logs
from ..config import reload
from ..recovery.problems import FolderFailing, FolderInUse, FolderLost, FolderNewer, FolderProblem, NameTaken, WorkTaken
from ..service import serve
from .options import loaded, operator_option

_COLLECT_AFTER = 20_000  # objects made and not dropped between two looks for cycles


# click reads an exit code off the class of an exception.
_ENDED: dict[type[FolderProblem], type[click.ClickException]] = {
    kind: type(kind.__name__, (click.ClickException,), {"exit_code": kind.exit_code})
    for kind in (FolderProblem, FolderFailing, FolderInUse, FolderLost, FolderNewer, NameTaken, WorkTaken)
}


@click.command("serve", help="Run the relay that NODE_CONFIG and the other NODE_ variables describe.")
@operator_option
def command(operator_path: Path | None) -> None:
    config, operator = loaded(operator_path)
    logs.set_up(operator.logs.format, operator.logs.level or os.environ.get("NODE_LOG_LEVEL", "INFO"))
    # A relay makes and drops small objects by the thousand, nearly all without cycles: looking for those at the usual
    # rate takes a fifteenth of its CPU. What is here by now stays to the end and need not be looked at again.
    gc.freeze()
    gc.set_threshold(_COLLECT_AFTER)
    try:
        anyio.run(serve, config, lambda: reload(config, os.environ), None, operator)
    except FolderProblem as err:
        raise _ENDED[type(err)](str(err)) from err

"""The command line: serve, check-config, version."""

from __future__ import annotations

import argparse
import os
import sys
from collections.abc import Sequence

import anyio
from loguru import logger

from . import __version__
from .config import ConfigError, load, reload
from .service import serve


def main(arguments: Sequence[str] | None = None) -> int:
    parser = argparse.ArgumentParser(prog="calicohitch", description="A relay for outbound messages.")
    commands = parser.add_subparsers(dest="command", required=True)
    for name, text in (
        ("serve", "run the relay that NODE_CONFIG and the other NODE_ variables describe"),
        ("check-config", "read that configuration, say what is wrong with it, and end"),
        ("version", "print the version"),
    ):
        commands.add_parser(name, help=text, description=text)
    command = parser.parse_args(arguments).command
    if command == "version":
        print(__version__)
        return 0
    try:
        config = load(os.environ)
    except ConfigError as err:
        print(f"calicohitch: {err}", file=sys.stderr)
        return 2
    if command == "check-config":
        classes = ", ".join(config.names.classes)
        print(f"{config.name}: listens at {config.listen}, asks {config.discovery}, classes {classes}")
        return 0
    logger.remove()
    logger.add(sys.stderr, level=os.environ.get("NODE_LOG_LEVEL", "INFO"),
        format="{time:HH:mm:ss.SSS} {level} {message}")
    anyio.run(serve, config, lambda: reload(config, os.environ))
    return 0

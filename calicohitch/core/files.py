"""Small files that are written whole or not at all."""

from __future__ import annotations

from pathlib import Path

_NEW = ".new"


def replace_text(path: Path, text: str) -> None:
    """Put this text in place of a file's: a kill or a full disk in the middle leaves the old one. OSError where it
    cannot be done. Not for what is written often: a file system may write the new file out before it takes the name."""
    new = path.with_name(path.name + _NEW)
    new.write_text(text, encoding="utf-8")
    new.replace(path)

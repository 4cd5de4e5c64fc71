"""The README's example runs as printed."""

from __future__ import annotations

import contextlib
import io
import re
from pathlib import Path


def test_embedding_example_runs() -> None:
    text = (Path(__file__).parents[1] / "README.md").read_text()
    code = re.search(r"```python\n(.*?)```", text, re.S)
    assert code
    out = io.StringIO()
    with contextlib.redirect_stdout(out):
        exec(code[1], {})  # noqa: S102
    assert out.getvalue().startswith("Send(message=1, endpoint=11, timeout=")

"""The module's size, and its purity."""

from __future__ import annotations

import ast
import sys
from pathlib import Path

PACKAGE = Path(__file__).parents[1] / "calicohitch"
RULES = PACKAGE / "decisions.py"
MOST_STATEMENTS = 470


def _is_text(node: ast.AST) -> bool:
    return isinstance(node, ast.Expr) and isinstance(node.value, ast.Constant) and isinstance(node.value.value, str)


def test_rules_stay_within_their_statements() -> None:
    """Statements, not lines: the formatter breaks lines, and neither it nor a docstring makes a decision larger."""
    tree = ast.parse(RULES.read_text())
    statements = [node for node in ast.walk(tree) if isinstance(node, ast.stmt) and not _is_text(node)]
    assert len(statements) <= MOST_STATEMENTS
    assert max(map(len, RULES.read_text().splitlines())) <= 110


def test_rules_name_the_interface_at_the_top() -> None:
    assert "interface.py" in (ast.get_docstring(ast.parse(RULES.read_text())) or "")


def test_only_the_standard_library_decides() -> None:
    for path in (PACKAGE / name for name in ("interface.py", "decisions.py", "decision_state.py")):
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.Import):
                assert all(name.name.split(".")[0] in sys.stdlib_module_names for name in node.names)
            elif isinstance(node, ast.ImportFrom) and not node.level:
                assert (node.module or "").split(".")[0] in sys.stdlib_module_names


def test_rules_read_no_clock_and_do_no_io() -> None:
    named = {n.id for n in ast.walk(ast.parse(RULES.read_text())) if isinstance(n, ast.Name)}
    assert not named & {"open", "print", "time", "datetime", "os", "sys", "hash", "input"}

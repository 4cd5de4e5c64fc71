"""calicohitch: the decisions of an outbound relay."""

from .interface import Settings
from .decisions import DecisionEngine

__version__ = "0.1.0"
__all__ = ["DecisionEngine", "Settings"]

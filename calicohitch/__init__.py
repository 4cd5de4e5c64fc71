"""calicohitch: the decisions of an outbound relay."""

from .interface import Settings
from .rules import Sender

__all__ = ["Sender", "Settings"]

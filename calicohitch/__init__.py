"""calicohitch: the decisions of an outbound relay."""

from .interface import Settings
from .rules import Sender

__version__ = "0.1.0"
__all__ = ["Sender", "Settings"]

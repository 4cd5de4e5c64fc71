"""sagegap: the decisions of an outbound gateway's couriers."""

from .interface import Settings
from .rules import Sender

__all__ = ["Sender", "Settings"]

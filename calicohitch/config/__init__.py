"""What a relay is told: by the platform, in JSON and variables; by its operators, in a KDL file."""

from .platform import Address, Config, ConfigError, Limits, load, parse, reload

__all__ = ["Address", "Config", "ConfigError", "Limits", "load", "parse", "reload"]

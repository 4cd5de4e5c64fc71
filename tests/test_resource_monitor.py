"""What the log tells of memory and of long turns of the event loop."""

from __future__ import annotations

import json
import sys
import time
import unittest

from world import World, in_world, until

from calicohitch import logs
from calicohitch.config.platform import ConfigError
from calicohitch.core.process_memory import BYTES_PER_MB, resident_bytes
from calicohitch.core.resource_monitor import LONG_TURN_MS, ResourceMonitor


class WhenALineIsDue(unittest.TestCase):
    def test_after_growth_or_a_long_turn_or_the_interval(self) -> None:
        monitor = ResourceMonitor(160 * BYTES_PER_MB)
        monitor._logged_at, monitor._logged_bytes = 100.0, 30.0 * BYTES_PER_MB
        self.assertFalse(monitor.is_due(102.0, 39 * BYTES_PER_MB))
        self.assertTrue(monitor.is_due(102.0, 40 * BYTES_PER_MB))
        self.assertFalse(monitor.is_due(100.5, 90 * BYTES_PER_MB))
        self.assertTrue(monitor.is_due(110.0, 30 * BYTES_PER_MB))
        monitor.ended("parsing", time.perf_counter() - LONG_TURN_MS / 1e3, 3)
        self.assertTrue(monitor.is_due(102.0, 30 * BYTES_PER_MB))

    def test_after_the_loop_was_late(self) -> None:
        monitor = ResourceMonitor(160 * BYTES_PER_MB)
        monitor._logged_at, monitor._logged_bytes = 100.0, 30.0 * BYTES_PER_MB
        monitor.delayed(LONG_TURN_MS)
        self.assertTrue(monitor.is_due(102.0, 30 * BYTES_PER_MB))


class TheLine(unittest.TestCase):
    @in_world
    async def test_has_the_memory_and_what_is_held_and_the_longest_turn(self, world: World) -> None:
        path = world.folder / "log"
        with path.open("w") as out:
            logs.set_up("json", "INFO", out)
            try:
                async with world.relay() as relay:
                    relay.resources.ended("parsing", time.perf_counter() - 2 * LONG_TURN_MS / 1e3, 3)
                    await until(lambda: "process.resources" in path.read_text())
            finally:
                logs.set_up("text", "ERROR", sys.stderr)
        lines = [json.loads(line) for line in path.read_text().splitlines()]
        line = next(line for line in lines if line["event"] == "process.resources")
        self.assertGreater(line["resident_bytes"], 10 * BYTES_PER_MB)
        self.assertEqual((line["limit_bytes"], line["longest_turn"]), (192 * BYTES_PER_MB, "parsing"))
        self.assertGreaterEqual(line["longest_turn_ms"], 2 * LONG_TURN_MS)
        held = {"client_connections", "unfinished_request_bytes", "open_messages", "pending_notices", "tasks"}
        self.assertLessEqual(held, line.keys())

    def test_resident_memory_is_that_of_this_process(self) -> None:
        self.assertGreater(resident_bytes(), 10 * BYTES_PER_MB)


class Settings(unittest.TestCase):
    @in_world
    async def test_the_memory_limit_is_read_and_has_a_default(self, world: World) -> None:
        self.assertEqual(world.config().limits.memory_mb, 192.0)
        self.assertEqual(world.config(limits={"memory_mb": 48}).limits.memory_mb, 48.0)
        for wrong in (0, -1, "much", True):
            with self.assertRaises(ConfigError):
                world.config(limits={"memory_mb": wrong})


if __name__ == "__main__":
    unittest.main()

"""Deliveries whose confirmation and deadline come at the same time."""

from __future__ import annotations

import unittest
from unittest import mock

import anyio
from orders.test_settings import services
from world import World, in_world, until


class NearTheDeadline(unittest.TestCase):
    @in_world
    async def test_a_delivery_that_silence_confirms_at_its_deadline_is_not_reported_as_failed(
        self, world: World
    ) -> None:
        """The pool looks at silent connections at intervals; the deadline may come before the next look."""
        settings = services({"on_time": 300_000, "hard_limit": 300_000, "effect": "safe"})
        with mock.patch("calicohitch.net.connection_pool._CHECK_INTERVAL_S", 3_600):
            async with world.relay(settings=settings) as relay:
                self.assertEqual((await world.hand_in("m1")).status, 202)
                await until(lambda: len(relay._provisional))
                await until(lambda: relay.idle)
                await anyio.sleep(0.1)
                self.assertEqual((len(world.endpoint.requests), world.notices), (1, []))


if __name__ == "__main__":
    unittest.main()

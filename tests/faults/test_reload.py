"""A new configuration that cannot be read in the moment of its signal, and an address that is not free yet."""

from __future__ import annotations

import signal
import socket
import sys
import unittest
from contextlib import ExitStack

import anyio
from test_process import Program, ending
from world import Party, World, in_world, until


class Reloads(unittest.TestCase):
    @in_world
    async def test_a_file_that_is_half_written_is_read_again(self, world: World) -> None:
        """Whoever writes it may be in the middle, and sends no second signal."""
        program = Program(world)
        moved = Party(world.platform.handle)
        with ending(await program.start()) as process:
            program.say({"discovery": str(moved.address)})
            whole = program.path.read_text()
            program.path.write_text(whole[: len(whole) // 2])
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(moved.run)
                process.send_signal(signal.SIGHUP)
                await anyio.sleep(0.3)  # by then it was read, and found to be no configuration
                program.path.write_text(whole)
                with anyio.move_on_after(4):
                    await until(lambda: moved.requests)
                self.assertTrue(moved.requests, "discovery was never asked where the new configuration has it")
                tasks.cancel_scope.cancel()
        moved.listener.close()

    @in_world
    async def test_a_file_that_stays_broken_leaves_all_as_it_was(self, world: World) -> None:
        program = Program(world)
        with ending(await program.start()) as process:
            asked = len(world.platform.requests)
            program.path.write_text("{")
            process.send_signal(signal.SIGHUP)
            await until(lambda: len(world.platform.requests) > asked + 2)
            self.assertEqual((await world.hand_in("a1")).status, 202)
            await until(lambda: world.endpoint.requests)
            self.assertIsNone(process.poll())


class Addresses(unittest.TestCase):
    @in_world
    async def test_a_start_waits_for_an_address_that_an_ending_process_still_has(self, world: World) -> None:
        """Files are closed one after the other when a process ends: its claim may be free before its listener is."""
        program = Program(world)
        with ExitStack() as held:
            taken = held.enter_context(socket.socket())
            taken.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            taken.bind((world.client.host, world.client.port))
            taken.listen()
            with ending(program.spawn([sys.executable, "-B", "-m", "calicohitch", "serve"])) as process:
                claimed = world.folder / "state"
                await until(lambda: process.poll() is not None or list(claimed.glob("life-*")))
                await anyio.sleep(0.5)  # it has tried to listen by now
                self.assertIsNone(process.poll(), "the start was refused")
                held.close()
                await program.until_ready()


if __name__ == "__main__":
    unittest.main()

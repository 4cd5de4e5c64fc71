"""Tests of the whole process: start, kill, restart, stop, reload and exit codes."""

from __future__ import annotations

import json
import os
import signal
import struct
import subprocess
import sys
import tempfile
import unittest
import zlib
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path

import anyio
from ports import free_port
from world import LIMIT, SETTINGS, Address, Party, Request, World, member, play, until

from calicohitch import __version__
from calicohitch.net.http import ClientConnection

ROOT = Path(__file__).parents[1]


class Program:
    def __init__(self, world: World) -> None:
        world.client = Address("127.0.0.1", free_port())
        path = world.folder / "config.json"
        self.path, self.world = path, world
        self.arguments: list[str] = []
        self.say({"discovery": str(world.platform.address)})
        self.env = os.environ | {
            "NODE_CONFIG": str(path),
            "NODE_STATE": str(world.folder / "state"),
            "NODE_LISTEN": str(world.client),
            "NODE_DISCOVERY": str(world.platform.address),
        }

    def say(self, changes: dict[str, object]) -> None:
        self.path.write_text(json.dumps({"name": "n0", "settings": SETTINGS} | changes))

    async def start(self) -> subprocess.Popen[bytes]:
        command = [sys.executable, "-B", "-m", "calicohitch", "serve", *self.arguments]
        process = self.spawn(command)
        await self.until_ready()
        return process

    def spawn(self, command: list[str], **env: str) -> subprocess.Popen[bytes]:
        return subprocess.Popen(command, env=self.env | env, cwd=ROOT, stderr=subprocess.DEVNULL)

    async def until_ready(self, ready: bool = True) -> None:
        with anyio.fail_after(LIMIT):
            while (await self.ready() == 200) is not ready:
                await anyio.sleep(0.02)

    async def ready(self) -> int:
        try:
            connection = await ClientConnection.open(self.world.client)
        except OSError:
            return 0
        try:
            return (await connection.request("GET", "/health/ready", [(b"Host", b"relay")])).status
        except OSError:
            return 0
        finally:
            connection.close()


@contextmanager
def ending(process: subprocess.Popen[bytes]) -> Iterator[subprocess.Popen[bytes]]:
    """Kill the process when the block is left, whether the test passes or fails."""
    try:
        yield process
    finally:
        process.kill()
        process.wait(LIMIT)


async def exit_code(process: subprocess.Popen[bytes]) -> int | None:
    """Wait until the process exits by itself; returns its exit code."""
    await until(lambda: process.poll() is not None)
    return process.returncode


class Restarts(unittest.TestCase):
    def test_accepted_messages_are_delivered_after_a_kill(self) -> None:
        async def test(world: World) -> None:
            async def hang_once(_request: Request) -> object:
                if len(world.endpoint.requests) == 1:
                    await anyio.sleep(LIMIT)
                return 200, {}, b""

            world.endpoint.handle = hang_once  # type: ignore[assignment]
            program = Program(world)
            first = await program.start()
            self.assertEqual((await world.hand_in(Req_Deadline_Ms="20000")).status, 202)
            await until(lambda: world.endpoint.requests)
            first.kill()
            first.wait(LIMIT)
            with ending(await program.start()) as second:
                await until(lambda: len(world.endpoint.requests) == 2)
                self.assertEqual(world.endpoint.requests[1].headers[b"req-id"], b"a1")
                second.send_signal(signal.SIGTERM)
                await until(lambda: second.poll() is not None)
                self.assertEqual((second.returncode, world.notices), (0, []))

        play(test)

    def test_a_stopping_relay_refuses_new_messages_and_completes_open_ones(self) -> None:
        async def test(world: World) -> None:
            release = world.hold()
            program = Program(world)
            with ending(await program.start()) as process:
                await world.hand_in(Req_Deadline_Ms="20000")
                process.send_signal(signal.SIGTERM)
                await program.until_ready(False)
                self.assertEqual((await world.hand_in("a2")).status, 503)
                self.assertIsNone(process.poll())
                release.set()
                self.assertEqual(await exit_code(process), 0)

        play(test)

    def test_sighup_moves_discovery_and_notices_to_the_new_address(self) -> None:
        async def test(world: World) -> None:
            moved = Party(world._discovery)
            program = Program(world)
            process = await program.start()
            try:
                await until(lambda: any("wait=" in request.query for request in world.platform.requests))
                program.path.write_text("{")
                process.send_signal(signal.SIGHUP)  # invalid: the old configuration stays in force
                self.assertEqual((await world.hand_in("a1")).status, 202)
                await until(lambda: world.endpoint.requests)
                world.members = [member(str(world.endpoint.address), phase="Terminating")]
                program.say({"discovery": str(moved.address)})  # takes precedence over NODE_DISCOVERY after a reload
                process.send_signal(signal.SIGHUP)
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(moved.run)
                    await until(lambda: len(moved.requests) > 1)
                    first = moved.requests[0]
                    # The first request at the new address is for the complete endpoint list.
                    self.assertEqual((first.path, first.query), ("/registry/instances", ""))
                    self.assertEqual((await world.hand_in("a2", Req_Deadline_Ms="1300")).status, 202)
                    await until(lambda: any(request.path == "/reports" for request in moved.requests))
                    tasks.cancel_scope.cancel()
                self.assertIsNone(process.poll())
            finally:
                process.kill()
                process.wait(LIMIT)
                moved.listener.close()

        play(test)

    def test_sighup_while_starting_does_not_end_the_process(self) -> None:
        code = (
            "import os, signal, runpy, sys; sys.argv[1:] = ['version']\n"
            "try: runpy.run_module('calicohitch', run_name='__main__')\n"
            "except SystemExit: os.kill(os.getpid(), signal.SIGHUP); print('alive')"
        )
        result = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True)
        self.assertIn("alive", result.stdout)


class Folders(unittest.TestCase):
    """Error message and exit code of a start with a folder that cannot be used."""

    def run_with_folder(self, prepare: Callable[[Path], None]) -> tuple[int, str]:
        with tempfile.TemporaryDirectory() as name:
            state = Path(name) / "state"
            prepare(state)
            path = Path(name) / "config.json"
            path.write_text(
                json.dumps(
                    {"listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "state": str(state), "settings": SETTINGS}
                )
            )
            result = subprocess.run(
                [sys.executable, "-m", "calicohitch", "serve"],
                cwd=ROOT,
                capture_output=True,
                text=True,
                timeout=60,
                env=os.environ | {"NODE_CONFIG": str(path), "PYTHONPATH": str(ROOT)},
            )
            return result.returncode, result.stderr

    def test_a_file_in_place_of_the_folder(self) -> None:
        code, stderr = self.run_with_folder(lambda state: state.write_text(""))
        self.assertEqual(code, 73)
        self.assertIn("calicohitch: the folder", stderr)
        self.assertIn("it is not a folder: move the file away", stderr)
        self.assertNotIn("Traceback", stderr)

    def test_a_journal_of_a_newer_format(self) -> None:
        def newer(state: Path) -> None:
            state.mkdir()
            payload = struct.pack(">BQHQI", 8, 0, 99, 0, 1)
            frame = struct.pack(">II", len(payload), zlib.crc32(payload))
            (state / "journal-00000001.log").write_bytes(frame + payload)

        code, stderr = self.run_with_folder(newer)
        self.assertEqual(code, 78)
        self.assertIn("was written by a newer program, in format 99", stderr)


class CommandLine(unittest.TestCase):
    def run_command(self, *arguments: str, **env: str) -> subprocess.CompletedProcess[str]:
        command = [sys.executable, "-m", "calicohitch", *arguments]
        env = os.environ | env
        return subprocess.run(command, env=env, cwd=ROOT, capture_output=True, text=True, timeout=60)

    def test_subcommands(self) -> None:
        cases: list[tuple[list[str], dict[str, str], int, str]] = [
            (["version"], {}, 0, ""),
            (["check-config"], {"NODE_CONFIG": "/nowhere"}, 2, "calicohitch: the configuration /nowhere"),
            (["serve"], {"NODE_CONFIG": ""}, 2, "calicohitch: NODE_CONFIG must name"),
            (["dance"], {}, 2, "calicohitch: No such command 'dance'"),
            ([], {}, 2, "check-config"),
        ]
        for arguments, env, code, text in cases:
            with self.subTest(arguments=arguments):
                result = self.run_command(*arguments, **env)
                self.assertEqual(result.returncode, code)
                self.assertIn(text, result.stderr)
        self.assertEqual(self.run_command("version").stdout.strip(), __version__)


if __name__ == "__main__":
    unittest.main()

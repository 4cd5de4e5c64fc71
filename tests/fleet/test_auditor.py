"""The auditor on stories made by hand: each rule broken once, and the same story kept."""

from __future__ import annotations

import asyncio
import unittest
from typing import Any

from fleet.auditor import Auditor, Class, Report
from fleet.links import Fault, TcpLink, UdpLink, cut_off, one_way_up
from fleet.standins import Destination
from fleet.story import Event, Story

CLASSES = {"orders": Class("keyed", 6.0), "scores": Class("safe"), "entries": Class("unsafe")}


def judged(*events: tuple[float, str, dict[str, Any]], end: float = 60.0) -> Report:
    story = Story(1, [Event(at, kind, facts) for at, kind, facts in events] + [Event(end, "end", {})])
    return Auditor(CLASSES).judge(story)


def handed(at: float, cls: str = "orders", wire_id: str = "m", left_s: float = 8.0) -> tuple[float, str, Any]:
    return at, "handed", {"id": wire_id, "cls": cls, "dest": 1, "relay": "r0", "left_s": left_s, "aim_s": 2.5}


def told(at: float, status: int = 202, wire_id: str = "m") -> tuple[float, str, dict[str, Any]]:
    return at, "client", {"id": wire_id, "status": status, "relay": "r0"}


def call(at: float, n: int, wire_id: str = "m", **more: Any) -> tuple[float, str, dict[str, Any]]:
    return at, "call", {"id": wire_id, "call": n, "dest": 1, "endpoint": "s-1", "relay": "r0"} | more


def answer(at: float, n: int, status: int = 200, wait_ms: float = 0, wire_id: str = "m") -> tuple[float, str, Any]:
    return (
        at,
        "answer",
        {"id": wire_id, "call": n, "dest": 1, "endpoint": "s-1", "relay": "r0", "status": status, "wait_ms": wait_ms},
    )


def notice(at: float, outcome: str = "given_up", wire_id: str = "m") -> tuple[float, str, dict[str, Any]]:
    return at, "notice", {"id": wire_id, "outcome": outcome, "relay": "r0"}


class Rules(unittest.TestCase):
    def found(self, *events: tuple[float, str, dict[str, Any]]) -> list[str]:
        return [finding.rule for finding in judged(*events).findings]

    def test_an_end_in_time(self) -> None:
        taken = handed(1.0), told(1.1)
        self.assertEqual(self.found(*taken), ["lost"])
        self.assertEqual(self.found(*taken, call(1.2, 1), answer(1.3, 1)), [])
        self.assertEqual(self.found(*taken, notice(9.2)), [])
        self.assertEqual(self.found(*taken, notice(9.5)), ["late end"])
        self.assertEqual(self.found(handed(1.0), told(1.1, 503)), [])
        self.assertEqual(self.found(*taken, (2.0, "fault", {"what": "lost", "relay": "r0"})), [])
        # A 202 may be read when its relay was killed and its folder has gone; one that comes from a later life may not.
        killed = (1.02, "fault", {"what": "SIGKILL", "relay": "r0"})
        lost = (1.05, "fault", {"what": "lost", "relay": "r0"})
        self.assertEqual(self.found(handed(1.0), killed, lost, told(1.1)), [])
        self.assertEqual(self.found(handed(1.0), lost, told(1.1)), ["lost"])
        self.assertEqual(self.found(killed, lost, handed(1.06), told(1.1)), ["lost"])
        away = (2.0, "fault", {"what": "SIGKILL", "relay": "r0"}), (12.0, "ready", {"relay": "r0"})
        self.assertEqual(self.found(*taken, *away, notice(13.4)), [])
        self.assertEqual(self.found(*taken, *away, notice(13.7)), ["late end"])

    def test_a_call_at_an_endpoint_of_another_destination(self) -> None:
        taken = handed(1.0), told(1.1)
        self.assertEqual(self.found(*taken, call(1.2, 1, dest=1), answer(1.3, 1)), [])
        self.assertEqual(self.found(*taken, call(1.2, 1, dest=2), answer(1.3, 1)), ["wrong destination"])

    def test_a_stall_of_the_machine_is_nobodys_fault(self) -> None:
        taken = handed(1.0), told(1.1)
        self.assertEqual(self.found(*taken, (9.8, "stall", {"lasted": 1.0}), notice(9.81)), [])
        self.assertEqual(self.found(*taken, (9.8, "stall", {"lasted": 1.0}), notice(10.6)), ["late end"])
        self.assertEqual(self.found((0.9, "stall", {"lasted": 1.0}), *taken, notice(9.81)), ["late end"])

    def test_one_end(self) -> None:
        taken = handed(1.0, "entries"), told(1.1)
        self.assertEqual(self.found(*taken, notice(2.0), notice(2.1, "handed_back")), ["two ends"])
        self.assertEqual(self.found(*taken, call(1.2, 1), answer(1.3, 1), notice(2.0, "handed_back")), ["two ends"])

    def test_attempts_and_their_classes(self) -> None:
        for cls, second, expected in (
            ("entries", 2.0, ["repeat"]),
            ("orders", 2.0, []),
            ("orders", 7.3, ["repeat"]),
            ("scores", 7.3, []),
        ):
            with self.subTest(cls=cls, second=second):
                story = (
                    handed(1.0, cls),
                    told(1.1),
                    call(1.2, 1),
                    answer(1.3, 1, 500),
                    call(second, 2),
                    answer(second + 0.1, 2),
                )
                self.assertEqual(self.found(*story), expected)
        refused = handed(1.0, "entries"), told(1.1), call(1.2, 1), answer(1.3, 1, 503), call(2.0, 2), answer(2.1, 2)
        self.assertEqual(self.found(*refused), [])
        both = handed(1.0, "scores"), told(1.1), call(1.2, 1), call(1.3, 2), answer(1.4, 1), answer(1.5, 2)
        shortly = handed(1.0, "scores"), told(1.1), call(1.2, 1), call(1.3, 2), answer(1.34, 1), answer(1.5, 2)
        self.assertEqual(self.found(*shortly), [])
        self.assertEqual(self.found(*both), ["two out"])
        gone = (
            handed(1.0, "scores"),
            told(1.1),
            call(1.2, 1),
            (1.25, "unanswered", {"id": "m", "call": 1}),
            call(1.3, 2),
            answer(1.5, 2),
        )
        self.assertEqual(self.found(*gone), [])
        self.assertEqual(self.found(call(1.2, 1)), ["unknown"])

    def test_drains_waits_falls_and_earlier_lives(self) -> None:
        taken = handed(1.0), told(1.1)
        list_told = 1.0, "told", {"relay": "r0", "revision": 2, "draining": ["s-1"]}
        self.assertEqual(self.found(*taken, list_told, call(1.2, 1), answer(1.25, 1)), [])
        self.assertEqual(self.found(list_told, *taken, call(1.4, 1), answer(1.45, 1)), ["drain"])
        waits = handed(0.5, wire_id="w"), told(0.6, wire_id="w"), call(0.7, 9, "w"), answer(1.0, 9, 429, 2_000, "w")
        done = notice(2.0, "handed_back", "w")
        self.assertEqual(self.found(*waits, done, *taken, call(1.1, 1), answer(1.2, 1)), [])
        self.assertEqual(self.found(*waits, done, *taken, call(2.0, 1), answer(2.2, 1)), ["wait"])
        again = 1.5, "life", {"relay": "r0"}
        self.assertEqual(self.found(*waits, done, *taken, again, call(2.0, 1), answer(2.2, 1)), [])
        self.assertEqual(self.found((3.0, "fell", {"dest": 1})), ["fall-back"])
        replaced = 1.15, "replaced", {"relay": "r0"}
        self.assertEqual(self.found(*taken, replaced, call(1.2, 1), answer(1.3, 1)), ["earlier life"])

    def test_a_report_has_the_whole_story(self) -> None:
        report = judged(handed(1.0), told(1.1))
        text = report.text()
        for part in ("seed 1", "[lost]", "handed", "status=202"):
            self.assertIn(part, text)


class StandIns(unittest.TestCase):
    def test_a_limit_counts_refused_calls_and_a_cold_destination_falls(self) -> None:
        dest = Destination(1, 3.0)
        self.assertEqual([dest.admits(5.0 + n / 10) for n in range(5)], [True] * 3 + [False] * 2)
        self.assertTrue(dest.admits(6.0))
        cold = Destination(1, capacity=10.0, cold_at=100.0)
        self.assertAlmostEqual(cold.warm(105.0), 0.65)
        self.assertEqual(sum(cold.falls(100.0 + n / 100) for n in range(9)), 0)
        self.assertTrue(cold.falls(100.2))
        self.assertFalse(Destination(1).falls(5.0))


class Links(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        async def echo(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            try:
                while data := await reader.read(1_000):
                    self.heard += data
                    writer.write(data)
            except OSError:
                pass
            writer.close()

        self.heard = b""
        self.server = await asyncio.start_server(echo, "127.0.0.1", 0)
        self.link = TcpLink("l", self.server.sockets[0].getsockname()[:2])
        await self.link.start()

    async def asyncTearDown(self) -> None:
        await self.link.stop()
        self.server.close()

    async def says(self, data: bytes = b"hello") -> bytes:
        reader, writer = await asyncio.open_connection("127.0.0.1", self.link.port)
        try:
            writer.write(data)
            return await asyncio.wait_for(reader.readexactly(len(data)), 0.3)
        except TimeoutError:
            return b"nothing"
        except (OSError, asyncio.IncompleteReadError):
            return b"broken"
        finally:
            writer.close()

    async def test_each_fault(self) -> None:
        for fault, answered, arrived in (
            (Fault(), b"hello", b"hello"),
            (one_way_up(), b"nothing", b"hello"),
            (cut_off(), b"nothing", b""),
            (Fault(stall_up=True), b"nothing", b""),
            (Fault(refuse=True), b"broken", b""),
            (Fault(cut_after=3), b"broken", b"hel"),
            (Fault(delay_s=0.05), b"hello", b"hello"),
        ):
            with self.subTest(fault=fault):
                self.heard, self.link.fault = b"", fault
                self.assertEqual(await self.says(), answered)
                self.assertEqual(self.heard, arrived)
                await self.link.stop()  # what a stall holds back goes with it
                await self.link.start()

    async def test_a_stall_that_is_taken_back_lets_everything_through(self) -> None:
        self.link.fault = Fault(stall_down=True)
        said = asyncio.ensure_future(self.says())
        await asyncio.sleep(0.1)
        self.link.fault = Fault()
        self.assertEqual(await said, b"hello")

    async def test_datagrams_are_lost_delayed_and_reordered_by_a_seed(self) -> None:
        class Heard(asyncio.DatagramProtocol):
            def __init__(self) -> None:
                self.got: list[bytes] = []

            def datagram_received(self, data: bytes, addr: object) -> None:
                self.got.append(data)

        loop = asyncio.get_running_loop()
        fates = []
        for _ in range(2):
            transport, heard = await loop.create_datagram_endpoint(Heard, local_addr=("127.0.0.1", 0))
            link = UdpLink(transport.get_extra_info("sockname"), seed=5)
            link.loss, link.reorder, link.delay_s = 0.3, 0.3, 0.02
            await link.start()
            sender, _ = await loop.create_datagram_endpoint(Heard, remote_addr=("127.0.0.1", link.port))
            for n in range(20):
                sender.sendto(bytes([n]))
                await asyncio.sleep(0.005)
            await asyncio.sleep(0.1)
            fates.append({data[0] for data in heard.got})
            self.assertNotEqual(heard.got, sorted(heard.got))
            self.assertEqual(link.lost + link.carried, 20)
            sender.close()
            await link.stop()
            transport.close()
        self.assertEqual(fates[0], fates[1])


if __name__ == "__main__":
    unittest.main()

"""One test on real sockets for each rule of the relay."""

from __future__ import annotations

import errno
import unittest
from contextlib import suppress
from pathlib import Path
from unittest import mock

import anyio
from loguru import logger
from world import HERE, LIMIT, Party, World, in_world, member, until

from calicohitch import interface as i
from calicohitch.clock import ManualClock, to_micros
from calicohitch.config import Address
from calicohitch.interface import Outcome
from calicohitch.journal import End, Entry, Journal
from calicohitch.core.descriptor_budget import DescriptorUse, DescriptorBudget
from calicohitch.core.protocols import Call, Refusal, Result, Submission
from calicohitch.net.connection_pool import ConnectionPool
from calicohitch.net.endpoints import Endpoints
from calicohitch.net.http import Link, Request, listen


def left_open(folder: Path) -> int:
    journal = Journal(folder, 3e6)
    journal.close()
    return len(journal.entries)


class Delivery(unittest.TestCase):
    @in_world
    async def test_a_message_is_delivered_unchanged_and_then_closed(self, world: World) -> None:
        async with world.relay():
            self.assertEqual((await world.hand_in()).status, 202)
            await until(lambda: world.endpoint.requests)
            call = world.endpoint.requests[0]
            self.assertEqual((call.method, call.path, call.body), ("POST", "/v1/messages", b"\x00body\xff"))
            self.assertEqual((call.headers[b"req-id"], call.headers[b"idempotency-key"]), (b"a1", b"k1"))
            self.assertTrue(1 <= int(call.headers[b"req-deadline-ms"]) <= 5000)
            await until(lambda: not left_open(world.folder))
        self.assertEqual(world.notices, [])

    @in_world
    async def test_a_refused_message_ends_with_one_notice_that_has_a_retry_time(self, world: World) -> None:
        world.members = []  # no endpoint, so that the message is ended before its deadline
        # On a loaded machine an acknowledgement may be late, and a retry would add a second notice.
        # Retries have a test of their own.
        with (
            mock.patch("calicohitch.net.notices._RESPONSE_TIMEOUT_S", 5.0),
            mock.patch("calicohitch.net.notices._MAX_RESPONSE_TIMEOUT_S", 5.0),
        ):
            async with world.relay():
                await world.hand_in(Req_Deadline_Ms="1300")
                await until(lambda: world.notices)
                await until(lambda: not left_open(world.folder))
        (notice,) = world.notices
        self.assertEqual((notice["message"], notice["outcome"]), ("a1", "handed_back"))
        self.assertTrue(500 <= notice["retry_in_ms"] <= 750, notice)

    @in_world
    async def test_a_notice_is_retried_until_it_is_acknowledged(self, world: World) -> None:
        original_handle = world.platform.handle
        refused = 0

        async def silent_twice(request: Request) -> object:
            nonlocal refused
            if request.path == "/reports" and refused < 2:
                refused += 1
                return None
            return await original_handle(request)

        world.platform.handle = silent_twice  # type: ignore[assignment]
        world.members = []
        async with world.relay():
            await world.hand_in(Req_Deadline_Ms="100")
            await until(lambda: world.notices)
        self.assertEqual((refused, len(world.notices)), (2, 1))

    @in_world
    async def test_a_repeated_request_is_accepted_once(self, world: World) -> None:
        world.members = []
        async with world.relay() as relay:
            self.assertEqual([(await world.hand_in()).status for _ in range(2)], [202, 202])
            self.assertEqual(len(relay._open), 1)


class Attempts(unittest.TestCase):
    @in_world
    async def test_outcomes_of_attempts(self, world: World) -> None:
        cases: list[tuple[object, Outcome, bool, float]] = [
            ((200, {}, b""), Outcome.OK, True, 0),
            ((500, {}, b""), Outcome.ERROR, False, 0),
            ((429, {"Wait-Ms": "340.5"}, b""), Outcome.FULL, False, 340.5),
            ((429, {"Wait-Ms": "soon"}, b""), Outcome.FULL, False, 0),
            ((503, {}, b""), Outcome.FULL, False, 0),
            ((503, {"Slots-Taken": "1"}, b""), Outcome.MOOT, False, 0),
            ((504, {}, b""), Outcome.MOOT, False, 0),
            ((410, {}, b""), Outcome.MOOT, True, 0),
            (None, Outcome.RESET, False, 0),
        ]
        endpoints = Endpoints(world.clock, ("x0", "x1"), 10_000, 1_500, DescriptorBudget(8, {}))
        endpoints._pool.evidence.confirmed(1, 0.0)  # else the second call has a connection of its own

        async def call(timeout: float = 5_000, wanted: bool = True) -> Result:
            message = Call("a1", None, b"x", timeout)
            return await endpoints.call(1, world.endpoint.address, message, anyio.CancelScope(), lambda: wanted)

        for answer, outcome, ended, wait in cases:
            with self.subTest(answer=answer):
                world.answers = [answer]  # type: ignore[list-item]
                result = await call()
                self.assertEqual((result.outcome, result.ended, result.wait), (outcome, ended, wait))
                self.assertEqual(len(world.endpoint.requests), 1)  # no hidden retry
                world.endpoint.requests.clear()
        world.answers = [(200, {"Srv-Load": "x1=25, x0=0.4"}, b"")]
        self.assertEqual((await call()).report, (0.4, 25.0))
        connections = len(world.endpoint.accepted)
        await call()
        self.assertEqual(len(world.endpoint.accepted), connections)  # an open connection is reused
        while endpoints._pool.close_longest_idle():
            pass

        async def hang_once(request: Request) -> object:
            world.endpoint.handle = world._deliver
            await anyio.sleep(LIMIT)
            return None

        async with anyio.create_task_group() as tasks:  # opens a second connection
            tasks.start_soon(call)
            await call()
        self.assertEqual(endpoints._descriptors.held[DescriptorUse.CALLS], 2)
        world.endpoint.handle = hang_once  # type: ignore[assignment]
        self.assertEqual((await call(30)).outcome, Outcome.TIMEOUT)
        self.assertEqual(endpoints._pool.idle, {})  # after a time-out the idle one may be dead too
        self.assertEqual((await call(wanted=False)).outcome, Outcome.MOOT)
        while endpoints._pool.close_longest_idle():
            pass
        world.endpoint.listener.close()
        self.assertEqual((await call()).outcome, Outcome.CONNECT_FAILED)
        self.assertEqual(endpoints._descriptors.held[DescriptorUse.CALLS], 0)

    @in_world
    async def test_a_malformed_response_counts_only_if_its_status_line_says_200(self, world: World) -> None:
        ok_line, two_byte_body = b"HTTP/1.1 200 OK\r\n", b"Content-Length: 2\r\n\r\nok"
        endless_head = b"X-Pad: pppppppppppp\r\n" * 2_000
        full_head = b"HTTP/1.1 429 Later\r\nWait-Ms: 90\r\n"
        cases: list[tuple[bytes, Outcome, bool]] = [  # and whether the connection may be reused
            (ok_line + two_byte_body, Outcome.OK, True),
            (b"HTTP/1.1 100 Continue\r\n\r\n" * 3 + ok_line + two_byte_body, Outcome.OK, True),
            (ok_line + b"Srv-Load: x0=?;,x1\r\n" + two_byte_body, Outcome.OK, True),
            # The second response must not answer the next call.
            (ok_line + two_byte_body + ok_line + two_byte_body, Outcome.OK, False),
            (ok_line + two_byte_body + b"\x00noise", Outcome.OK, False),
            (full_head + two_byte_body + b"\x00noise", Outcome.FULL, False),
            (ok_line + b"no colon here\r\n" + two_byte_body, Outcome.OK, False),
            (ok_line + b"Content-Length: -1\r\n" + two_byte_body, Outcome.OK, False),
            (ok_line + b"Content-Length: 3000000000\r\n\r\n" + bytes(200_000), Outcome.OK, False),
            (ok_line + b"Content-Length: 9\r\n\r\nok", Outcome.OK, False),
            (ok_line + endless_head, Outcome.OK, False),
            (ok_line, Outcome.OK, False),
            (b"HTTP/1.1 100 Continue\r\n\r\n" + ok_line + b"no colon here\r\n" + two_byte_body, Outcome.OK, False),
            (b"HTTP/1.1 100 Continue\r\n\r\n" * 99 + ok_line + two_byte_body, Outcome.RESET, False),
            (full_head + b"no colon here\r\n" + two_byte_body, Outcome.RESET, False),
            (full_head + b"Content-Length: 9\r\n\r\nok", Outcome.RESET, False),
            (b"HTTP/1.1 410 Gone\r\nContent-Length: 9\r\n\r\nok", Outcome.RESET, False),
            (b"HTTP/1.1 500 Error\r\n" + endless_head, Outcome.RESET, False),
            (b"HTTP/1.1 2x0 OK\r\n" + two_byte_body, Outcome.RESET, False),
            (b"HTTP/1.1 OK 200\r\n" + two_byte_body, Outcome.RESET, False),
            (b"\xeb\x18\x00 200 \r\n\r\n", Outcome.RESET, False),
        ]
        answer = b""

        async def serve() -> None:
            while True:
                await anyio.wait_readable(listener)
                links.append(Link(listener.accept()[0]))
                tasks.start_soon(respond_on, links[-1])

        async def respond_on(link: Link) -> None:
            with suppress(OSError):
                while await link.receive():
                    await link.send(answer)  # without closing the connection

        links: list[Link] = []
        endpoints = Endpoints(world.clock, ("x0", "x1"), 10_000, 1_500, DescriptorBudget(8, {}))
        with listen(HERE) as listener, mock.patch("calicohitch.net.http._RESPONSE_END_TIMEOUT_S", 0.05):
            address = Address(*listener.getsockname())
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(serve)
                for answer, outcome, reusable in cases:
                    with self.subTest(answer=answer[:80]):
                        call = Call("a1", None, b"x", 5_000)
                        result = await endpoints.call(1, address, call, anyio.CancelScope(), lambda: True)
                        self.assertEqual(
                            (result.outcome, endpoints._descriptors.held[DescriptorUse.CALLS]), (outcome, int(reusable))
                        )
                        endpoints._pool.close_longest_idle()
                        endpoints._pool = ConnectionPool(world.clock, 10_000, endpoints._descriptors)
                tasks.cancel_scope.cancel()
            for link in links:
                link.close()

    @in_world
    async def test_a_reset_of_a_reused_connection_is_marked_stale(self, world: World) -> None:
        endpoints = Endpoints(world.clock, (), 10_000, 1_500, DescriptorBudget(8, {}))
        endpoints._pool.evidence.confirmed(1, 0.0)  # else the second call has a connection of its own
        for answers, stale in (([None], False), ([(200, {}, b""), None], True)):
            with self.subTest(answers=answers):
                world.answers = list(answers)  # type: ignore[arg-type]
                for _ in answers:
                    call = Call("a1", None, b"x", 5_000)
                    result = await endpoints.call(1, world.endpoint.address, call, anyio.CancelScope(), lambda: True)
                self.assertEqual((result.outcome, result.stale), (Outcome.RESET, stale))

    @in_world
    async def test_exhausted_descriptors_are_not_counted_against_the_endpoint(self, world: World) -> None:
        call = Call("a1", None, b"x", 5_000)
        endpoints = Endpoints(world.clock, (), 10_000, 50, DescriptorBudget(0, {}))
        result = await endpoints.call(1, world.endpoint.address, call, anyio.CancelScope(), lambda: True)
        self.assertEqual(result.outcome, Outcome.MOOT)
        endpoints = Endpoints(world.clock, (), 10_000, 50, DescriptorBudget(8, {}))
        with mock.patch("socket.socket", side_effect=OSError(errno.EMFILE, "too many open files")):
            result = await endpoints.call(1, world.endpoint.address, call, anyio.CancelScope(), lambda: True)
        self.assertEqual((result.outcome, endpoints._descriptors.held[DescriptorUse.CALLS]), (Outcome.MOOT, 0))

    @in_world
    async def test_a_connection_to_a_removed_endpoint_is_not_reused_by_its_successor(self, world: World) -> None:
        async with world.relay() as relay:
            await world.hand_in("a1")
            await until(lambda: relay.idle and relay._endpoints._descriptors.held[DescriptorUse.CALLS])
            world.change(member(str(world.endpoint.address), "s-2"))
            await until(lambda: relay._directory.get(2))
            await world.hand_in("a2")
            await until(lambda: len(world.endpoint.requests) == 2)
        self.assertEqual(len(world.endpoint.accepted), 2)

    @in_world
    async def test_idle_connections_are_closed_before_the_endpoint_closes_them(self, world: World) -> None:
        clock = ManualClock()
        endpoints = Endpoints(clock, (), 10_000, 1_500, DescriptorBudget(8, {}))
        call = Call("a1", None, b"x", 50)
        await endpoints.call(1, world.endpoint.address, call, anyio.CancelScope(), lambda: True)
        await anyio.sleep(0.05)
        endpoints._pool.confirm_silent()
        for step, remaining in ((8_900, 1), (200, 0)):
            clock.advance(step)
            endpoints.close_old()
            self.assertEqual(endpoints._descriptors.held[DescriptorUse.CALLS], remaining)

    @in_world
    async def test_a_timed_out_attempt_is_closed_before_the_next_starts(self, world: World) -> None:
        first_was_closed: list[bool] = []

        async def hang_once(_request: Request) -> object:
            if len(world.endpoint.requests) == 1:
                await anyio.sleep(LIMIT)
            first_was_closed.append(world.endpoint.accepted[0].client_left())
            return 200, {}, b""

        world.endpoint.handle = hang_once  # type: ignore[assignment]
        async with world.relay() as relay:
            await world.hand_in(path="/scores")
            await until(lambda: relay.idle)
        self.assertEqual(first_was_closed, [True])

    @in_world
    async def test_a_retry_after_is_respected(self, world: World) -> None:
        world.answers = [(429, {"Wait-Ms": "400"}, b"")]
        async with world.relay() as relay:
            await world.hand_in()
            await until(lambda: world.endpoint.requests)
            received_at = world.clock.now()
            await world.hand_in("a2")
            await until(lambda: relay.idle)
            self.assertGreaterEqual(world.clock.now(), received_at + 400)
        self.assertEqual(len(world.endpoint.requests), 3)

    @in_world
    async def test_nothing_new_is_sent_to_a_draining_endpoint(self, world: World) -> None:
        async with world.relay() as relay:
            world.change(member(str(world.endpoint.address), phase="Terminating"))
            await until(lambda: not relay._engine._endpoints)
            await world.hand_in(Req_Deadline_Ms="1400")
            await until(lambda: world.notices)
        self.assertEqual(world.endpoint.requests, [])

    @in_world
    async def test_a_call_whose_connection_is_established_too_late_is_not_sent(self, world: World) -> None:
        async with world.relay() as relay:
            number = relay.submit(Submission("open", 0, 7, 20_000, "k", b"x"))
            assert isinstance(number, int)
            send, now = i.Send(number, 1), to_micros(world.clock.now())
            endpoint = relay._directory.get(1)
            assert endpoint
            self.assertTrue(relay._wanted(send, endpoint))
            self.assertTrue(relay._wanted(i.Send(number, 1, not_after=now + 10**8), endpoint))
            self.assertFalse(relay._wanted(i.Send(number, 1, not_after=now - 1), endpoint))
            self.assertFalse(relay._wanted(i.Send(number + 1, 1), endpoint))  # a message that is not open
            world.answers = [(429, {"Wait-Ms": "60000"}, b"")]
            await world.hand_in()
            await until(lambda: not relay._wanted(send, endpoint))  # a retry-after is in force
            relay._waits.clear()
            self.assertTrue(relay._wanted(send, endpoint))
            world.change(member(str(world.endpoint.address), phase="Terminating"))
            await until(lambda: not relay._wanted(send, endpoint))

    @in_world
    async def test_failed_discovery_is_retried_and_the_endpoint_list_stays(self, world: World) -> None:
        original_handle, requests = world.platform.handle, 0

        async def fails_often(request: Request) -> object:
            nonlocal requests
            requests += 1
            return None if requests in (2, 3) else (200, {}, b"{}") if requests == 4 else await original_handle(request)

        world.platform.handle = fails_often  # type: ignore[assignment]
        async with world.relay() as relay:
            await until(lambda: requests > 4)
            self.assertEqual(len(relay._engine._endpoints), 1)


class Faults(unittest.TestCase):
    @in_world
    async def test_a_fault_in_the_decision_engine_or_a_task_does_not_stop_the_relay(self, world: World) -> None:
        async with world.relay() as relay:
            with mock.patch.object(relay._engine, "handle", side_effect=IndexError):
                await world.hand_in("lost", Req_Deadline_Ms="200")
                await until(lambda: world.notices)  # the message is ended all the same
            with mock.patch.object(relay._engine, "handle", return_value=[i.Send(99, 1), i.SetTimer(1, 1)]):
                relay.feed(i.Rang(0))  # a send of a message that is not open
                self.assertEqual(len(relay._timers), 1)
            with mock.patch.object(relay._directory, "read", side_effect=RuntimeError):
                world.change(member(str(world.endpoint.address)))
                await until(lambda: relay._directory.read.called)  # type: ignore[attr-defined]
            await world.hand_in("a2")
            await until(lambda: world.endpoint.requests)
            world.change(member(str(world.endpoint.address), phase="Terminating"))
            await until(lambda: not relay._engine._endpoints)  # discovery is watched again
        self.assertEqual(world.endpoint.requests[0].headers[b"req-id"], b"a2")
        self.assertEqual(world.notices, [{"message": "lost", "outcome": "given_up"}])

    @in_world
    async def test_many_idle_connections_do_not_block_other_clients(self, world: World) -> None:
        async with world.relay() as relay:
            relay.max_clients = 3
            idle = [await Link.connect(world.client) for _ in range(60)]
            with mock.patch(
                "calicohitch.intake.clients._ACCEPT_RETRY_S", LIMIT
            ):  # a slot for the new client is freed at once
                self.assertEqual((await world.hand_in()).status, 202)
                await until(lambda: sum(link.has_ended() for link in idle) >= 57)
            for link in idle:
                link.close()

    @in_world
    async def test_a_connection_closed_in_the_middle_of_a_chunked_request_is_counted_once(self, world: World) -> None:
        async with world.relay():
            sessions = world.clients.sessions
            link = await Link.connect(world.client)
            await link.send(b"POST /orders HTTP/1.1\r\nHost: r\r\nTransfer-Encoding: chunked\r\n\r\n")
            await until(lambda: any(connection.reader for connection in sessions.fresh))
            (connection,) = sessions.fresh
            world.clients._close(connection)
            self.assertEqual(await link.receive(), b"")
            self.assertEqual((sessions.count, list(sessions.fresh), world.clients.answering), (0, [], 0))
            link.close()

    @in_world
    async def test_a_moved_endpoint_is_called_at_its_new_address(self, world: World) -> None:
        async with world.relay() as relay:
            await world.hand_in("a1")
            await until(lambda: relay.idle)
            moved = Party(world._deliver)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(moved.run)
                world.change(member(str(moved.address)))
                await until(lambda: getattr(relay._directory.get(1), "address", None) == moved.address)
                await world.hand_in("a2")
                await until(lambda: moved.requests)
                tasks.cancel_scope.cancel()
            moved.listener.close()
        self.assertEqual(len(world.endpoint.requests), 1)


class Pauses(unittest.TestCase):
    @in_world
    async def test_all_messages_past_their_deadline_after_a_pause_are_ended(self, world: World) -> None:
        """Ending the first message lets the decision engine end the others. The loop over the overdue messages must not
        fail with a KeyError at the second, as it did in a relay that was stopped for 6 s."""
        world.answers = [(429, {"Wait-Ms": "9000"}, b"")] * 9
        logged: list[str] = []
        sink = logger.add(logged.append, level="ERROR")
        try:
            async with world.relay():
                for name in ("a1", "a2", "a3"):
                    self.assertEqual((await world.hand_in(name)).status, 202)
                await until(lambda: world.endpoint.requests)
                world.clock._offset += 30_000
                await until(lambda: len(world.notices) == 3)
        finally:
            logger.remove(sink)
        self.assertEqual({notice["message"] for notice in world.notices}, {"a1", "a2", "a3"})
        self.assertFalse([text for text in logged if "Traceback" in text], logged)


class Restarts(unittest.TestCase):
    def entry(self, world: World, number: int, age: float = 0.0) -> Entry:
        deadline = world.clock.now() - age + 24_000
        return Entry(number, f"m{number}", "orders", 7, deadline, "k", b"body")

    @in_world
    async def test_accepted_messages_are_retried_only_within_the_window_of_their_key(self, world: World) -> None:
        journal, now = Journal(world.folder, 3e6), world.clock.now()
        for number, age in ((1, 1_000), (2, 7_000), (3, 7_000), (4, 0)):
            journal.record_accepted(self.entry(world, number, age))
        journal.record_attempt(1, 0, now - 1_000, 1)  # in progress when the process ended
        journal.record_attempt(2, 0, now - 7_000, 1)  # the same, and its key may be forgotten by now
        journal.record_attempt(3, 0, now - 7_000, 1)
        journal.record_outcome(3, 0, may_have_run=False)
        journal.close()
        async with world.relay() as relay:
            await until(lambda: relay.idle)
        self.assertEqual({request.headers[b"req-id"] for request in world.endpoint.requests}, {b"m1", b"m3", b"m4"})
        self.assertEqual([notice["message"] for notice in world.notices], ["m2"])
        self.assertEqual(left_open(world.folder), 0)

    @in_world
    async def test_nothing_is_sent_by_a_stored_endpoint_list_before_discovery_responds(self, world: World) -> None:
        ready = member(str(world.endpoint.address))
        world.change(ready | {"phase": "Terminating"})
        journal = Journal(world.folder, 3e6)
        journal.record_accepted(self.entry(world, 1))
        journal.close()
        known = {"revision": 0, "complete": True, "members": [ready]}
        with mock.patch("calicohitch.net.relay._FIRST_DISCOVERY_TIMEOUT_S", LIMIT):
            async with world.relay(known=known) as relay:
                self.assertEqual((len(relay._open), relay._engine._slots_taken), (1, 0))
        async with world.relay(known=known, discovery="127.0.0.1:9"):
            await until(lambda: world.endpoint.requests)  # without discovery the stored list is used

    @in_world
    async def test_attempts_of_earlier_incarnations_count(self, world: World) -> None:
        journal, now = Journal(world.folder, 3e6), world.clock.now()
        journal.record_accepted(self.entry(world, 1))
        for attempt in range(8):
            journal.record_attempt(1, attempt, now, 0)
            journal.record_outcome(1, attempt, may_have_run=False)
        journal.close()
        async with world.relay():
            await until(lambda: world.notices)
        self.assertEqual(world.endpoint.requests, [])

    @in_world
    async def test_an_unacknowledged_notice_is_retried_after_a_restart(self, world: World) -> None:
        journal = Journal(world.folder, 3e6)
        journal.record_accepted(self.entry(world, 1))
        journal.record_end(1, End(True, 750.0))
        journal.close()
        async with world.relay():
            await until(lambda: world.notices)
        self.assertEqual(world.notices, [{"message": "m1", "outcome": "handed_back", "retry_in_ms": 750}])
        self.assertEqual(world.endpoint.requests, [])


class Intake(unittest.TestCase):
    @in_world
    async def test_invalid_input_gets_a_response(self, world: World) -> None:
        cases: list[tuple[str, dict[str, str], int]] = [
            ("/orders", {"Req_Deadline_Ms": ""}, 400),
            ("/orders", {"Req_Deadline_Ms": "1e3"}, 400),
            ("/orders", {"Req_Deadline_Ms": "-5"}, 400),
            ("/orders", {"Envelope": ""}, 400),
            ("/orders", {"Envelope": "dest=seven"}, 400),
            ("/orders", {"Req_Id": ""}, 400),
            ("/parcels", {}, 404),
            ("/", {}, 404),
        ]
        async with world.relay() as relay:
            for path, headers, status in cases:
                with self.subTest(path=path, headers=headers):
                    self.assertEqual((await world.hand_in(path=path, **headers)).status, status)
            self.assertEqual(len(relay._open), 0)

    @in_world
    async def test_malformed_http_and_long_bodies_get_a_response(self, world: World) -> None:
        cases = [
            (b"nonsense\r\n\r\n", b"400"),
            (b"POST /orders HTTP/1.1\r\nHost: r\r\nContent-Length: x\r\n\r\n", b"400"),
            (b"POST /orders HTTP/1.1\r\nHost: r\r\nContent-Length: 65537\r\n\r\n" + bytes(65_537), b"413"),
            (b"POST /orders HTTP/1.1\r\nHost: r\r\nTransfer-Encoding: gzip\r\n\r\n", b"501"),
            (b"POST /orders HTTP/1.1\r\nHost: r\r\n" + b"Transfer-Encoding: chunked\r\n" * 2 + b"\r\n", b"501"),
            (b"POST /orders HTTP/1.1\r\nHost: r\r\n" + b"a:\r\n" * 3_000 + b"\r\n", b"431"),
            (b"POST /orders HTTP/1.1\r\nHost: r\r\nX: " + b"x" * 20_000 + b"\r\n\r\n", b"431"),
            (b"POST /orders HTTP/1.1\r\nHost: r\r\nTransfer-Encoding: chunked\r\n\r\n" + b"1\r\nx\r\n" * 300, b"400"),
            (b"GET /health/ready HTTP/1.1\r\nHost: r\r\n\r\n", b"200"),
        ]
        async with world.relay():
            for sent, status in cases:
                with self.subTest(sent=sent[:60]):
                    link = await Link.connect(world.client)
                    await link.send(sent)
                    answer = await link.receive()
                    link.close()
                    self.assertEqual(answer[9:12], status)

    @in_world
    async def test_an_incomplete_request_is_soon_answered_or_closed(self, world: World) -> None:
        head = b"POST /orders HTTP/1.1\r\nHost: r\r\nReq-Id: b1\r\nReq-Deadline-Ms: 5000\r\nEnvelope: dest=7\r\n"
        both_lengths = b"Idempotency-Key: k\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
        complete = head + b"Idempotency-Key: k\r\nContent-Length: 0\r\n\r\n"
        cases: list[tuple[bytes, bytes]] = [  # and the status, or nothing if the connection is closed
            (b"", b""),
            (head, b"408"),
            (head + b"Content-Length: 9\r\n\r\nhalf", b"408"),
            (head + b"Content-Length: 60000000\r\n\r\n", b"413"),  # the body is not waited for
            (head + b"Content-Length: " + b"9" * 5_000 + b"\r\n\r\n", b"400"),
            (head + both_lengths, b"400"),
            (head + b"Content-Length: 1\r\nContent-Length: 2\r\n\r\nab", b"400"),
            (complete + complete, b"400"),
            (complete.replace(b"Req-Id: b1", b"Req-Id: b1\r\nReq-Id: b2"), b"400"),
            (complete.replace(b"b1", b"b\xff1"), b"400"),
            (complete.replace(b"Idempotency-Key: k", b"X: k"), b"400"),
            (complete.replace(b"dest=7", b"dest=99"), b"503"),
        ]
        with mock.patch("calicohitch.intake.clients._REQUEST_TIMEOUT_S", 0.3):
            async with world.relay() as relay:
                await until(lambda: relay._directory.get(1))
                for sent, status in cases:
                    with self.subTest(sent=sent[-60:]):
                        link = await Link.connect(world.client)
                        await link.send(sent)
                        answer = b""
                        while data := await link.receive():  # until the relay closes
                            answer += data
                        link.close()
                        self.assertEqual(answer[9:12], status)
                self.assertEqual((len(relay._open), world.endpoint.requests), (0, []))

    @in_world
    async def test_trickled_bytes_do_not_extend_the_time_for_a_request(self, world: World) -> None:
        with mock.patch("calicohitch.intake.clients._REQUEST_TIMEOUT_S", 0.3):
            async with world.relay():
                link, sent = await Link.connect(world.client), 0
                await link.send(b"POST /orders HTTP/1.1\r\nX: ")
                with suppress(OSError):
                    while link.is_quiet():
                        await link.send(b"y")
                        await anyio.sleep(0.02)
                        sent += 1
                link.close()
        self.assertLess(sent, 500)  # ten seconds' worth

    @in_world
    async def test_an_idle_connection_is_closed_after_a_request(self, world: World) -> None:
        with mock.patch("calicohitch.intake.clients._IDLE_TIMEOUT_S", 0.1):
            async with world.relay():
                link = await Link.connect(world.client)
                await link.send(b"GET /health/ready HTTP/1.1\r\nHost: r\r\n\r\n")
                self.assertIn(b"200", await link.receive())
                self.assertEqual(await link.receive(), b"")
                link.close()

    @in_world
    async def test_only_the_first_submitter_accepts_or_withdraws(self, world: World) -> None:
        async with world.relay() as relay:
            first = Submission("a1", 0, 7, 5_000, "k", b"first")
            number = relay.submit(first)
            self.assertIsInstance(number, int)
            other = Submission("a1", 1, 9, 100, None, b"other")
            self.assertIs(relay.submit(other), Refusal.BEING_SUBMITTED)
            self.assertEqual((await world.hand_in("a1")).status, 503)  # its refusal withdraws nothing
            assert isinstance(number, int)
            relay.accept(number, first)
            self.assertIs(relay.submit(other), Refusal.ALREADY_ACCEPTED)
            await until(lambda: world.endpoint.requests)
        self.assertEqual(world.endpoint.requests[0].body, b"first")

    @in_world
    async def test_messages_are_refused_above_the_open_cap_and_while_stopping(self, world: World) -> None:
        world.members = []
        async with world.relay(limits={"disk_mb": 0.5}) as relay:
            answers = [await world.hand_in(f"m{n}") for n in range(24)]
            self.assertLessEqual(len(relay._open), 16)
            relay._journal._budget = 0
            refused = await world.hand_in("late")
            self.assertEqual((refused.status, b"retry-after" in refused.headers), (503, True))
            relay.stopping = True
            refused = await world.hand_in("later")
            self.assertEqual(refused.status, 503)
            self.assertTrue(0.1 <= float(refused.headers[b"retry-after"]) <= 0.15)
        self.assertEqual(answers[0].status, 202)

    @in_world
    async def test_a_request_that_began_before_a_stop_is_answered(self, world: World) -> None:
        async with world.relay() as relay:
            idle, started, reused = [await Link.connect(world.client) for _ in range(3)]
            await reused.send(b"GET /health/ready HTTP/1.1\r\nHost: r\r\n\r\n")
            self.assertEqual((await reused.receive())[9:12], b"200")
            await started.send(b"POST /orders HTTP/1.1\r\nHost: r\r\nReq-Id: a1\r\nReq-Dead")
            await until(lambda: world.clients.answering == 1)
            relay.stopping = True
            world.clients.close_kept()
            self.assertEqual(await reused.receive(), b"")
            self.assertTrue(idle.is_quiet())  # its first request is still answered before the end
            await started.send(b"line-Ms: 5000\r\nEnvelope: dest=7\r\nContent-Length: 0\r\n\r\n")
            answer = await started.receive()
            self.assertEqual(answer[9:12], b"503")
            self.assertIn(b"close", answer)
            await world.clients.finish()
            self.assertEqual(await idle.receive(), b"")
            for link in (idle, started, reused):
                link.close()

    @in_world
    async def test_a_message_of_a_disconnected_client_is_not_accepted(self, world: World) -> None:
        async with world.relay() as relay:
            link = await Link.connect(world.client)
            await link.send(
                b"POST /orders HTTP/1.1\r\nHost: r\r\nReq-Id: a1\r\nReq-Deadline-Ms: 5000\r\n"
                b"Envelope: dest=7\r\nContent-Length: 0\r\n\r\n"
            )
            link.close()
            await anyio.sleep(0.05)
            self.assertEqual((len(relay._open), world.endpoint.requests), (0, []))
            self.assertEqual((await world.hand_in("a2")).status, 202)  # other clients are served


if __name__ == "__main__":
    unittest.main()

"""The HTTP server that clients submit messages to.

Idle connections are registered with the event loop and have neither a task nor a parser, whatever their number. A
readable connection is read without waiting, and its request is parsed as far as it has come (`request_reader`). Only a
request whose response has to wait, or that the kernel does not take whole, gets a task.

All reading is done in turns of bounded length. Within a turn connections whose request is new come before those whose
request had a turn already.
"""

from __future__ import annotations

import errno
import math
import random
import socket
import time
from contextlib import suppress

import anyio
from anyio.abc import TaskGroup
from loguru import logger

from ..core.memory_budget import MemoryUse
from ..core.protocols import Refusal, Submission
from ..core.system_errors import OUT_OF_DESCRIPTORS, RETRY_PAUSE_S, Retry, Step, trouble
from ..core.tasks import restart_on_failure
from ..net.http import (
    Link,
    Presence,
    Request,
    close_quietly,
    hang_up,
    presence,
    receive_at_once,
    send_at_once,
)
from ..net.relay import Relay
from ..net.server_exchange import MORE_THAN_ONE
from ..core.descriptor_budget import DescriptorUse
from ..core.change_notifier import ChangeNotifier
from .admission.account import Account
from .admission.keep_alive import KeepAlivePolicy
from .admission.load import Load
from .admission.queue import FairQueue
from .admission.settings import AdmissionSettings
from .admission.shares import Shares, Verdict
from .head import answer
from .readiness import Readiness
from .request_reader import Complete, RequestReader, RequestRejected
from .sessions import ClientSession, SessionTable
from .spare_descriptor import SpareDescriptor
from .submission import ACCEPTED, BadRequest, SubmissionAnswer, read_submission, refusal

_IDLE_TIMEOUT_S = 5.0  # for a connection between requests
_REQUEST_TIMEOUT_S = 2.0  # from the connect, or from the first byte of a later request, to the last byte
_ACCEPT_RETRY_S = 0.01  # until connections are accepted again
_DESCRIPTOR_SHORTAGE_S = 0.1  # a shortage in the whole system that lasts so long is not momentary
_RESPONSE_TIMEOUT_S = 5.0
_LINGER_TIMEOUT_S = 0.5
_LINGER_BYTES = 1 << 20  # that are read and discarded behind a response to a request that was not read to its end
_DEADLINE_CHECK_INTERVAL_S = 0.2  # at most, between two checks for overdue connections
_SHUTDOWN_GRACE_S = 0.2  # for clients that connected before the shutdown to send a request
_SHUTDOWN_ACCEPT_ROUNDS = 64  # calls of _accept at the shutdown
_MAX_ACCEPTS_PER_TURN = 64  # new connections
_MAX_READS_PER_TURN = 16  # connections that are read before calls and timers run
_MAX_STEP_S = 0.005  # of a turn's three: reading new requests, accepting, reading on
_LEAST_STEP_S = 0.001  # of the third, while more new requests or connections wait
_MAX_EVENTS_PER_TURN = 64  # readable sockets that are put into the queue
_MAX_OVERDUE_PER_TURN = 16  # connections whose time is up
_BUSY_TICK_INTERVAL_S, _IDLE_TICK_INTERVAL_S = 0.05, 0.5  # between two measurements of the loop's delay
_CAPACITY_RESPONSE = answer(503, [(b"Retry-After", b"1")], b"no room for another connection", close=True)


class Clients:
    """Accepts connections and serves them; an error closes only the connection that it occurred on."""

    def __init__(
        self,
        relay: Relay,
        classes: tuple[str, ...],
        listener: socket.socket,
        admission: AdmissionSettings | None = None,
        seed: int = 0,
    ) -> None:
        self._relay, self._classes, self._listener = relay, classes, listener
        self._settings = admission or AdmissionSettings()
        self.sessions = SessionTable()
        self.shares = Shares(self._settings.caps, relay.max_clients)
        self.account = Account()
        self._load = Load(self._settings.load, seed)
        self._random = random.Random(seed + 1)
        self._new_requests: FairQueue[ClientSession] = FairQueue()
        self._continued_requests: FairQueue[ClientSession] = FairQueue()  # these had a turn already
        self._busy = False  # something was received since the loop's delay was last measured
        self._spare = SpareDescriptor()
        self._by_fd: dict[int, ClientSession] = {}
        self._readiness: Readiness | None = None
        self._listening = self._shutting_down = False
        self._shortage_since = math.inf  # when accept began to fail for lack of a resource
        self._tasks: TaskGroup | None = None
        self._deadline_added = ChangeNotifier()  # notified when a connection with a deadline begins to wait
        self._answering = 0
        self._keep_alive_policy = KeepAlivePolicy()
        relay.resources.register("client_connections", lambda: self.sessions.count)
        self._request_bytes = 0  # what unfinished requests hold
        relay.resources.register("unfinished_request_bytes", lambda: self._request_bytes)
        relay.memory.register(MemoryUse.REQUESTS, lambda: self._request_bytes)

    @property
    def answering(self) -> int:
        """Number of requests that have begun and are not answered yet."""
        return self._answering + sum(
            1
            for group in (self.sessions.fresh, self.sessions.begun)
            for session in group
            if session.reader or session.scope
        )

    async def run(self) -> None:
        self._readiness = Readiness()
        self._spare.open()
        try:
            async with anyio.create_task_group() as tasks:
                self._tasks = tasks
                tasks.start_soon(restart_on_failure, self._close_overdue)
                tasks.start_soon(restart_on_failure, self._measure_loop_delay)
                tasks.start_soon(restart_on_failure, self._log_shed_summary)
                self._listen(True)
                await restart_on_failure(self._take_turns)
        finally:
            self._listen(False)
            for session in self.sessions.all():
                self._unwatch(session)
                close_quietly(session.sock)
            self._spare.close()

    async def _take_turns(self) -> None:
        assert self._readiness
        while True:
            if len(self._new_requests) or len(self._continued_requests):
                await anyio.sleep(0)  # lets calls and timers run
            else:
                await self._readiness.wait()
            is_connecting = self._readiness.take_one(self._listener)
            self._process_turn(self._readiness.take(_MAX_EVENTS_PER_TURN), is_connecting)

    def _listen(self, on: bool) -> None:
        """Start or stop watching the listener; while it is not watched, new connections wait in the backlog."""
        assert self._readiness
        if on == self._listening or on and self._shutting_down:
            return
        if not on:
            self._listening = False
            self._readiness.unregister(self._listener)
            return
        try:
            self._readiness.register(self._listener)
            self._listening = True
        except OSError as err:  # the poll cannot take another socket at the moment
            logger.warning("cannot watch the listener for new connections: {}", err)
            self._pause_accepting()

    def _process_turn(self, readable: list[int], is_connecting: bool) -> None:
        """Process what is readable: new requests first, then new connections, then requests that had a turn already.
        Each step ends after its share of the turn's time; what is left has the next turn. While more of the first two
        wait, the third is short."""
        now = anyio.current_time()
        started, accepted_before = self._relay.resources.start(), self.account.accepted
        self._busy = True
        for fd in readable:
            if session := self._by_fd.get(fd):
                self._put_into_queue(session, now)
        reads = self._read_some(self._new_requests, now, _MAX_STEP_S)
        more_connect = is_connecting and self._accept()
        step_s = _LEAST_STEP_S if more_connect or len(self._new_requests) else _MAX_STEP_S
        reads += self._read_some(self._continued_requests, now, step_s)
        units = reads + self.account.accepted - accepted_before
        self._relay.resources.ended("reading and accepting clients", started, units)

    def _read_some(self, queue: FairQueue[ClientSession], now: float, step_s: float) -> int:
        """Read connections in their turns, one at least; returns how many."""
        ends_at, reads = time.perf_counter() + step_s, 0
        while reads < _MAX_READS_PER_TURN and (taken := queue.take(1)):
            for session, since in taken:
                session.queued = False
                if session.closed or session.scope:
                    continue
                reads += 1
                self._read_guarded(session, (now - since) * 1e3)
                if not (session.closed or session.scope or session.queued or session.watched):
                    self._watch(session)
            if time.perf_counter() > ends_at:
                break
        return reads

    def _put_into_queue(self, session: ClientSession, now: float) -> None:
        """Let a readable connection wait for its turn. One that had a turn already is not watched meanwhile: its wait
        may be long, and the poll would report it each time."""
        if session.queued:
            return
        session.queued = True
        if session.reader or session.discardable:
            self._unwatch(session)
            self._continued_requests.put(session.source, session, now)
        else:
            self._new_requests.put(session.source, session, now)

    async def _measure_loop_delay(self) -> None:
        """Measure how late the event loop runs a timer: what was received waits at least as long."""
        while True:
            tick = _BUSY_TICK_INTERVAL_S if self._busy else _IDLE_TICK_INTERVAL_S
            self._busy = False
            due = anyio.current_time() + tick
            await anyio.sleep(tick)
            now = anyio.current_time()
            self._load.measured(now * 1e3, (now - due) * 1e3)
            self._relay.resources.delayed((now - due) * 1e3)

    async def _log_shed_summary(self) -> None:
        """Log at intervals which sources were shed, and why."""
        while True:
            await anyio.sleep(self._settings.told_every_s)
            if summary := self.account.summary():
                ledger = self._relay.descriptors.summary()
                logger.bind(event="clients.shed", seats=self.sessions.count, ledger=ledger, **summary).info(
                    "clients: {} were shed or refused: {}",
                    sum(summary["causes"].values()),  # type: ignore[attr-defined]
                    ", ".join(
                        f"{count} {cause}"
                        for cause, count in summary["causes"].items()  # type: ignore[attr-defined]
                    ),
                )

    def _read_guarded(self, session: ClientSession, waited_ms: float = 0.0) -> None:
        try:
            self._read_request(session, waited_ms)
        except Exception:  # a fault in the handling of one connection must not end the others
            logger.exception("a client connection broke off")
            self._close(session)

    # Opening and closing connections.

    def _accept(self) -> bool:
        """Accept at most _MAX_ACCEPTS_PER_TURN connections; returns whether more may be waiting."""
        ends_at = time.perf_counter() + _MAX_STEP_S
        for _ in range(_MAX_ACCEPTS_PER_TURN):
            if time.perf_counter() > ends_at:
                break
            if self.sessions.count >= self._relay.max_clients and not self._shed_one():
                self._pause_accepting()
                return False
            try:
                sock, address = self._listener.accept()
            except BlockingIOError:
                return False
            except OSError as err:
                if trouble(err, Step.ACCEPT).retry is Retry.AT_ONCE:
                    continue  # that client disconnected in the backlog; others may wait behind it
                self._cannot_accept(err)
                return False
            self._shortage_since = math.inf
            self._admit(sock, address[0] if isinstance(address, tuple) else "")
        return True

    def _cannot_accept(self, err: OSError) -> None:
        """Pause after a failed accept. A connection is shed only where that helps: where descriptors have run out."""
        now = anyio.current_time()
        if self._shortage_since == math.inf:
            self._shortage_since = now
            logger.warning("accept: {}", err)
        lasting = now - self._shortage_since >= _DESCRIPTOR_SHORTAGE_S
        if err.errno == errno.EMFILE or err.errno in OUT_OF_DESCRIPTORS and lasting:
            self._refuse_with_spare()
            self._shed_one()
        self._pause_accepting()

    def _refuse_with_spare(self) -> None:
        """No descriptor is left: the spare one is used to refuse one client with a Retry-After, and opened again."""
        if self._spare.is_open:
            self._spare.close()
            try:
                sock, address = self._listener.accept()
                sock.setblocking(False)
                self._refuse_connection(
                    sock, address[0] if isinstance(address, tuple) else "", "no descriptor was left"
                )
            except OSError:
                pass  # the freed descriptor was taken, or the client disconnected
        self._spare.open()

    def _refuse_connection(self, sock: socket.socket, source: str, cause: str) -> None:
        """Answer a connection that is not admitted with 503 and Retry-After, and close it."""
        self.account.shed(cause, source)
        try:
            sent = send_at_once(sock, _CAPACITY_RESPONSE)
        except OSError:
            close_quietly(sock)
            return
        if sent == len(_CAPACITY_RESPONSE):
            hang_up(sock)
        else:
            assert self._tasks
            self._tasks.start_soon(self._finish_refusal, sock, _CAPACITY_RESPONSE[sent:])

    async def _finish_refusal(self, sock: socket.socket, remainder: bytes) -> None:
        """Send the part of a refusal that the kernel did not take at once: its client may have sent a request."""
        with suppress(OSError), anyio.move_on_after(_LINGER_TIMEOUT_S):
            await Link(sock).send(remainder)
        hang_up(sock)

    def _pause_accepting(self) -> None:
        """Stop accepting for _ACCEPT_RETRY_S, since there is no capacity for a connection now."""

        async def listen_again() -> None:
            await anyio.sleep(_ACCEPT_RETRY_S)
            self._listen(True)

        assert self._tasks
        self._listen(False)
        self._tasks.start_soon(listen_again)

    def _admit(self, sock: socket.socket, source: str) -> None:
        sock.setblocking(False)
        with suppress(OSError):  # the client may have disconnected
            # Data that Nagle's algorithm holds back is lost at a reset.
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        now = anyio.current_time()
        verdict, source = self.shares.enter(source, now * 1e3)
        if verdict is not Verdict.ENTER:
            self._refuse_connection(sock, source, verdict.value)
            return
        if not self._relay.descriptors.acquire(DescriptorUse.CLIENTS):
            self.shares.leave(source)
            self._refuse_connection(sock, source, "no descriptor was left")
            return
        self.account.accepted += 1
        session = ClientSession(sock, source, now, deadline=now + _REQUEST_TIMEOUT_S)
        self.sessions.count += 1
        self.sessions.fresh[session] = None
        self._read_guarded(session)  # most clients have sent their request by now
        if not (session.closed or session.scope or session.queued):
            self._watch(session)

    def _watch(self, session: ClientSession) -> None:
        assert self._readiness and self._tasks
        self._deadline_added.notify()
        try:
            self._readiness.register(session.sock)
        except OSError as err:  # the poll cannot take another socket at the moment
            logger.debug("cannot watch a client connection yet: {}", err)
            self._tasks.start_soon(self._watch_later, session)
            return
        self._by_fd[session.sock.fileno()] = session
        session.watched = True

    async def _watch_later(self, session: ClientSession) -> None:
        await anyio.sleep(RETRY_PAUSE_S)
        if not (session.closed or session.scope or session.queued or session.watched):
            self._watch(session)

    def _unwatch(self, session: ClientSession) -> None:
        """Stop watching the socket, which stays open."""
        if session.watched and self._readiness:
            session.watched = False
            del self._by_fd[session.sock.fileno()]
            self._readiness.unregister(session.sock)

    def _close(self, session: ClientSession, answered: bool = False) -> None:
        """`answered`: a response was written last and has to arrive before the connection is closed."""
        if not session.closed:
            session.closed = True
            self._drop_reader(session)
            self.sessions.count -= 1
            self.shares.leave(session.source)
            self._relay.descriptors.release(DescriptorUse.CLIENTS)
            if session.message_accepted and session in self.sessions.kept:
                self._keep_alive_policy.not_used_again()
            self.sessions.remove(session)
            if session.scope:
                session.scope.cancel()  # its task closes the socket
            else:
                self._unwatch(session)
                if answered:
                    hang_up(session.sock)
                else:
                    close_quietly(session.sock)

    def _shed_one(self) -> bool:
        """Close one connection for which no response is pending; returns whether there was one."""
        now = anyio.current_time()
        session = self.sessions.to_shed(now, self.shares.weight, lambda source: self.shares.known(source, now * 1e3))
        if session:
            cause = (
                "answered already"
                if session.discardable
                else "began a request and did not end it"
                if session.reader or session.scope
                else "said nothing"
                if session.first
                else "idle between requests"
            )
            self.account.shed(f"made room: {cause}", session.source)
            if session.reader:
                with suppress(OSError):
                    send_at_once(session.sock, _CAPACITY_RESPONSE)
            self._close(session, answered=session.reader is not None)
        return session is not None

    def close_kept(self) -> None:
        """Close the connections that are between requests, since their clients can reconnect elsewhere without loss. A
        client that has sent nothing on a new connection yet expects a response to its first request, so it stays."""
        for session in list(self.sessions.kept):
            if session.is_silent():
                self._close(session)

    async def finish(self) -> None:
        """Shut down, once nothing is pending. Clients that have connected by now are accepted and refused, so that they
        go elsewhere. The listener is closed, and clients that send nothing within _SHUTDOWN_GRACE_S are not waited for.
        Requests that arrive meanwhile are answered before their connections are closed."""
        for _ in range(_SHUTDOWN_ACCEPT_ROUNDS):
            if not self._accept():
                break
        self._shutting_down = True
        self._listen(False)
        close_quietly(self._listener)
        deadline = anyio.current_time() + _SHUTDOWN_GRACE_S
        while (self.sessions.count or self._answering) and anyio.current_time() < deadline:
            await anyio.sleep(0.01)
        for session in self.sessions.all():
            if session.is_unread():
                self._read_guarded(session)
            while session.reader and session.reader.has_work and not session.scope:
                self._read_guarded(session)
        while self._answering and anyio.current_time() < deadline + _LINGER_TIMEOUT_S:
            await anyio.sleep(0.01)

    async def _close_overdue(self) -> None:
        while True:
            due = self.sessions.next_due()
            if due is None:
                await self._deadline_added.wait()
                continue
            await anyio.sleep(min(max(due - anyio.current_time(), 0.02), _DEADLINE_CHECK_INTERVAL_S))
            overdue = self.sessions.due(anyio.current_time())
            for start in range(0, len(overdue), _MAX_OVERDUE_PER_TURN):
                for session in overdue[start : start + _MAX_OVERDUE_PER_TURN]:
                    if not session.closed:
                        self._end_overdue(session)
                await anyio.sleep(0)

    def _end_overdue(self, session: ClientSession) -> None:
        """The time of this connection is up; another task may have used it since that was found."""
        if session.deadline > anyio.current_time():
            return
        if session.discardable:
            self._close(session)
            return
        if not session.scope and session.is_unread():  # the request arrived in time and was not read yet
            self._read_guarded(session)
            if session.closed or session.scope or session.deadline > anyio.current_time():
                return
        if session.scope:
            self.sessions.remove(session)  # its task has a time limit of its own
            return
        cause = "out of time without a whole request"
        if session.reader:
            self._end_request(session, answer(408, [], b"the request took too long", close=True), cause)
            return
        if session.first:
            self.account.shed(cause, session.source)
        self._close(session)

    # Requests.

    def _read_request(self, session: ClientSession, waited_ms: float) -> None:
        if session.reader is None or not session.reader.has_work:
            try:
                data = receive_at_once(session.sock)
            except OSError:
                data = b""
            if data is None:
                return
            if session.discardable:
                self._discard(session, data)
                return
            if not data and session.reader is None:
                self._close(session)
                return
            try:
                self._receive(session, data)
            except RequestRejected as err:
                self._reject(session, err.status, str(err))
                return
        self._parse_request(session, waited_ms)

    def _receive(self, session: ClientSession, data: bytes) -> None:
        if session.reader is None:
            session.reader = RequestReader()
            if not session.first:  # a later request begins
                if session.message_accepted:
                    self._keep_alive_policy.was_used_again()
                self.sessions.remove(session)
                session.since = anyio.current_time()
                session.deadline = session.since + _REQUEST_TIMEOUT_S
                self.sessions.begun[session] = None
        session.reader.receive(data)

    def _parse_request(self, session: ClientSession, waited_ms: float) -> None:
        reader = session.reader
        assert reader
        try:
            parsed = reader.poll()
        except RequestRejected as err:
            self._reject(session, err.status, str(err))
            return
        if parsed is None:
            self._await_more(session, reader)
        elif (found := presence(session.sock)) is Presence.SENT_MORE:
            self._reject(session, 400, MORE_THAN_ONE)
        else:
            self.sessions.remove(session)
            self._drop_reader(session)
            self._respond_now(session, parsed, waited_ms, found is Presence.LEFT)

    def _await_more(self, session: ClientSession, reader: RequestReader) -> None:
        """A request is incomplete: count what it holds, and let it wait for more."""
        held = reader.held_bytes
        self._request_bytes += held - session.held_bytes
        session.held_bytes = held
        self._free_memory()
        if session.reader is None:
            return  # its own request held the most
        if reader.has_work:
            self._put_into_queue(session, anyio.current_time())
        elif reader.awaits_continue:
            self._send_interim_response(session, reader)

    def _drop_reader(self, session: ClientSession) -> None:
        """The session's request is complete or given up."""
        self._request_bytes -= session.held_bytes
        session.held_bytes, session.reader = 0, None

    def _free_memory(self) -> None:
        """End the unfinished requests that hold the most, the oldest first, if all together hold too much."""
        excess = self._relay.memory.excess_of_requests()
        if excess <= 0:
            return
        sessions = sorted(self.sessions.all(), key=lambda session: (-session.held_bytes, session.since))
        for session in sessions:
            if excess <= 0 or not session.held_bytes:
                break
            excess -= session.held_bytes
            self._end_request(session, _CAPACITY_RESPONSE, "no memory for an unfinished request")

    def _send_interim_response(self, session: ClientSession, reader: RequestReader) -> None:
        data = reader.interim_response()
        try:
            sent = send_at_once(session.sock, data)
        except OSError:
            sent = -1
        if sent != len(data):  # the client reads nothing, or has left
            self._close(session)

    def _reject(self, session: ClientSession, status: int, text: str) -> None:
        """Answer a request that is not read to its end."""
        self._end_request(session, answer(status, [], text.encode(), close=True), f"answered {status}: {text}")

    def _end_request(self, session: ClientSession, response: bytes, cause: str) -> None:
        """Send the response to a request that is not read to its end. The connection is closed once the client has
        ended its sending, since a close with data unread would reset it and the response would be lost."""
        self.account.shed(cause, session.source)
        self._drop_reader(session)
        self.sessions.remove(session)
        try:
            send_at_once(session.sock, response)
            session.sock.shutdown(socket.SHUT_WR)
        except OSError:
            self._close(session)
            return
        session.discardable, session.deadline = _LINGER_BYTES, anyio.current_time() + _LINGER_TIMEOUT_S
        self.sessions.lingering[session] = None
        self._deadline_added.notify()

    def _discard(self, session: ClientSession, data: bytes) -> None:
        session.discardable -= len(data)
        if not data or session.discardable <= 0:
            session.discardable = 0
            self._close(session)

    def _respond_now(self, session: ClientSession, parsed: Complete, waited_ms: float, has_left: bool) -> None:
        response, number, submission = self._decide(session, parsed.request, waited_ms, has_left)
        session.message_accepted = number is not None
        if number is not None and submission and self._relay.awaits_replication(number):
            self._answering += 1
            self._unwatch(session)
            assert self._tasks
            session.scope = anyio.CancelScope()
            self._tasks.start_soon(self._respond_after_replication, session, number, submission, parsed)
            return
        close = response.close or parsed.close or not self._keep_alive(number)
        data = parsed.render(response, close)
        try:
            sent = send_at_once(session.sock, data)
        except OSError:
            sent = -1
        if sent < 0:
            if number is not None:
                self._relay.withdraw(number)
            self._close(session)
        elif sent < len(data):
            self._unwatch(session)
            assert self._tasks
            self._answering += 1
            session.scope = anyio.CancelScope()
            self._tasks.start_soon(self._finish_response, session, data[sent:], sent > 0, number, submission, close)
        else:
            if number is not None and submission:
                self._relay.accept(number, submission)
            if close:
                self._close(session, answered=True)
            else:
                self._keep_open(session)

    def _keep_alive(self, number: int | None) -> bool:
        """Whether to keep a connection open after the response; `number` is that of an accepted message, if any."""
        return not self._relay.stopping and (
            number is None or self._keep_alive_policy.allows(self.sessions.count, self._relay.max_clients)
        )

    def _keep_open(self, session: ClientSession) -> None:
        """Let a connection that was answered wait for another request."""
        session.first = False
        session.since = anyio.current_time()
        session.deadline = session.since + _IDLE_TIMEOUT_S
        self.sessions.kept[session] = None
        self._deadline_added.notify()

    def _decide(
        self, session: ClientSession, request: Request, waited_ms: float, has_left: bool
    ) -> tuple[SubmissionAnswer, int | None, Submission | None]:
        """The response to a complete request, and the number and the message to accept once it was sent."""
        if request.method == "GET" and request.path in ("/health/ready", "/health/live"):
            serving = self._relay.ready and not self._relay.stopping
            return SubmissionAnswer(200 if serving or request.path == "/health/live" else 503, []), None, None
        try:
            submission = read_submission(request, self._classes)
        except BadRequest as err:
            return SubmissionAnswer(err.status, [], str(err).encode(), close=True), None, None
        # A client that closed its sending side has disconnected, and may have submitted the message elsewhere by
        # now; if it still reads, a refusal is harmless.
        now = anyio.current_time() * 1e3
        if waited_ms:
            self._load.measured(now, waited_ms)
        if has_left:
            number: int | Refusal = Refusal.CLIENT_LEFT
        elif not self._load.admits(self.shares.known(session.source, now), waited_ms):
            number = Refusal.BUSY
            self._relay.turned_away(submission, number)
        else:
            number = self._relay.submit(submission)
        if isinstance(number, Refusal):
            if number is not Refusal.ALREADY_ACCEPTED:
                self.account.shed(number.value, session.source)
            return refusal(number, self._random.random()), None, None
        self.shares.message_accepted(session.source, now)
        return ACCEPTED, number, submission

    # Responses that need a task.

    async def _respond_after_replication(
        self, session: ClientSession, number: int, submission: Submission, parsed: Complete
    ) -> None:
        """Answer that a message is accepted once other relays hold replicas of it. Without them in time no response is
        sent: some relays may hold a replica, and a refusal would promise that none does."""
        sent = False
        close = parsed.close or not self._keep_alive(number)
        try:
            assert session.scope
            with session.scope, anyio.move_on_after(_RESPONSE_TIMEOUT_S):
                if await self._relay.replicated(number):
                    await Link(session.sock).send(parsed.render(ACCEPTED, close))
                    sent = True
                else:
                    self.account.shed("no copy in time", session.source)
        except OSError as err:
            logger.debug("client connection ended: {}", err)
        finally:
            self._answering -= 1
            if not sent:
                self._relay.withdraw(number)
            self._end_task(session, keep=sent and not close)
        if sent:
            self._relay.accept(number, submission)

    async def _finish_response(
        self,
        session: ClientSession,
        remainder: bytes,
        begun: bool,
        number: int | None,
        submission: Submission | None,
        close: bool,
    ) -> None:
        """Send the part of a response that the kernel did not take at once. Once a byte was sent the client may have
        read that the message is accepted, so it is accepted even if the remainder is not sent."""
        sent, link = False, Link(session.sock)
        try:
            assert session.scope
            with session.scope, anyio.move_on_after(_RESPONSE_TIMEOUT_S):
                await link.send(remainder)
                sent = True
        except OSError as err:
            logger.debug("client connection ended: {}", err)
        finally:
            self._answering -= 1
            begun = begun or link.handed > 0
            if number is not None and not begun:
                self._relay.withdraw(number)
            self._end_task(session, keep=sent and not close)
            if begun and number is not None and submission:
                self._relay.accept(number, submission)

    def _end_task(self, session: ClientSession, keep: bool) -> None:
        """Let the connection wait again without a task, or close it."""
        session.scope = None
        if keep and not session.closed:
            self._watch(session)
            self._keep_open(session)
        elif session.closed:
            hang_up(session.sock)  # _close leaves the socket to the task
        else:
            self._close(session, answered=True)

"""The HTTP server that clients hand messages in to.

Connections wait in the event loop, without a task and without a parser, whatever their number. What comes on
one is read at once, and the common request (see `head`) is answered on the spot. Only an uncommon one, or one whose
answer the kernel does not take whole, gets a task, and h11.
"""

from __future__ import annotations

import errno
import math
import os
import random
import socket
from contextlib import suppress

import anyio
import h11
from anyio.abc import TaskGroup
from loguru import logger

from ..core.protocols import Refusal, Submission
from ..net.head import Look
from ..core.system_errors import OUT_OF_DESCRIPTORS, RETRY_PAUSE_S, Retry, Step, trouble
from ..core.tasks import restart_on_failure
from ..net.http import (
    Ambiguous,
    BodyTooLarge,
    Link,
    Request,
    ServerConnection,
    close_quietly,
    hang_up,
    has_ended,
    receive_at_once,
    send_at_once,
)
from ..net.relay import Relay
from ..core.descriptor_budget import DescriptorUse
from ..core.change_notifier import ChangeNotifier
from .admission.account import Account
from .admission.keep_alive import KeepAlivePolicy
from .admission.load import Load
from .admission.queue import FairQueue
from .admission.settings import AdmissionSettings
from .admission.shares import Shares, Verdict
from .head import Common, answer, read
from .readiness import Readiness
from .sessions import ClientSession, SessionTable
from .submission import ACCEPTED, BadRequest, SubmissionAnswer, read_submission, refusal

_IDLE_S = 5.0  # a connection between requests
_REQUEST_S = 2.0  # from the connect, or a later request's first byte, to the request's last
_ROOM_S = 0.01
_STARVED_S = 0.1  # after so long a system without descriptors is not one that lacks them for a moment
_REPLY_S = 5.0
_LINGER_S = 0.5
_LOOK_S = 0.2  # between two looks for those whose time is up
_LAST_S = 0.2  # whoever connected before the end has so long to send a request
_LAST_ACCEPTS = 64  # turns of them that are let in at the end
_ACCEPTS_A_TURN = 16  # new connections, and
_READS_A_TURN = 16  # connections that are read, before calls and timers have their turn
_EVENTS_A_TURN = 64  # that are taken into the fair queue
_BUSY_TICK_S, _CALM_TICK_S = 0.05, 0.5  # between two measurements of how late the loop is
_NO_ROOM = answer(503, [(b"Retry-After", b"1")], b"no room for another connection", close=True)


class Clients:
    """Accepts connections and serves them; an error ends that connection only."""

    def __init__(
        self,
        relay: Relay,
        classes: tuple[str, ...],
        listener: socket.socket,
        admission: AdmissionSettings | None = None,
        seed: int = 0,
    ) -> None:
        self._relay, self._classes, self._listener = relay, classes, listener
        self._set = admission or AdmissionSettings()
        self.sessions = SessionTable()
        self.shares = Shares(self._set.caps, relay.max_clients)
        self.account = Account()
        self._load = Load(self._set.load, seed)
        self._random = random.Random(seed + 1)
        self._ready: FairQueue[ClientSession] = FairQueue()
        self._busy = False  # something came since the loop's lateness was last measured
        self._spare = -1  # a descriptor that is kept for a word to those for whom there is none
        self._by_fd: dict[int, ClientSession] = {}
        self._waited_for: Readiness | None = None
        self._listening = self._ending = False
        self._starved_since = math.inf  # when accept began to fail for want of something here
        self._tasks: TaskGroup | None = None
        self._waiting = ChangeNotifier()  # that a seat waits with a time of its own
        self._answering = 0
        self._keep_alive_policy = KeepAlivePolicy()

    @property
    def answering(self) -> int:
        """Requests that have begun and are not answered yet."""
        return self._answering + sum(
            1
            for line in (self.sessions.fresh, self.sessions.begun)
            for session in line
            if session.data or session.scope
        )

    async def run(self) -> None:
        self._waited_for = Readiness()
        self._take_spare()
        try:
            async with anyio.create_task_group() as tasks:
                self._tasks = tasks
                tasks.start_soon(restart_on_failure, self._end_overdue)
                tasks.start_soon(restart_on_failure, self._measure)
                tasks.start_soon(restart_on_failure, self._tell)
                self._listen(True)
                await restart_on_failure(self._take_turns)
        finally:
            self._listen(False)
            for session in list(self._by_fd.values()):
                self._leave(session)
                close_quietly(session.sock)
            self._give_up_spare()

    async def _take_turns(self) -> None:
        assert self._waited_for
        while True:
            if len(self._ready):
                await anyio.sleep(0)  # calls and timers have their turn
            else:
                await self._waited_for.wait()
            self._turn(self._waited_for.take(_EVENTS_A_TURN) if len(self._ready) < _EVENTS_A_TURN else [])

    def _listen(self, on: bool) -> None:
        """Whether new connections are looked for; they wait in the backlog while they are not."""
        assert self._waited_for
        if on == self._listening or on and self._ending:
            return
        if not on:
            self._listening = False
            self._waited_for.unregister(self._listener)
            return
        try:
            self._waited_for.register(self._listener)
            self._listening = True
        except OSError as err:  # the poll takes no more sockets for a moment
            logger.warning("new connections are not waited for: {}", err)
            self._pause()

    def _turn(self, readable: list[int]) -> None:
        """What came: requests first, one of each source after the other, then new connections."""
        listener, now, connecting = self._listener.fileno(), anyio.current_time(), False
        self._busy = True
        for fd in readable:
            if fd == listener:
                connecting = True
            elif (session := self._by_fd.get(fd)) and not session.queued:
                session.queued = True
                self._ready.put(session.source, session, now)
        for session, since in self._ready.take(_READS_A_TURN):
            session.queued = False
            if not session.gone and not session.scope:
                self._guarded(session, (now - since) * 1e3)
        if connecting:
            self._accept()

    async def _measure(self) -> None:
        """How late the loop is, by a clock of its own: what came waits at least as long."""
        while True:
            tick = _BUSY_TICK_S if self._busy else _CALM_TICK_S
            self._busy = False
            due = anyio.current_time() + tick
            await anyio.sleep(tick)
            now = anyio.current_time()
            self._load.measured(now * 1e3, (now - due) * 1e3)

    async def _tell(self) -> None:
        """Say now and then who was shed, and why."""
        while True:
            await anyio.sleep(self._set.told_every_s)
            if told := self.account.summary():
                ledger = self._relay.descriptors.summary()
                logger.bind(event="clients.shed", seats=self.sessions.count, ledger=ledger, **told).info(
                    "clients: {} were shed or refused: {}",
                    sum(told["causes"].values()),  # type: ignore[attr-defined]
                    ", ".join(
                        f"{count} {cause}"
                        for cause, count in told["causes"].items()  # type: ignore[attr-defined]
                    ),
                )

    def _guarded(self, session: ClientSession, waited_ms: float = 0.0) -> None:
        try:
            self._read(session, waited_ms)
        except Exception:  # guards all other connections against a fault in the handling of one
            logger.exception("a client's connection broke off")
            self._close(session)

    # Coming and going.

    def _accept(self) -> bool:
        """Let in a turn's worth of those who connected; whether there may be more."""
        for _ in range(_ACCEPTS_A_TURN):
            if self.sessions.count >= self._relay.max_clients and not self._make_room():
                self._pause()
                return False
            try:
                sock, address = self._listener.accept()
            except BlockingIOError:
                return False
            except OSError as err:
                if trouble(err, Step.ACCEPT).retry is Retry.AT_ONCE:
                    continue  # that client left while it waited, and others may wait behind it
                self._cannot_accept(err)
                return False
            self._starved_since = math.inf
            self._enter(sock, address[0] if isinstance(address, tuple) else "")
        return True

    def _cannot_accept(self, err: OSError) -> None:
        """Nobody can be let in for a moment. Room is made where it helps: where this process has no descriptor left."""
        now = anyio.current_time()
        if self._starved_since == math.inf:
            self._starved_since = now
            logger.warning("accept: {}", err)
        lasting = now - self._starved_since >= _STARVED_S
        if err.errno == errno.EMFILE or err.errno in OUT_OF_DESCRIPTORS and lasting:
            self._refuse_by_spare()
            self._make_room()
        self._pause()

    def _refuse_by_spare(self) -> None:
        """No descriptor is left: the spare one serves to tell whoever waits to come again, and is taken back."""
        if self._spare >= 0:
            self._give_up_spare()
            try:
                sock, address = self._listener.accept()
                sock.setblocking(False)
                self._turn_off(sock, address[0] if isinstance(address, tuple) else "", "no descriptor was left")
            except OSError:
                pass  # another took it, or the client left
        self._take_spare()

    def _take_spare(self) -> None:
        try:
            self._spare = os.open(os.devnull, os.O_RDONLY | os.O_CLOEXEC)
        except OSError as err:  # tried again when it is wanted
            logger.debug("no descriptor to spare: {}", err)

    def _give_up_spare(self) -> None:
        spare, self._spare = self._spare, -1
        if spare >= 0:
            with suppress(OSError):
                os.close(spare)

    def _turn_off(self, sock: socket.socket, source: str, cause: str) -> None:
        """A connection that is not let in hears so, and when to come again."""
        self.account.shed(cause, source)
        with suppress(OSError):
            sock.send(_NO_ROOM)
        hang_up(sock)

    def _pause(self) -> None:
        """Look for new connections again a little later: there is no room for one now."""

        async def listen_again() -> None:
            await anyio.sleep(_ROOM_S)
            self._listen(True)

        assert self._tasks
        self._listen(False)
        self._tasks.start_soon(listen_again)

    def _enter(self, sock: socket.socket, source: str) -> None:
        sock.setblocking(False)
        with suppress(OSError):  # the client may have left
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)  # what is held back goes with a reset
        now = anyio.current_time()
        verdict, source = self.shares.enter(source, now * 1e3)
        if verdict is not Verdict.ENTER:
            self._turn_off(sock, source, verdict.value)
            return
        if not self._relay.descriptors.acquire(DescriptorUse.CLIENTS):
            self.shares.leave(source)
            self._turn_off(sock, source, "no descriptor was left")
            return
        self.account.accepted += 1
        session = ClientSession(sock, source, now, deadline=now + _REQUEST_S)
        self.sessions.count += 1
        self.sessions.fresh[session] = None
        self._guarded(session)  # most have sent their request by now
        if not session.gone and not session.scope:
            self._wait(session)

    def _wait(self, session: ClientSession) -> None:
        assert self._waited_for and self._tasks
        self._waiting.notify()
        try:
            self._waited_for.register(session.sock)
        except OSError as err:  # the poll takes no more sockets for a moment
            logger.debug("a client's connection is not waited for yet: {}", err)
            self._tasks.start_soon(self._wait_later, session)
            return
        self._by_fd[session.sock.fileno()] = session

    async def _wait_later(self, session: ClientSession) -> None:
        await anyio.sleep(RETRY_PAUSE_S)
        if not session.gone and not session.scope and session.sock.fileno() not in self._by_fd:
            self._wait(session)

    def _leave(self, session: ClientSession) -> None:
        """Its socket is no longer waited for here, and stays open."""
        if self._by_fd.pop(session.sock.fileno(), None) and self._waited_for:
            self._waited_for.unregister(session.sock)

    def _close(self, session: ClientSession, answered: bool = False) -> None:
        """`answered`: the last that was written to it is an answer, which has to arrive."""
        if not session.gone:
            session.gone = True
            self.sessions.count -= 1
            self.shares.leave(session.source)
            self._relay.descriptors.release(DescriptorUse.CLIENTS)
            if session.handed_in and session in self.sessions.kept:
                self._keep_alive_policy.not_used_again()
            self.sessions.leave_line(session)
            if session.scope:
                session.scope.cancel()  # its task closes the socket
            else:
                self._leave(session)
                if answered:
                    hang_up(session.sock)
                else:
                    close_quietly(session.sock)

    def _make_room(self) -> bool:
        """Close one connection that is owed no answer."""
        now = anyio.current_time()
        session = self.sessions.to_shed(now, self.shares.weight, lambda source: self.shares.known(source, now * 1e3))
        if session:
            cause = (
                "began a request and did not end it"
                if session.data or session.scope
                else "said nothing"
                if session.first
                else "idle between requests"
            )
            self.account.shed(f"made room: {cause}", session.source)
            self._close(session)
        return session is not None

    def close_kept(self) -> None:
        """Close the connections that are between requests: their clients come again elsewhere at no harm. Whoever sent
        nothing on a connection yet counts on an answer to the first request."""
        for session in list(self.sessions.kept):
            if session.is_silent():
                self._close(session)

    async def finish(self) -> None:
        """The end of the service, once nothing is owed. Whoever has connected by now is let in and told to go
        elsewhere; the listener goes, and who has sent nothing after a moment is left. Requests that came meanwhile are
        answered before their connections are closed."""
        for _ in range(_LAST_ACCEPTS):
            if not self._accept():
                break
        self._ending = True
        self._listen(False)
        close_quietly(self._listener)
        until = anyio.current_time() + _LAST_S
        while (self.sessions.count or self._answering) and anyio.current_time() < until:
            await anyio.sleep(0.01)
        for session in list(self._by_fd.values()):
            if session.is_unread():
                self._guarded(session)
        while self._answering and anyio.current_time() < until + _LINGER_S:
            await anyio.sleep(0.01)

    async def _end_overdue(self) -> None:
        while True:
            due = self.sessions.next_due()
            if due is None:
                await self._waiting.wait()
                continue
            await anyio.sleep(min(max(due - anyio.current_time(), 0.02), _LOOK_S))
            for session in self.sessions.due(anyio.current_time()):
                if not session.scope and session.is_unread():  # it came in time, and its turn did not
                    self._guarded(session)
                    if session.gone or session.scope or session.deadline > anyio.current_time():
                        continue
                if session.first or session.data or session.scope:
                    self.account.shed("out of time without a whole request", session.source)
                if session.scope:
                    self.sessions.leave_line(session)  # its task has the same time, and a word to say
                elif session.data:
                    self._hand_over(session, late=True)
                else:
                    self._close(session)

    # The common request.

    def _read(self, session: ClientSession, waited_ms: float) -> None:
        try:
            data = receive_at_once(session.sock)
        except OSError:
            data = b""
        if data is None:
            return
        if not data:
            if session.data:
                self._hand_over(session, ended=True)
            else:
                self._close(session)
            return
        if not session.data and not session.first:  # a later request begins
            if session.handed_in:
                self._keep_alive_policy.was_used_again()
            self.sessions.leave_line(session)
            session.deadline = anyio.current_time() + _REQUEST_S
        session.data += data
        found = read(session.data)
        if isinstance(found, Common):
            self.sessions.leave_line(session)
            session.data = b""
            self._answer_now(session, found, waited_ms)
        elif found is Look.UNCOMMON:
            self._hand_over(session)
        elif not session.first:
            self.sessions.begun[session] = None

    def _answer_now(self, session: ClientSession, found: Common, waited_ms: float) -> None:
        told, number, submission = self._decide(session, found.request, waited_ms)
        session.handed_in = number is not None
        if number is not None and submission and self._relay.awaits_replication(number):
            self._answering += 1
            self._leave(session)
            assert self._tasks
            session.scope = anyio.CancelScope()
            self._tasks.start_soon(self._answer_copied, session, number, submission, found.close)
            return
        close = told.close or found.close or not self._keep_alive(number)
        data = answer(told.status, told.headers, told.body, close)
        try:
            sent = send_at_once(session.sock, data)
        except OSError:
            sent = -1
        if sent < 0:
            if number is not None:
                self._relay.withdraw(number)
            self._close(session)
        elif sent < len(data):
            self._leave(session)
            assert self._tasks
            self._answering += 1
            session.scope = anyio.CancelScope()
            self._tasks.start_soon(self._finish, session, data[sent:], sent > 0, number, submission, close)
        else:
            if number is not None and submission:
                self._relay.accept(number, submission)
            if close:
                self._close(session, answered=True)
            else:
                self._keep(session)

    def _keep_alive(self, number: int | None) -> bool:
        """Whether a connection is kept behind an answer, to a message that was taken on where there is a number."""
        return not self._relay.stopping and (
            number is None or self._keep_alive_policy.allows(self.sessions.count, self._relay.max_clients)
        )

    def _keep(self, session: ClientSession) -> None:
        """It is answered, and may come again."""
        session.first = False
        session.since = anyio.current_time()
        session.deadline = session.since + _IDLE_S
        self.sessions.kept[session] = None
        self._waiting.notify()

    def _decide(
        self, session: ClientSession, request: Request, waited_ms: float = 0.0
    ) -> tuple[SubmissionAnswer, int | None, Submission | None]:
        """What a request that was read whole is answered; and the message that is accepted once it was."""
        if request.method == "GET" and request.path in ("/health/ready", "/health/live"):
            serving = self._relay.ready and not self._relay.stopping
            return SubmissionAnswer(200 if serving or request.path == "/health/live" else 503, []), None, None
        try:
            told = read_submission(request, self._classes)
        except BadRequest as err:
            return SubmissionAnswer(err.status, [], str(err).encode(), close=True), None, None
        # A client that ended its sending has left, and may hand the message in elsewhere by now; should it
        # listen still, a refusal is harmless.
        now = anyio.current_time() * 1e3
        if waited_ms:
            self._load.measured(now, waited_ms)
        if has_ended(session.sock):
            number: int | Refusal = Refusal.CLIENT_LEFT
        elif not self._load.admits(self.shares.known(session.source, now), waited_ms):
            number = Refusal.BUSY
            self._relay.turned_away(told, number)
        else:
            number = self._relay.submit(told)
        if isinstance(number, Refusal):
            if number is not Refusal.ALREADY_ACCEPTED:
                self.account.shed(number.value, session.source)
            return refusal(number, self._random.random()), None, None
        self.shares.took_on(session.source, now)
        return ACCEPTED, number, told

    # What takes a task.

    async def _answer_copied(self, session: ClientSession, number: int, submission: Submission, close: bool) -> None:
        """Say that a message is taken on once others hold copies of it. Where they do not in time nothing is said: it
        may be with some of them, and a refusal would promise that it is not."""
        told = False
        close = close or not self._keep_alive(number)
        try:
            assert session.scope
            with session.scope, anyio.move_on_after(_REPLY_S):
                if await self._relay.replicated(number):
                    await Link(session.sock).send(answer(ACCEPTED.status, ACCEPTED.headers, ACCEPTED.body, close))
                    told = True
                else:
                    self.account.shed("no copy in time", session.source)
        except OSError as err:
            logger.debug("a client's connection ended: {}", err)
        finally:
            self._answering -= 1
            if not told:
                self._relay.withdraw(number)
            self._task_over(session, keep=told and not close)
        if told:
            self._relay.accept(number, submission)

    async def _finish(
        self,
        session: ClientSession,
        rest: bytes,
        begun: bool,
        number: int | None,
        submission: Submission | None,
        close: bool,
    ) -> None:
        """The part of an answer that the kernel did not take at once. Once a byte of it has gone its client may have
        heard that the message is taken on, whatever becomes of the rest: then it is."""
        told, link = False, Link(session.sock)
        try:
            assert session.scope
            with session.scope, anyio.move_on_after(_REPLY_S):
                await link.send(rest)
                told = True
        except OSError as err:
            logger.debug("a client's connection ended: {}", err)
        finally:
            self._answering -= 1
            begun = begun or link.handed > 0
            if number is not None and not begun:
                self._relay.withdraw(number)
            self._task_over(session, keep=told and not close)
            if begun and number is not None and submission:
                self._relay.accept(number, submission)

    def _task_over(self, session: ClientSession, keep: bool) -> None:
        """Its connection waits again without a task, or is closed."""
        session.scope = None
        if keep and not session.gone:
            self._wait(session)
            self._keep(session)
        elif session.gone:
            hang_up(session.sock)  # who closed it left that to its task
        else:
            self._close(session, answered=True)

    def _hand_over(self, session: ClientSession, late: bool = False, ended: bool = False) -> None:
        """Give a request that is uncommon, or that does not end, to h11 and a task."""
        assert self._tasks
        self._leave(session)
        session.scope = anyio.CancelScope()
        if late or ended:
            self.sessions.leave_line(session)
        elif not session.first:
            self.sessions.begun[session] = None
        self._tasks.start_soon(self._serve, session, late, ended)

    async def _serve(self, session: ClientSession, late: bool, ended: bool) -> None:
        keep = False
        connection = ServerConnection(Link(session.sock))
        data, session.data = session.data, b""
        try:
            connection.feed(data)
            if ended:
                connection.feed(b"")
            assert session.scope
            with session.scope:
                keep = await self._one_request(session, connection, late)
        except (OSError, h11.ProtocolError) as err:
            logger.debug("a client's connection ended: {}", err)
        except Exception:
            logger.exception("a client's connection broke off")
        finally:
            self.sessions.leave_line(session)
            self._task_over(session, keep)

    async def _one_request(self, session: ClientSession, connection: ServerConnection, late: bool) -> bool:
        """Answer one request; False when the connection is to be closed."""
        try:
            if late:
                raise TimeoutError
            with anyio.fail_after(session.deadline - anyio.current_time()):
                request = await connection.request()
        except h11.RemoteProtocolError as err:
            return await self._turn_away(connection, err.error_status_hint, "the request cannot be read")
        except Ambiguous as err:
            return await self._turn_away(connection, 400, str(err))
        except BodyTooLarge:
            return await self._turn_away(connection, 413, "a body holds 64 KiB at most")
        except TimeoutError:
            return await self._turn_away(connection, 408, "the request took too long")
        if request is None:
            return False
        self.sessions.leave_line(session)
        self._answering += 1
        told, number, submission = self._decide(session, request)
        session.handed_in = number is not None
        handed = connection.handed
        try:
            if number is not None and not await self._relay.replicated(number):
                self.account.shed("no copy in time", session.source)
                raise ConnectionAbortedError("no copy in time")
            with anyio.fail_after(_REPLY_S):
                await connection.respond(told.status, told.headers, told.body, told.close)
        except BaseException:
            if number is not None and submission and connection.handed > handed:
                self._relay.accept(number, submission)  # a part of the 202 has gone: its client may have heard it
            elif number is not None:
                self._relay.withdraw(number)
            raise
        finally:
            self._answering -= 1
        if number is not None and submission:
            self._relay.accept(number, submission)
        return not told.close and connection.next() and not self._relay.stopping

    async def _turn_away(self, connection: ServerConnection, status: int, text: str) -> bool:
        """Answer what was not read to its end, and close."""
        with anyio.move_on_after(_LINGER_S), suppress(OSError):
            await connection.respond(status, body=text.encode(), close=True)
            await connection.linger()
        return False

"""A randomized fault soak: real processes under load, with troubles drawn by a seed that overlap in time.

    python tests/fleet/play.py soak --seeds 1-20 --workers 2

Each trouble is begun and taken back by itself, so two or three hold at once. What the auditor finds counts, and so does
a process that breaks off, ends with an error, takes more memory than its settings allow, reports a violated invariant,
closes a connection on which it read a request without an answer, or does not serve again once all troubles are over.
"""

from __future__ import annotations

import asyncio
import errno
import random
import signal
import sys
from collections.abc import Awaitable, Callable
from contextlib import suppress
from pathlib import Path

from fleet.auditor import Finding, Report
from fleet.links import Fault, cut_off, one_way_up
from fleet.rig import MEMORY_MB, Relay, Rig
from fleet.shims import Switch
from fleet.standins import Destination, Server
from fleet.stray import drawn
from intake.rude_clients import ANSWERED, KINDS, MANY, ONE

RELAYS = 10
LOAD_S, PER_S = 14.0, 70.0
SETTLES_S = 10.0  # longer than any message lives, and than what a cold destination needs
AT_ONCE = 3  # troubles that overlap
_KILL_AFTER_S = 3.7  # from SIGTERM to SIGKILL, at the earliest
SOCKETS = 1_024
_CROWD = 600  # idle clients, more than a relay's descriptors for clients
_RUDE_CLIENTS = 600  # of one kind at one relay, at most
_KEPT_THROUGH_A_STOP = 4  # clients that use their connections until the relay is killed
_LOOK_AT_MEMORY_S = 0.1
_RUDE_CLIENTS_PROGRAM = Path(__file__).parents[1] / "intake" / "rude_clients.py"
_GONE_S = 0.05  # around a process's end its kernel closes what it had not read
_COLD_AFTER_S = 1.5
_CAPACITY = 80.0  # calls a second of a destination, of which half comes to it
_STEPS_S = (-3_600.0, -5.0, -0.4, 0.4, 5.0, 3_600.0)
_DISK = (errno.EIO, errno.ENOSPC)


class Soak:
    """One run. Each trouble is a coroutine that begins it, waits, and takes it back."""

    def __init__(self, rig: Rig, seed: int) -> None:
        self.rig, self.random = rig, random.Random(f"soak{seed}")
        self.switches = {name: Switch() for name in rig.relays}
        self.busy: set[str] = set()  # relays that are being restarted
        self.findings: list[Finding] = []
        self.peaks_mb: dict[str, float] = {}
        self.has_crowd = self.random.random() < 0.4
        self.troubles: tuple[Callable[[], Awaitable[None]], ...] = (
            self.killed,
            self.killed_in_an_outage,
            self.stopped,
            self.reloaded,
            self.link_fails,
            self.discovery_silent,
            self.destination_fails,
            self.destination_hangs,
            self.limit_lowered,
            self.endpoint_drains,
            self.disk_refuses,
            self.calls_fail,
            self.clock_set,
            self.rude_clients,
            self.rude_clients_in_numbers,
            self.rude_clients_in_numbers,
            self.clients_that_come_again,
            self.ids_exchanged,
            self.held_up,
            self.stray_bytes,
            self.stray_bytes_of_the_platform,
            self.kept_connections,
            self.crowd,
        )

    def begin(self, name: str) -> None:
        relay = self.rig.relays[name]
        path = relay.folder / "switch.json"
        self.switches[name].write(path)
        self.rig.begin(name, f"from fleet.shims import install; install({str(path)!r}, {str(relay.state)!r})")

    def switch(self, name: str, **changes: float) -> None:
        old = self.switches[name]
        told = {"disk": old.disk, "share": old.share, "clock_s": old.clock_s} | changes
        self.switches[name] = Switch(int(told["disk"]), told["share"], told["clock_s"])
        self.switches[name].write(self.rig.relays[name].folder / "switch.json")
        self.tell(f"{name}: {self.switches[name]}")

    def tell(self, what: str) -> None:
        self.rig.story.tell("fault", what=what)

    def found(self, rule: str, seen: str, *ids: str) -> None:
        self.findings.append(Finding(rule, self.rig.story.now(), ids, seen))

    def running(self) -> list[Relay]:
        """The relays that are up, and that nobody restarts just now."""
        return [relay for name, relay in sorted(self.rig.relays.items()) if relay.up and name not in self.busy]

    def anyone(self) -> Relay | None:
        up = self.running()
        return self.random.choice(up) if up else None

    async def lasts(self, least: float, most: float) -> None:
        await asyncio.sleep(self.random.uniform(least, most))

    # Troubles.

    async def killed(self) -> None:
        if not (relay := self.anyone()):
            return
        self.busy.add(relay.name)
        self.rig.kill(relay.name)
        await self.lasts(0.0, 0.7)
        await self.back(relay)

    async def killed_in_an_outage(self) -> None:
        """Some relays, all in one moment, with what they know of a destination that comes back cold soon after."""
        dest = self.random.choice(list(self.rig.dests.values()))
        if dest.fail:
            return
        dest.fail = True
        self.tell(f"destination {dest.number} fails")
        await self.lasts(_COLD_AFTER_S, 3.0)
        up = self.running()
        struck = self.random.sample(up, self.random.randrange(len(up) // 2 + 1))
        self.busy |= {relay.name for relay in struck}
        self.rig.kill(*(relay.name for relay in struck))
        await asyncio.gather(*(self.back(relay) for relay in struck))
        await self.lasts(0.0, 1.5)
        self.cold(dest)

    def cold(self, dest: Destination) -> None:
        dest.fail = False
        dest.cold_at, dest.recent = self.rig.story.now(), []
        self.tell(f"destination {dest.number} comes back cold")

    async def stopped(self) -> None:
        """SIGTERM, and SIGKILL where it takes longer than a platform waits."""
        if not (relay := self.anyone()):
            return
        self.busy.add(relay.name)
        process = relay.process
        assert process
        kept = [
            self.rig.during(lambda: self.rig.keep_handing_in(relay, _KILL_AFTER_S)) for _ in range(_KEPT_THROUGH_A_STOP)
        ]
        await asyncio.sleep(0.05)
        self.rig.signal(signal.SIGTERM, relay.name)
        for _ in range(self.random.randrange(3)):  # signals come in series
            await self.lasts(0.0, 0.2)
            process.send_signal(self.random.choice((signal.SIGTERM, signal.SIGHUP)))
        try:
            code = await asyncio.to_thread(process.wait, _KILL_AFTER_S)
            if code != 0:
                self.found("exit code", f"{relay.name} ended with {code} after SIGTERM")
        except Exception:  # it still has work
            self.rig.kill(relay.name)
        self.tell(f"{relay.name} is over")
        await asyncio.gather(*kept)
        await self.lasts(0.0, 0.3)
        await self.back(relay)

    async def back(self, relay: Relay) -> None:
        self.begin(relay.name)
        try:
            await self.rig.come(relay.name)
        except AssertionError as err:
            self.found("start", str(err)[-1_500:])
        self.busy.discard(relay.name)

    async def reloaded(self) -> None:
        """SIGHUP, now and then while the file is half written."""
        if not (relay := self.anyone()) or not relay.process:
            return
        path = relay.folder / "config.json"
        whole = path.read_text()
        if self.random.random() < 0.5:
            path.write_text(whole[: self.random.randrange(len(whole))])
        for _ in range(self.random.randrange(1, 4)):
            relay.process.send_signal(signal.SIGHUP)
            await self.lasts(0.0, 0.05)
        self.tell(f"{relay.name} reloads")
        path.write_text(whole)

    async def link_fails(self) -> None:
        """To endpoints alone, since discovery's agent is on the relay's machine. Nothing is held back on the way up: a
        call that comes late by its link would count against waits and drains that its relay heard of meanwhile."""
        if not (relay := self.anyone()):
            return
        name, link = self.random.choice(sorted(relay.links.items()))
        link.fault = self.random.choice(
            (
                one_way_up(),
                Fault(stall_down=True),
                Fault(refuse=True),
                cut_off(),
                Fault(cut_after=self.random.randrange(1, 600)),
            )
        )
        self.tell(f"the link of {relay.name} to {name}: {link.fault}")
        await self.lasts(0.2, 2.0)
        link.fault = Fault()

    async def discovery_silent(self) -> None:
        if self.rig.discovery.silent:
            return
        self.rig.discovery.silent = True
        self.tell("discovery is silent")
        await self.lasts(0.5, 3.0)
        self.rig.discovery.silent = False

    async def destination_fails(self) -> None:
        """Behind a longer outage it comes back cold, and falls over where all relays together send too much."""
        dest = self.random.choice(list(self.rig.dests.values()))
        if dest.fail:
            return
        dest.fail = True
        self.tell(f"destination {dest.number} fails")
        began = self.rig.story.now()
        await self.lasts(0.5, 4.0)
        if self.rig.story.now() - began >= _COLD_AFTER_S:
            self.cold(dest)
        dest.fail = False

    async def destination_hangs(self) -> None:
        dest = self.random.choice(list(self.rig.dests.values()))
        dest.hang = True
        self.tell(f"destination {dest.number} hangs")
        await self.lasts(0.3, 3.0)
        dest.hang = False

    async def limit_lowered(self) -> None:
        dest = self.random.choice(list(self.rig.dests.values()))
        if not dest.limit:
            return
        whole, dest.limit = dest.limit, dest.limit * 0.3
        self.tell(f"destination {dest.number} takes {dest.limit}")
        await self.lasts(1.0, 4.0)
        dest.limit = whole

    async def endpoint_drains(self) -> None:
        process, discovery = self.random.choice(sorted(self.rig.endpoints)), self.rig.discovery
        number = self.rig.endpoints[process].dest.number
        discovery.list(self._id_of(process), number, "Terminating")
        self.tell(f"{process} drains")
        await self.lasts(1.0, 3.0)
        discovery.list(self._id_of(process), number)

    def _id_of(self, process: str) -> str:
        return next(name for name in self.rig.discovery.members if self.rig.discovery.process(name) == process)

    async def ids_exchanged(self) -> None:
        """An endpoint's id comes back with a process of another destination, and that one's with it."""
        first, second = (
            self.random.choice(
                [name for name, member in sorted(self.rig.discovery.members.items()) if member["cell"] == n]
            )
            for n in (1, 2)
        )
        self.tell(f"{first} and {second} exchange their ids")
        self.rig.discovery.exchange(first, second)

    async def disk_refuses(self) -> None:
        if not (relay := self.anyone()):
            return
        self.switch(relay.name, disk=self.random.choice(_DISK))
        await self.lasts(0.2, 3.0)
        self.switch(relay.name, disk=0)

    async def calls_fail(self) -> None:
        if not (relay := self.anyone()):
            return
        self.switch(relay.name, share=self.random.choice((0.01, 0.05, 0.2)))
        await self.lasts(0.3, 2.0)
        self.switch(relay.name, share=0.0)

    async def clock_set(self) -> None:
        if relay := self.anyone():
            self.switch(relay.name, clock_s=self.random.choice(_STEPS_S))

    async def rude_clients(self) -> None:
        """They connect and say nothing, say half, send much at once, or leave."""
        if not (relay := self.anyone()):
            return
        held = []
        for _ in range(self.random.randrange(5, 40)):
            with suppress(OSError):
                _, writer = await asyncio.open_connection("127.0.0.1", relay.port)
                held.append(writer)
                writer.write(self.random.choice((b"", b"POST /sco", b"GET / HTTP/1.1\r\n\r\n" * 50, b"\0" * 5_000)))
        self.tell(f"{len(held)} rude clients of {relay.name}")
        await self.lasts(0.0, 2.5)
        for writer in held:
            writer.transport.abort()

    async def rude_clients_in_numbers(self) -> None:
        """Many clients that hold what a relay has, or one at full speed."""
        if not (relay := self.anyone()):
            return
        kind = self.random.choice(sorted(KINDS))
        clients = self.random.randrange(50, _RUDE_CLIENTS) if kind in MANY else self.random.randrange(1, 3)
        kind += ANSWERED if kind in ONE and self.random.random() < 0.5 else ""
        seconds = self.random.uniform(0.5, 3.0)
        self.tell(f"{clients} rude clients of {relay.name}: {kind}")
        arguments = [str(_RUDE_CLIENTS_PROGRAM), kind, str(relay.port), str(clients), f"{seconds:.2f}"]
        process = await asyncio.create_subprocess_exec(sys.executable, *arguments, stdout=asyncio.subprocess.DEVNULL)
        try:
            await process.wait()
        finally:
            with suppress(ProcessLookupError):
                process.kill()

    async def clients_that_come_again(self) -> None:
        """Clients send a message that may not run twice, leave at once, and hand it in again under its id."""
        if not (relay := self.anyone()):
            return
        self.tell(f"clients of {relay.name} leave and come again")
        for _ in range(self.random.randrange(5, 30)):
            await self.rig.hand_in_and_come_again(relay, self.random.uniform(0.0, 0.3))

    async def stray_bytes(self) -> None:
        """Some endpoints send bytes that answer no call."""
        servers = [endpoint.server for endpoint in self.rig.endpoints.values()]
        chosen = self.random.sample(servers, self.random.randrange(1, len(servers) + 1))
        await self._stray(chosen, "endpoints")

    async def stray_bytes_of_the_platform(self) -> None:
        await self._stray([self.rig.discovery.server], "platform")

    async def _stray(self, servers: list[Server], where: str) -> None:
        stray = drawn(self.random)
        self.tell(f"{len(servers)} {where} send stray bytes: {stray}")
        for server in servers:
            server.stray = stray
        await self.lasts(0.5, 4.0)
        for server in servers:
            server.stray = None

    async def kept_connections(self) -> None:
        """Clients that use one connection for many messages."""
        if relay := self.anyone():
            await self.rig.keep_handing_in(relay, self.random.uniform(0.5, 3.0))

    async def crowd(self) -> None:
        """Idle clients take the descriptors."""
        if not (relay := self.anyone()) or not self.has_crowd:
            return
        held = []
        for _ in range(_CROWD):
            with suppress(OSError):
                _, writer = await asyncio.open_connection("127.0.0.1", relay.port)
                held.append(writer)
        self.tell(f"a crowd of {len(held)} at {relay.name}")
        await self.lasts(0.5, 2.0)
        for writer in held:
            writer.transport.abort()

    async def held_up(self) -> None:
        """A relay stands still for as long as its machine may hold it up."""
        if not (relay := self.anyone()) or not relay.process:
            return
        process, lasted = relay.process, self.random.uniform(0.02, 0.15)
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(lasted)
        process.send_signal(signal.SIGCONT)
        self.rig.story.tell("stall", lasted=round(lasted, 3))

    # The run.

    async def keep_in_trouble(self, seconds: float) -> None:
        until = self.rig.story.now() + seconds
        while self.rig.story.now() < until:
            await self.random.choice(self.troubles)()
            await self.lasts(0.0, 0.6)

    async def watch_memory(self) -> None:
        """Until cancelled: the peak of each relay's process beside its settings."""
        while True:
            for name in self.rig.relays:
                peak_mb = self.rig.peak_mb(name)
                if peak_mb > MEMORY_MB >= self.peaks_mb.get(name, 0.0):
                    self.found("memory", f"{name} takes {peak_mb:.0f} MB of {MEMORY_MB}")
                self.peaks_mb[name] = max(self.peaks_mb.get(name, 0.0), peak_mb)
            await asyncio.sleep(_LOOK_AT_MEMORY_S)

    def all_well(self) -> None:
        """What no trouble takes back by itself."""
        for name in self.rig.relays:
            self.switch(name, disk=0, share=0.0)
        for dest in self.rig.dests.values():
            dest.fail = dest.hang = False
        for server in [self.rig.discovery.server, *(endpoint.server for endpoint in self.rig.endpoints.values())]:
            server.stray = None

    async def serves_again(self) -> None:
        """Every relay takes a message on, and delivers it."""
        for name, relay in self.rig.relays.items():
            wire_id = f"again-{name}.0"
            status = await self.rig.hand_in("scores", 1, relay, wire_id, 4.0)
            if status != 202:
                self.found("does not serve again", f"{name} answers {status} with nothing wrong any more", wire_id)

    def unanswered(self) -> None:
        """A connection that ends without an answer, where its relay was there all the time."""
        ends = [
            event.at
            for event in self.rig.story.of("fault")
            if event.facts.get("what") == "SIGKILL" or str(event.facts.get("what")).endswith("is over")
        ]
        begun = {event.id: event.at for event in self.rig.story.of("handed")}
        for event in self.rig.story.of("client"):
            if event.facts.get("closed") and not any(
                begun[event.id] - _GONE_S <= at <= event.at + _GONE_S for at in ends
            ):
                self.findings.append(Finding("closed unanswered", event.at, (event.id,), f"by {event.relay}"))


async def soak(seed: int, code: str = "") -> Report:
    """`code` is not used: the relays run with their shims."""
    dests = (
        Destination(1, _CAPACITY, _CAPACITY, tells_wait_ms=300.0, errs=0.03),
        Destination(2, _CAPACITY, _CAPACITY, takes_s=0.08, refuses=0.03),
    )
    async with Rig(seed, RELAYS, dests, endpoints=3, sockets=SOCKETS) as rig:
        run = Soak(rig, seed)
        for name in rig.relays:
            run.begin(name)
        await rig.come(*rig.relays)
        memory = rig.during(run.watch_memory)
        load = rig.load(LOAD_S, PER_S)
        troubles = [rig.during(lambda: run.keep_in_trouble(LOAD_S)) for _ in range(AT_ONCE)]
        done = await asyncio.gather(load, *troubles, return_exceptions=True)
        for outcome in done:
            if isinstance(outcome, Exception):
                raise outcome
        run.all_well()
        memory.cancel()
        await rig.settled(SETTLES_S)
        await run.serves_again()
        await rig.settled(1.0)
        run.unanswered()
        rig.story.tell("peaks", mb={name: round(peak) for name, peak in run.peaks_mb.items()})
        report = rig.audit()
        report.findings = sorted([*report.findings, *run.findings], key=lambda finding: finding.at)
        return report

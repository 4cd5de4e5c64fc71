"""Scenarios of work that survives the loss of its relay, played on the rig with a coordination store.

Each returns the auditor's report; what is taken on has to end though its relay does not come back.
"""

from __future__ import annotations

import asyncio
import random
import signal
from collections.abc import Awaitable, Callable
from pathlib import Path

from fleet.auditor import Finding, Report
from fleet.fleet_rig import TTL_S, FleetRig
from fleet.links import Fault, cut_off, one_way_up
from fleet.standins import Destination

Scenario = Callable[[int, str], Awaitable[Report]]
TAKEOVERS: dict[str, Scenario] = {}
WITHIN_S = TTL_S + 0.5
SETTLE_S = 9.0


def _scenario(play: Scenario) -> Scenario:
    TAKEOVERS[play.__name__] = play
    return play


def _dests(takes_s: float = 0.2) -> tuple[Destination, ...]:
    return Destination(1, takes_s=takes_s), Destination(2, takes_s=takes_s)


def first_attempts(rig: FleetRig, owner: str, lost_at: float) -> list[float]:
    """After how many seconds each message that the lost relay held got its first attempt from another."""
    mine = {
        event.id
        for event in rig.story.of("client")
        if event.relay == owner and event.status == 202 and event.at <= lost_at
    }
    found: dict[str, float] = {}
    for event in rig.story.of("call"):
        if event.id in mine and event.relay != owner and event.at > lost_at:
            found.setdefault(event.id, event.at - lost_at)
    return sorted(found.values())


async def _lost(rig: FleetRig, owner: str, report_of: Callable[[], Report], within: float = WITHIN_S) -> Report:
    """A relay is gone for good; its work goes on elsewhere, in time. That all of it ends the auditor says."""
    at = rig.story.now()
    rig.kill(owner)
    rig.leave(owner)
    await rig.settled(SETTLE_S)
    report = report_of()
    taken_over = first_attempts(rig, owner, at)
    rig.story.tell("taken_over", count=len(taken_over), slowest=taken_over[-1] if taken_over else 0.0)
    if taken_over and taken_over[-1] > within:
        report.findings.append(Finding("takeover", at, (), f"taken over after {taken_over[-1]:.2f} s"))
    return report


@_scenario
async def lost(seed: int, code: str = "") -> Report:
    """One of three relays is killed under load, and its folder goes with it."""
    async with FleetRig(seed, 3, _dests(), code=code) as rig:
        await rig.start()
        await rig.settled_in()
        rig.load(4.0, 60.0)
        await asyncio.sleep(1.5 + rig.random.random())
        return await _lost(rig, "r0", lambda: rig.audit(WITHIN_S))


_STEPS = {  # where a relay is killed: what is replaced, and whether it ends before or after that
    "taken": ("calicohitch.journal", "Journal", "record_accepted", False),
    "copied": ("calicohitch.net.relay", "Relay", "replicated", True),
    "accepted": ("calicohitch.net.relay", "Relay", "accept", False),
    "attempt recorded": ("calicohitch.journal", "Journal", "record_attempt", False),
    "before the first byte": ("calicohitch.net.relay", "Relay", "_wanted", False),
    "answered": ("calicohitch.net.relay", "Relay", "_settled", True),
    "outcome recorded": ("calicohitch.journal", "Journal", "record_outcome", False),
    "end recorded": ("calicohitch.journal", "Journal", "record_end", False),
    "closed": ("calicohitch.journal", "Journal", "record_closed", False),
    "claim sent": ("calicohitch.failover.claims", "Claims", "claim", False),
    "journaled for another": ("calicohitch.net.relay", "Relay", "adopt", False),
    "adoption sent": ("calicohitch.failover.claims", "Claims", "adopted", False),
    "adopted": ("calicohitch.net.relay", "Relay", "confirm", True),
    "confirmed": ("calicohitch.net.relay", "Relay", "confirm", False),
}
OWNERS, SUCCESSORS = list(_STEPS)[:9], list(_STEPS)[9:]


def dies_at(step: str, nth: int, once: Path) -> str:
    """Code for a relay that is killed at the n-th time of a step; of all that have the same `once`, the first."""
    module, cls, name, before = _STEPS[step]
    return (
        f"import os, signal, {module}\n"
        f"cls, count = {module}.{cls}, 0\n"
        f"real = cls.{name}\n"
        "def dies(*args, **kwargs):\n"
        "    global count\n"
        "    count += 1\n"
        f"    if {before} and count == {nth}: die()\n"
        "    done = real(*args, **kwargs)\n"
        f"    if count == {nth}: die()\n"
        "    return done\n"
        "def die():\n"
        "    try:\n"
        f"        os.close(os.open({str(once)!r}, os.O_CREAT | os.O_EXCL))\n"
        "    except FileExistsError:\n"
        "        return\n"
        "    os.kill(os.getpid(), signal.SIGKILL)\n"
        f"cls.{name} = dies\n"
    )


async def _dies(rig: FleetRig, names: list[str], seconds: float) -> str:
    """Wait until one of these has ended; which."""
    until = rig.story.now() + seconds
    while rig.story.now() < until:
        for name in names:
            process = rig.relays[name].process
            if process and process.poll() is not None:
                rig.relays[name].ready_at = -1.0
                rig.story.tell("fault", what="SIGKILL", relay=name)
                rig.leave(name)
                return name
        await asyncio.sleep(0.01)
    return ""


@_scenario
async def killed_at_a_step(seed: int, code: str = "") -> Report:
    """A relay is killed at a step of a message's life, by its own hand; the folder is not seen again."""
    async with FleetRig(seed, 3, _dests(0.1), code=code) as rig:
        step = OWNERS[seed % len(OWNERS)]
        rig.story.tell("fault", what=f"r0 will be killed at: {step}")
        rig.begin("r0", dies_at(step, rig.random.randrange(5, 25), rig.relays["r0"].folder / "died"))
        rig.begin("r1"), rig.begin("r2")
        await rig.come("r0", "r1", "r2")
        await rig.settled_in()
        rig.load(4.0, 60.0)
        await asyncio.sleep(0.5)
        if step in ("outcome recorded", "end recorded"):
            for dest in rig.dests.values():
                dest.fail = True
        died = await _dies(rig, ["r0"], 4.0)
        for dest in rig.dests.values():
            dest.fail = False
        await rig.settled(SETTLE_S)
        report = rig.audit(WITHIN_S)
        if not died:
            report.findings.append(Finding("rig", rig.story.now(), (), f"r0 was not killed at: {step}"))
        return report


@_scenario
async def successor_killed_at_a_step(seed: int, code: str = "") -> Report:
    """A relay is lost, and the first that claims its work is killed at a step of that; the next one takes it."""
    async with FleetRig(seed, 4, _dests(), copies=2, code=code) as rig:
        step = SUCCESSORS[seed % len(SUCCESSORS)]
        rig.begin("r0")
        for name in ("r1", "r2"):
            rig.story.tell("fault", what=f"{name} will be killed at: {step}")
            rig.begin(name, dies_at(step, 1, rig.relays["r0"].folder / "died"))
        rig.begin("r3")
        await rig.come("r0", "r1", "r2", "r3")
        await rig.settled_in()
        rig.load(3.0, 60.0)
        await asyncio.sleep(1.5)
        rig.kill("r0")
        rig.leave("r0")
        died = await _dies(rig, ["r1", "r2"], 6.0)
        await rig.settled(SETTLE_S)
        report = rig.audit(2 * WITHIN_S)
        if not died:
            report.findings.append(Finding("rig", rig.story.now(), (), f"nobody was killed at: {step}"))
        return report


@_scenario
async def stalled_owner(seed: int, code: str = "") -> Report:
    """The owner stands still in the midst of calls for longer than its lease, its work is taken over, and it goes
    on."""
    async with FleetRig(seed, 3, _dests(1.5), code=code) as rig:
        await rig.start()
        await rig.settled_in()
        rig.load(3.5, 50.0)
        await asyncio.sleep(1.5 + rig.random.random())
        rig.signal(signal.SIGSTOP, "r0")
        await asyncio.sleep(TTL_S + 1.5)
        rig.story.tell("replaced", relay="r0")
        rig.signal(signal.SIGCONT, "r0")
        process = rig.relays["r0"].process
        assert process
        code_of = await asyncio.to_thread(process.wait, 20)
        rig.story.tell("fault", what=f"r0 ended with {code_of}")
        await rig.settled(SETTLE_S)
        report = rig.audit(WITHIN_S)
        if code_of != 79:
            report.findings.append(Finding("takeover", 0.0, (), f"r0 ended with {code_of}:\n{rig.relays['r0'].log()}"))
        return report


async def _cut(
    seed: int,
    code: str,
    cut: Callable[[FleetRig], None],
    heal: Callable[[FleetRig], None],
    seconds: float,
    within: float = WITHIN_S,
) -> Report:
    """The owner is cut off from some for a while; all goes on, by it or by others."""
    async with FleetRig(seed, 3, _dests(), code=code) as rig:
        await rig.start()
        await rig.settled_in()
        rig.load(4.5, 50.0)
        await asyncio.sleep(1.0 + rig.random.random())
        cut(rig)
        rig.story.tell("fault", what="r0 is cut off", relay="r0")
        await asyncio.sleep(seconds)
        heal(rig)
        rig.story.tell("fault", what="the line is whole again", relay="r0")
        if process := rig.relays["r0"].process:
            await asyncio.sleep(1.5)
            if process.poll() is not None:
                rig.story.tell("fault", what=f"r0 ended with {process.poll()}")
                rig.begin("r0")
                await rig.come("r0")
        await rig.settled(SETTLE_S)
        return rig.audit(seconds + within)


@_scenario
async def cut_from_the_store(seed: int, code: str = "") -> Report:
    """Its holders hear it all the same: it goes on, and nothing is claimed."""
    fault = random.Random(seed).choice([cut_off(), one_way_up(), Fault(stall_down=True), Fault(refuse=True)])

    def cut(rig: FleetRig) -> None:
        rig.store["r0"].fault = fault

    def heal(rig: FleetRig) -> None:
        rig.store["r0"].fault = Fault()

    return await _cut(seed, code, cut, heal, 2 * TTL_S)


@_scenario
async def cut_from_its_holders(seed: int, code: str = "") -> Report:
    """Others hold its copies then, or nobody does, which the store is told before anything rests on it."""
    fault = random.Random(seed).choice([cut_off(), one_way_up(), Fault(stall_up=True), Fault(cut_after=300)])

    def cut(rig: FleetRig) -> None:
        for name in ("r1", "r2"):
            rig.copies[name].fault = fault

    def heal(rig: FleetRig) -> None:
        for name in ("r1", "r2"):
            rig.copies[name].fault = Fault()

    return await _cut(seed, code, cut, heal, TTL_S)


@_scenario
async def cut_from_all(seed: int, code: str = "") -> Report:
    """From the store and from the holders at once: it stops, and others go on."""

    def cut(rig: FleetRig) -> None:
        for link in (rig.store["r0"], rig.copies["r1"], rig.copies["r2"]):
            link.fault = cut_off()

    def heal(rig: FleetRig) -> None:
        for link in (rig.store["r0"], rig.copies["r1"], rig.copies["r2"]):
            link.fault = Fault()

    return await _cut(seed, code, cut, heal, 1.7 * TTL_S, within=2 * WITHIN_S)


@_scenario
async def cut_from_endpoints(seed: int, code: str = "") -> Report:
    """A relay that reaches nobody to deliver to is alive: nothing is taken from it."""

    def cut(rig: FleetRig) -> None:
        for link in rig.relays["r0"].links.values():
            link.fault = cut_off()

    def heal(rig: FleetRig) -> None:
        for link in rig.relays["r0"].links.values():
            link.fault = Fault()

    return await _cut(seed, code, cut, heal, TTL_S)


async def _store(seed: int, code: str, seconds: float, back: Callable[[FleetRig, object], None]) -> Report:
    """The store is away under load, and comes back as `back` has it; then a relay is lost."""
    async with FleetRig(seed, 3, _dests(), code=code) as rig:
        await rig.start()
        await rig.settled_in()
        older = rig.etcd.saved()
        rig.load(seconds + 5.0, 40.0)
        await asyncio.sleep(1.0)
        rig.etcd.down = True
        rig.story.tell("fault", what="the store is away")
        await asyncio.sleep(seconds)
        back(rig, older)
        rig.etcd.down = False
        rig.story.tell("fault", what="the store is back")
        await asyncio.sleep(2.5)
        if any(relay.process and relay.process.poll() is not None for relay in rig.relays.values()):
            logs = "\n".join(relay.log()[-1_500:] for relay in rig.relays.values())
            raise AssertionError(f"a relay ended:\n{logs}")
        return await _lost(rig, "r1", lambda: rig.audit(WITHIN_S))


@_scenario
async def store_away(seed: int, code: str = "") -> Report:
    return await _store(seed, code, 2.5 * TTL_S, lambda rig, older: None)


@_scenario
async def store_back_empty(seed: int, code: str = "") -> Report:
    return await _store(seed, code, TTL_S / 2, lambda rig, older: rig.etcd.put_back())


@_scenario
async def store_back_older(seed: int, code: str = "") -> Report:
    return await _store(seed, code, TTL_S / 2, lambda rig, older: rig.etcd.put_back(older))  # type: ignore[arg-type]


@_scenario
async def store_troubles(seed: int, code: str = "") -> Report:
    """Leases that end early, answers that are lost after their commit, a compacted watch, and a slow store."""
    async with FleetRig(seed, 3, _dests(), code=code) as rig:
        rig.etcd.deaf = 2
        await rig.start()
        await rig.settled_in()
        rig.load(7.0, 40.0)
        for _ in range(6):
            await asyncio.sleep(0.7)
            what = rig.random.choice(["early", "deaf", "compact", "slow"])
            rig.story.tell("fault", what=what)
            if what == "early":
                rig.etcd.end_leases(rig.random.choice([b"member/r0", b"member/r1", b"member/r2"]))
            elif what == "deaf":
                rig.etcd.deaf = 1
            elif what == "compact":
                rig.etcd.compact()
            else:
                rig.etcd.slow_s = 0.1 if not rig.etcd.slow_s else 0.0
        rig.etcd.slow_s = 0.0
        await asyncio.sleep(1.0)
        return await _lost(rig, "r2", lambda: rig.audit(WITHIN_S))


@_scenario
async def half_lost(seed: int, code: str = "") -> Report:
    """Half of six relays, one of two zones, are lost in the same instant: the copies lie in the other."""
    async with FleetRig(seed, 6, _dests(), zones=2, code=code) as rig:
        await rig.start()
        await rig.settled_in()
        rig.load(3.5, 80.0)
        await asyncio.sleep(2.0)
        names = ["r0", "r2", "r4"]
        rig.kill(*names)
        rig.leave(*names)
        await rig.settled(SETTLE_S)
        return rig.audit(WITHIN_S)


async def _rolling(seed: int, code: str, relays: int, seconds: float) -> Report:
    async with FleetRig(seed, relays, _dests(), code=code) as rig:
        await rig.start()
        await rig.settled_in()
        rig.load(seconds, 60.0)
        await asyncio.sleep(1.0)
        for name in list(rig.relays):
            rig.signal(signal.SIGTERM, name)
            process = rig.relays[name].process
            assert process
            ended = await asyncio.to_thread(process.wait, 20)
            if ended:
                raise AssertionError(f"{name} ended with {ended}:\n{rig.relays[name].log()}")
            rig.begin(name)
            await rig.come(name)
            await rig.settled_in()
        await rig.settled(SETTLE_S)
        return rig.audit(WITHIN_S)


@_scenario
async def rolling(seed: int, code: str = "") -> Report:
    """Each relay is stopped and started in turn under load: work is handed over, and comes to its end."""
    return await _rolling(seed, code, 4, 8.0)


@_scenario
async def rolling_12(seed: int, code: str = "") -> Report:
    """The same with 12 relays; only in the long list."""
    return await _rolling(seed, code, 12, 22.0)


@_scenario
async def short_restart(seed: int, code: str = "") -> Report:
    """A relay is killed and back within the grace: it takes its own folder up, and nothing is claimed."""
    async with FleetRig(seed, 3, _dests(), code=code, grace_ms=4_000) as rig:
        await rig.start()
        await rig.settled_in()
        rig.load(4.0, 50.0)
        await asyncio.sleep(1.5)
        rig.kill("r0")
        await asyncio.sleep(0.3)
        rig.begin("r0")
        await rig.come("r0")
        await rig.settled(SETTLE_S)
        report = rig.audit(WITHIN_S)
        for relay in rig.relays.values():
            if "are taken over" in relay.log():
                report.findings.append(Finding("takeover", 0.0, (), f"{relay.name} took over what was not lost"))
        return report


@_scenario
async def late_return(seed: int, code: str = "") -> Report:
    """A relay comes back with its folder after its work was taken over: what it holds is others' by then."""
    async with FleetRig(seed, 3, _dests(1.0), code=code) as rig:
        await rig.start()
        await rig.settled_in()
        rig.load(3.0, 50.0)
        await asyncio.sleep(1.8)
        rig.kill("r0")
        await asyncio.sleep(TTL_S + rig.random.choice([-0.3, 0.1, 0.6]))
        rig.begin("r0")
        await rig.come("r0")
        await rig.settled(SETTLE_S)
        return rig.audit(WITHIN_S)


@_scenario
async def holder_full(seed: int, code: str = "") -> Report:
    """A holder has room for next to nothing: another holds the copies, or new messages are refused. Calls take long,
    and what is on the wire is waited for."""
    async with FleetRig(seed, 3, _dests(0.8), code=code) as rig:
        small = rig.relays["r1"].folder / "operator.kdl"
        small.write_text(small.read_text().replace("hold-mb=0.8", "hold-mb=0.1"))
        await rig.start()
        await rig.settled_in()
        rig.load(3.5, 120.0)
        await asyncio.sleep(2.5)
        return await _lost(rig, "r0", lambda: rig.audit(WITHIN_S), within=8.0)

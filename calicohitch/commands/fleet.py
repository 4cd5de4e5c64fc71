"""`calicohitch fleet`: what the coordination store and relays' folders tell of the fleet."""

from __future__ import annotations

import json
from collections.abc import Callable
from pathlib import Path
from typing import Any

import anyio
import click

from ..config import ConfigError
from ..config.platform import Address
from ..fleet.records import Keys, State
from ..fleet.roster import Roster
from ..fleet.store import StoreError

_TIMEOUT_MS = 3_000.0


class Unreachable(click.ClickException):
    exit_code = 3


class Unusable(click.ClickException):
    exit_code = 2


@click.group(
    "fleet",
    help="Who is in the fleet, and whose work is whose. Ends with 0 where all is well, 1 where work "
    "lies unclaimed or a message is not found, 2 for what cannot be used, 3 where the store does not answer.",
)
def command() -> None:
    pass


def _of_store(run: Callable[..., None]) -> Callable[..., None]:
    run = click.option("--json", "as_json", is_flag=True, help="Print JSON.")(run)
    run = click.option("--fleet", "name", required=True, metavar="NAME", help="The fleet's name.")(run)
    return click.option("--store", required=True, metavar="HOST:PORT", help="The coordination store.")(run)


def _roster(store: str, name: str) -> Roster:
    """All that stands there now."""
    try:
        address = Address.parse(store, "--store")
    except ConfigError as err:
        raise Unusable(str(err)) from err
    from ..fleet.etcd_store import EtcdStore

    roster = Roster(Keys(name))

    async def read() -> None:
        there = EtcdStore(address, _TIMEOUT_MS)
        try:
            roster.replace(await there.read(roster.keys.prefix), 0.0)
        finally:
            await there.close()

    try:
        anyio.run(read)
    except StoreError as err:
        raise Unreachable(f"the coordination store at {store} does not answer: {err}") from err
    return roster


def told(roster: Roster) -> dict[str, Any]:
    """The fleet as plain data."""
    works = []
    for (relay, epoch), work in sorted(roster.works.items()):
        alive = relay in roster.members and roster.members[relay].epoch == epoch
        parts = []
        for part, holders in enumerate(work.parts):
            claim = roster.claims.get((relay, epoch, part))
            parts.append(
                {
                    "part": part,
                    "holders": [holder.relay for holder in holders],
                    "alive": [holder.relay for holder in holders if holder.relay in roster.members],
                    "claimed_by": claim.relay if claim else None,
                    "adopted": claim.adopted if claim else False,
                }
            )
        works.append(
            {
                "relay": relay,
                "epoch": epoch,
                "state": work.state.value,
                "alive": alive,
                "generation": "current" if work.generation == roster.generation else "older",
                "parts": parts,
            }
        )
    return {
        "revision": roster.revision,
        "generation": roster.generation,
        "unread": roster.unread,
        "members": {
            relay: {"epoch": member.epoch, "zone": member.zone, "copies": member.copies, "life": member.life}
            for relay, member in sorted(roster.members.items())
        },
        "works": works,
    }


def troubles(fleet: dict[str, Any]) -> list[str]:
    """Work that nobody acts on now, and parts that the next loss would lose, in words."""
    found = []
    for work in fleet["works"]:
        where = f"{work['relay']} epoch {work['epoch']}"
        for part in work["parts"]:
            if work["alive"] and not part["alive"]:
                found.append(f"part {part['part']} of {where} has no living holder: it would be lost with its relay")
            elif not work["alive"] and not part["adopted"]:
                why = (
                    f"claimed by {part['claimed_by']}, not adopted yet"
                    if part["claimed_by"]
                    else f"to be claimed by {', '.join(part['alive'])}"
                    if part["alive"]
                    else "its holders are away as well: it waits for them, or for its relay's folder"
                )
                found.append(f"part {part['part']} of {where} is nobody's now: {why}")
    return found


@command.command("status", help="Members, whose copies are where, and what lies unclaimed.")
@_of_store
def status(store: str, name: str, as_json: bool) -> None:
    fleet = told(_roster(store, name))
    found = troubles(fleet)
    if as_json:
        click.echo(json.dumps(fleet | {"troubles": found}))
    else:
        click.echo(f"{name}: {len(fleet['members'])} members, generation {fleet['generation'] or 'none'}")
        click.echo(f"{'relay':<16}{'epoch':>6}  {'zone':<10}{'copies at':<22}held by")
        for relay, member in fleet["members"].items():
            work = next((w for w in fleet["works"] if (w["relay"], w["epoch"]) == (relay, member["epoch"])), None)
            held = " ".join(",".join(p["holders"]) or "-" for p in work["parts"]) if work else "-"
            click.echo(f"{relay:<16}{member['epoch']:>6}  {member['zone']:<10}{member['copies']:<22}{held}")
        for trouble in found:
            click.echo(trouble)
    raise SystemExit(1 if found else 0)


@command.command("show", help="One relay: its epochs, parts, holders and claims.")
@click.argument("relay")
@_of_store
def show(relay: str, store: str, name: str, as_json: bool) -> None:
    fleet = told(_roster(store, name))
    works = [work for work in fleet["works"] if work["relay"] == relay]
    member = fleet["members"].get(relay)
    if as_json:
        click.echo(json.dumps({"relay": relay, "member": member, "works": works}))
    else:
        alive = f"alive, epoch {member['epoch']}, zone {member['zone'] or '-'}" if member else "no member now"
        click.echo(f"{relay}: {alive}")
        for work in works:
            click.echo(f"epoch {work['epoch']}: {State(work['state']).value}, generation {work['generation']}")
            for part in work["parts"]:
                claim = (
                    f", {'adopted' if part['adopted'] else 'claimed'} by {part['claimed_by']}"
                    if (part["claimed_by"])
                    else ""
                )
                click.echo(f"  part {part['part']}: held by {', '.join(part['holders']) or 'nobody'}{claim}")
    raise SystemExit(0 if member or works else 1)


@command.command("who", help="Where a message is, by its Req-Id, from the folders of relays. Folders are only read.")
@click.argument("wire_id", metavar="ID")
@click.argument("folders", nargs=-1, required=True, type=click.Path(path_type=Path, file_okay=False, exists=True))
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def who(wire_id: str, folders: tuple[Path, ...], as_json: bool) -> None:
    from ..failover.looking import traces

    found = []
    for folder in folders:
        try:
            found += traces(folder, wire_id)
        except OSError as err:
            raise Unusable(f"{folder}: {err.strerror}") from err
    if as_json:
        click.echo(json.dumps([trace.as_dict() for trace in found]))
    for trace in found if not as_json else ():
        facts = trace.as_dict()
        whose = f"a copy of {trace.owner}'s, epoch {trace.epoch}" if trace.owner else "its own"
        state = "over" if trace.closed else f"ends as {trace.end}" if trace.end else "open"
        click.echo(
            f"{trace.folder}: {whose}: {state}, {trace.attempts} attempts, {facts['may_have_run']} of them may "
            f"have run" + (f"; from {trace.origin}" if trace.origin else "")
        )
    if not found and not as_json:
        click.echo(f"none of these folders tells of {wire_id}")
    raise SystemExit(0 if found else 1)

"""The operators' file: what a relay does beside what the platform tells it. KDL, checked whole before the start.

What it does not name stays off, and is not imported.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from pathlib import Path
from typing import TYPE_CHECKING

from .platform import Address, ConfigError

if TYPE_CHECKING:
    from ..fleet.settings import FleetSettings
    from ..grpc.settings import GrpcSettings
    from ..intake.admission.settings import AdmissionSettings
    from ..tracing.settings import TracingSettings
    from . import kdl


@dataclass(frozen=True, slots=True)
class LogSettings:
    """`format` is text or json; an empty `level` leaves it to NODE_LOG_LEVEL."""

    format: str = "text"
    level: str = ""


@dataclass(frozen=True, slots=True)
class RecoverySettings:
    """`folder_wait_ms`: how long a start waits for a process that still has its folder. `waits_outlast`: told waits
    hold over a restart, which on the first platform ends them."""

    folder_wait_ms: float = 10_000.0
    waits_outlast: bool = False


@dataclass(frozen=True, slots=True)
class Operator:
    """The checked operators' file; the default is what holds without one."""

    logs: LogSettings = LogSettings()
    tracing: TracingSettings | None = None
    grpc: GrpcSettings | None = None
    clients: AdmissionSettings | None = None
    recovery: RecoverySettings = RecoverySettings()
    fleet: FleetSettings | None = None


LEVELS = ("TRACE", "DEBUG", "INFO", "SUCCESS", "WARNING", "ERROR", "CRITICAL")


def load(path: Path, classes: tuple[str, ...] = ()) -> Operator:
    """Read and check the file; ConfigError lists all that is wrong with it, a line each. `classes` are the names
    that routes may give."""
    from . import kdl

    problems: list[str] = []
    root = kdl.read(path, problems)
    logs = LogSettings()
    if node := root.child("logs"):
        logs = LogSettings(node.text("format", "text", ("text", "json")), node.text("level", "", ("", *LEVELS)))
        node.done()
    node = root.child("tracing")
    grpc = root.child("grpc")
    clients = root.child("clients")
    back = root.child("recovery")
    fleet = root.child("fleet")
    operator = Operator(
        logs,
        _tracing(node, path.parent) if node else None,
        _grpc(grpc, classes) if grpc else None,
        _clients(clients) if clients else None,
        _recovery(back) if back else RecoverySettings(),
        _fleet(fleet, classes) if fleet else None,
    )
    root.done()
    if problems:
        listed = "".join(f"\n  {problem}" for problem in problems)
        raise ConfigError(f"the operators' file {path} cannot be used:{listed}")
    return operator


def _recovery(node: kdl.Node) -> RecoverySettings:
    usual = RecoverySettings()
    settings = RecoverySettings(
        float(node.number("folder-wait-ms", usual.folder_wait_ms, 0, 600_000)),
        node.text("told-waits", "end", ("end", "outlast")) == "outlast",
    )
    node.done()
    return settings


def _tracing(node: kdl.Node, folder: Path) -> TracingSettings:
    from ..tracing.settings import Budget, CollectorSettings, FileSettings, TracingSettings

    budget, usual = Budget(), Budget()
    if sample := node.child("sample"):
        budget = Budget(
            spans=sample.whole("spans-per-s", usual.spans, 10, 100_000),
            bytes=sample.whole("bytes-per-s", usual.bytes, 10_000, 100_000_000),
            ordinary=float(sample.number("ordinary", usual.ordinary, 0, 1)),
            asked=sample.whole("client-flag-per-s", usual.asked, 0, 10_000),
            strata=sample.whole("strata", usual.strata, 1, 10_000),
        )
        sample.done()
    collector = file = lines = None
    if out := node.child("collector"):
        collector_usual = CollectorSettings(Address("127.0.0.1", 4318))
        address, at = out.parsed("url", out.argument("url"), _collector_url) or (Address("127.0.0.1", 1), "/")
        collector = CollectorSettings(
            address,
            at,
            compression=out.text("compression", collector_usual.compression, ("gzip", "zstd", "none")),
            timeout_ms=float(out.number("timeout-ms", collector_usual.timeout_ms, 10, 60_000)),
            batch_bytes=out.whole("batch-bytes", collector_usual.batch_bytes, 4_096, 4 << 20),
            queue_bytes=out.whole("queue-bytes", collector_usual.queue_bytes, 16_384, 64 << 20),
            give_up_ms=float(out.number("give-up-ms", collector_usual.give_up_ms, 0, 3_600_000)),
        )
        out.done()
    if out := node.child("file"):
        file_usual = FileSettings(Path())
        file = FileSettings(
            folder / (out.argument("path") or "traces.jsonl"),
            most_bytes=out.whole("max-bytes", file_usual.most_bytes, 16_384),
            keep=out.whole("keep", file_usual.keep, 0, 1_000),
            queue_bytes=out.whole("queue-bytes", file_usual.queue_bytes, 16_384, 64 << 20),
        )
        out.done()
    if out := node.child("log"):
        lines = float(out.number("lines-per-s", 5.0, 0.01, 10_000))
        out.done()
    if not (collector or file or lines):
        node.complain("no way out is named: add a collector, file or log node, or leave tracing out")
    settings = TracingSettings(node.text("service", "calicohitch"), budget, collector, file, lines)
    node.done()
    return settings


def _grpc(node: kdl.Node, classes: tuple[str, ...]) -> GrpcSettings:
    from ..grpc.routes import Route, clashes
    from ..grpc.settings import GrpcSettings, Speaker

    listen = node.parsed("listen", node.text("listen"), lambda text: Address.parse(text, "the address"))
    routes = []
    for told in node.children("route"):
        service, method = told.argument("service"), told.argument("method", "*")
        name = told.text("class", among=classes)
        dest, dest_key = told.whole("dest", -1, -1), told.text("dest-metadata", "")
        if (dest < 0) == (not dest_key):
            told.complain("it needs either dest=NUMBER or dest-metadata=KEY, and not both")
        routes.append(
            Route(
                service,
                method,
                classes.index(name) if name in classes else 0,
                dest if dest >= 0 else None,
                dest_key.lower(),
                told.text("id-metadata", "req-id").lower(),
                told.text("key-metadata", "idempotency-key").lower(),
                told.text("requests", "one", ("one", "many")) == "many",
            )
        )
        told.done()
    for twice in clashes(tuple(routes)):
        node.complain(f"there are two routes for {twice}; only the last would count")
    if not routes:
        node.complain('no route is named: add one, as in route "pkg.Service" "Method" class="..." dest=7')
    speakers = []
    for told in node.children("endpoints"):
        dest = told.whole("dest", -1, -1)
        speakers.append(
            Speaker(
                told.text("id", ""),
                told.text("flavor", ""),
                dest if dest >= 0 else None,
                told.text("also", "", ("", "http")) == "http",
            )
        )
        if not (speakers[-1].id or speakers[-1].flavor or dest >= 0):
            told.complain("it needs an id, a flavor or a dest: without one every endpoint would be told to speak gRPC")
        told.done()
    if not speakers:
        node.complain('no endpoint speaks gRPC: add one, as in endpoints flavor="..."')
    usual = GrpcSettings(Address("127.0.0.1", 0), ())
    settings = GrpcSettings(
        listen or usual.listen,
        tuple(routes),
        tuple(speakers),
        keep=node.whole("keep-bytes", usual.keep, 0, 64 << 20),
        message=node.whole("message-bytes", usual.message, 1, 64 << 20),
        connections=node.whole("connections", usual.connections, 1, 100_000),
        streams=node.whole("streams", usual.streams, 1, 10_000),
        whole_ms=float(node.number("whole-ms", usual.whole_ms, 10, 600_000)),
        quiet_ms=float(node.number("quiet-ms", usual.quiet_ms, 0, 86_400_000)),
        answer_ms=float(node.number("answer-ms", usual.answer_ms, 100, 600_000)),
    )
    node.done()
    return settings


def _fleet(node: kdl.Node, classes: tuple[str, ...]) -> FleetSettings:
    from ..fleet.settings import CopyMode, FleetSettings

    def address(told: kdl.Node, what: str) -> Address:
        return told.parsed(what, told.argument(what), lambda text: Address.parse(text, "it")) or Address("127.0.0.1", 1)

    usual = FleetSettings("", Address("127.0.0.1", 1), Address("127.0.0.1", 1))
    name = node.argument("the fleet's name")
    store, listen, lease, copies = (node.child(name) for name in ("store", "listen", "lease", "copies"))
    for what, told in (("store", store), ("listen", listen)):
        if told is None:
            node.complain(f'{what} is missing; add it, as in {what} "127.0.0.1:2379"')
    at = address(store, "HOST:PORT") if store else usual.store
    here = address(listen, "HOST:PORT") if listen else usual.listen
    shown = listen.text("advertise", "") if listen else ""
    advertise = listen.parsed("advertise", shown, lambda text: Address.parse(text, "it")) if listen and shown else None
    timeout = float(store.number("timeout-ms", usual.store_timeout_ms, 20, 60_000)) if store else usual.store_timeout_ms
    zone = node.text("zone", "")
    for told in (store, listen):
        if told:
            told.done()
    ttl, renew, pause, grace = usual.ttl_ms, usual.renew_ms, usual.pause_ms, usual.grace_ms
    if lease:
        ttl = float(lease.number("ttl-ms", ttl, 500, 600_000))
        renew = float(lease.number("renew-ms", min(renew, ttl / 3), 50, 600_000))
        pause = float(lease.number("pause-ms", min(pause, ttl / 5), 0, 60_000))
        grace = float(lease.number("grace-ms", grace, 0, 600_000))
        if 2 * renew + pause > ttl * 0.98:
            lease.complain(
                f"two renewals ({renew:g} ms each) and a pause ({pause:g} ms) must fit into the lease of "
                f"{ttl:g} ms, or one late answer ends it: shorten renew-ms or lengthen ttl-ms"
            )
        lease.done()
    settings = FleetSettings(
        name,
        at,
        here,
        advertise,
        zone,
        ttl_ms=ttl,
        renew_ms=renew,
        pause_ms=pause,
        grace_ms=grace,
        store_timeout_ms=timeout,
    )
    count = usual.copies
    if copies:
        count = copies.whole("count", usual.copies, 0, 5)
        settings = replace(
            settings,
            parts=copies.whole("parts", usual.parts, 1, 64),
            copy_timeout_ms=float(copies.number("timeout-ms", usual.copy_timeout_ms, 20, 60_000)),
            beat_ms=float(copies.number("beat-ms", usual.beat_ms, 20, 60_000)),
            hold_bytes=int(copies.number("hold-mb", usual.hold_bytes / 1e6, 0.1, 100_000) * 1e6),
            queue_bytes=int(copies.number("queue-kb", usual.queue_bytes / 1e3, 256, 1e6) * 1e3),
        )
        if 3 * settings.beat_ms > ttl:
            copies.complain(f"three beats ({settings.beat_ms:g} ms each) must fit into the lease of {ttl:g} ms")
        copies.done()
    modes = {cls: CopyMode("first" if count else "none", "refuse" if count else "alone") for cls in classes}
    for told in node.children("class"):
        cls = told.argument("the class", among=classes)
        mode = CopyMode(
            told.text("copy", "first", ("first", "behind", "none")), told.text("without", "refuse", ("refuse", "alone"))
        )
        if mode.when != "none" and not count:
            told.complain('it needs copies and none are kept: set copies count=1 or more, or copy="none"')
        modes[cls] = mode
        told.done()
    over = node.child("stop")
    hand_over = over.text("hand-over", "yes", ("yes", "no")) == "yes" if over else True
    if over:
        over.done()
    node.done()
    return replace(settings, copies=count, hand_over=hand_over, classes=tuple(modes[cls] for cls in classes))


def _clients(node: kdl.Node) -> AdmissionSettings:
    from ipaddress import ip_network

    from ..intake.admission.load import LoadLimits
    from ..intake.admission.settings import AdmissionSettings
    from ..intake.admission.shares import Caps, Trusted

    usual, caps, limits = AdmissionSettings(), Caps(), LoadLimits()
    if told := node.child("sources"):
        trusted = []
        for named in told.children("trust"):
            network = named.parsed("network", named.argument("network"), ip_network)
            each = named.whole("each", 0, 0, 1_000_000)
            if network:
                trusted.append(Trusted(network, each))
            named.done()
        caps = Caps(
            each=told.whole("each", caps.each, 0, 1_000_000),
            new_per_s=float(told.number("new-per-s", caps.new_per_s, 0, 1_000_000)),
            reserve=float(told.number("reserve", caps.reserve, 0, 0.9)),
            v4_bits=told.whole("v4-bits", caps.v4_bits, 1, 32),
            v6_bits=told.whole("v6-bits", caps.v6_bits, 1, 128),
            sources=told.whole("table", caps.sources, 16, 1_000_000),
            trusted=tuple(trusted),
        )
        told.done()
    if told := node.child("load"):
        limits = LoadLimits(
            target_ms=float(told.number("target-ms", limits.target_ms, 1, 10_000)),
            too_late_ms=float(told.number("too-late-ms", limits.too_late_ms, 10, 60_000)),
        )
        told.done()
    settings = AdmissionSettings(
        caps,
        limits,
        backlog=node.whole("backlog", usual.backlog, 1, 65_535),
        told_every_s=float(node.number("told-every-s", usual.told_every_s, 0.1, 3_600)),
    )
    node.done()
    return settings


def _collector_url(text: str) -> tuple[Address, str]:
    """Address and path of an OTLP endpoint. Hosts are numeric: the relay makes no name look-ups."""
    from urllib.parse import urlsplit

    parts = urlsplit(text)
    must = f"must be http://NUMERIC-HOST:PORT/PATH, as in http://127.0.0.1:4318/v1/traces, not {text!r}"
    if parts.scheme != "http" or not parts.hostname or parts.query or parts.fragment:
        raise ValueError(must)
    try:
        address = Address.parse(f"{parts.hostname}:{parts.port or 4318}", "its host")
    except ValueError as err:
        raise ValueError(must) from err
    if parts.hostname.replace(".", "").isalpha():
        raise ValueError(f"{must}; names are not looked up")
    return address, parts.path or "/v1/traces"

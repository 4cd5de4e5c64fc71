"""The frames of benchlink: reading, writing, and errors for invalid frames."""

from __future__ import annotations

import io
import json
import struct
import subprocess
import sys
from typing import Any

import pytest

from calicohitch import interface as i
from calicohitch.benchlink import Link, WireError, _Reply, frames
from calicohitch.config.settings import settings_from

INFO: dict[str, Any] = {
    "services": [{"x": 1, "effect": "safe", "on_time": 2_000_000, "hard_limit": 9_000_000, "importance": 2}],
    "caps": {"open_cap": 40, "send_cap": 6, "unheard_of": True},
    "family_info": {"call_slots": 4, "batch_by_kind": [5, 1], "routes_apart": [False, True]},
    "obligations": {"fall": 3_000_000},
    "tick": 5_000,
}


class Recorder:
    """A fake DecisionEngine that records its events."""

    instances: list[Recorder] = []

    def __init__(self, settings: i.Settings, seed: int) -> None:
        self.settings, self.seed, self.seen = settings, seed, []  # type: ignore[var-annotated]
        self.instances.append(self)

    def handle(self, now: int, events: list[i.Event]) -> list[i.Action]:
        self.seen += [(now, event) for event in events]
        return []


def record(layout: str, *values: Any, size: int = 48) -> bytes:
    return struct.pack(">" + layout, *values).ljust(size, b"\0")


def batch(*records: bytes, tail: bytes = b"", now: int = 77) -> bytes:
    return struct.pack(">QI", now, len(records)) + b"".join(records) + tail


def open_relay(relay: int = 3, seed: int = 9) -> tuple[bytes, bytes]:
    text = json.dumps(INFO).encode()
    return record("BIQII", 16, relay, seed, 0, len(text)), text


def entry(endpoint: int, dest: int) -> bytes:
    return struct.pack(">HBBIfHQ", 1, 1, 0, endpoint, 1.5, dest, 42)


def test_empty_batch() -> None:
    assert Link().answer(batch()) == bytes.fromhex("0000000400000000")


def test_settings_skip_unknown_keys_and_name_the_invalid_field() -> None:
    settings = settings_from(INFO)
    assert settings.kinds == (i.Kind(5, False), i.Kind(1, True))
    assert settings.classes[0].worth == 2.0
    assert settings.rules.fall == 3_000_000
    for bad in (0, -1, "4", None):
        with pytest.raises(ValueError, match="slots"):
            settings_from(INFO | {"family_info": {"call_slots": bad}})


def test_the_abilities_and_reports_of_a_relay_reach_the_settings() -> None:
    caps = INFO["caps"] | {"may_probe": True, "peer_messages": True, "conn_idle": 9, "streams_per_conn": 8}
    settings = settings_from(
        INFO
        | {
            "caps": caps,
            "self_index": 7,
            "client_habits": {"marks_retry": True},
            "load_report": {"names": ["x0", "x1"], "via": "answers"},
            "family_info": INFO["family_info"] | {"report_x0": "share left"},
            "prices": {"probe": 0.1, "peer": 0.2, "late_fail": 0.3},
        }
    )
    assert (settings.number, settings.may_probe, settings.may_tell, settings.retries_marked) == (7, True, True, True)
    assert (settings.idle_time, settings.streams, settings.reports_in_answers) == (9, 8, True)
    assert settings.reports == (i.Report("x0", "share left"), i.Report("x1"))
    assert (settings.prices.probe, settings.prices.peer, settings.prices.late_fail) == (0.1, 0.2, 0.3)


def test_settings_of_the_wrong_shape_are_wire_errors() -> None:
    text = json.dumps(INFO | {"caps": [1]}).encode()
    with pytest.raises(WireError, match="settings"):
        Link().answer(batch(record("BIQII", 16, 3, 9, 0, len(text)), tail=text))


def test_reports_probe_results_and_notes_reach_the_engine() -> None:
    Recorder.instances.clear()
    link = Link(Recorder)  # type: ignore[arg-type]
    head, text = open_relay()
    link.answer(
        batch(
            head,
            record("BIIHIBIBIBff", 20, 3, 100, 0, 5, 0, 900, 1, 0, 2, 0.5, 8.0),
            record("BIBIIBff", 23, 3, 0, 5, 700, 2, 0.25, 4.0),
            record("BIHII", 24, 3, 2, len(text), 4),
            tail=text + b"hi 7",
        )
    )
    assert [event for _, event in Recorder.instances[0].seen] == [
        i.Settled(100, 0, 5, i.Outcome.OK, 900, True, report=(0.5, 8.0)),
        i.Probed(5, i.Outcome.OK, 700, (0.25, 4.0)),
        i.PeerSaid(2, b"hi 7"),
    ]


@pytest.mark.parametrize("data", [b"", b"\0", b"not a note of this version", bytes(256)])
def test_an_invalid_note_changes_nothing(data: bytes) -> None:
    link = Link()
    head, text = open_relay()
    link.answer(batch(head, tail=text))
    assert link.answer(batch(record("BIHII", 24, 3, 2, 0, len(data)), tail=data)) == link.answer(batch())


def test_events_are_read_in_order_with_their_catalog_numbers() -> None:
    Recorder.instances.clear()
    link = Link(Recorder)  # type: ignore[arg-type]
    head, text = open_relay()
    entries = entry(5, 57) + entry(6, 58)
    offset = len(text)
    link.answer(
        batch(
            head,
            record("BHII", 26, 0, offset, 1),
            record("BIBIH", 17, 3, 2, 41, 0),
            record("BHII", 26, 0, offset + 22, 1),
            record("BIBIH", 17, 3, 0, 42, 0),
            record("BIIHIQIIfB", 18, 3, 100, 0, 7, 8, 240_000, 12_000, 57.0, 19),
            record("BIIHIBIBI", 20, 3, 100, 0, 5, 8, 900, 0, 340),
            record("BIQ", 22, 3, 0x4D),
            record("BII", 21, 3, 100),
            tail=text + entries,
        )
    )
    seen = [event for _, event in Recorder.instances[0].seen]
    assert seen == [
        i.ListTold(i.ListKind.CACHED, 41, (i.Listed(5, 57, i.Phase.READY, 0, 1, 1.5, 42),)),
        i.ListTold(i.ListKind.DELTA, 42, (i.Listed(6, 58, i.Phase.READY, 0, 1, 1.5, 42),)),
        i.Arrived(100, 0, 57, 240_000, 7, 8, 12_000, True, True),
        i.Settled(100, 0, 5, i.Outcome.FULL, 900, False, 340_000),
        i.Rang(0x4D),
        i.Withdrawn(100),
    ]


def test_a_restart_under_the_same_number_discards_the_earlier_engine() -> None:
    Recorder.instances.clear()
    link = Link(Recorder)  # type: ignore[arg-type]
    head, text = open_relay()
    link.answer(batch(head, tail=text))
    reopened, text = open_relay(seed=10)
    link.answer(batch(record("BIQ", 22, 3, 1), record("BI", 25, 3), reopened, record("BIQ", 22, 3, 2), tail=text))
    assert [engine.seed for engine in Recorder.instances] == [9, 10]
    assert [event for _, event in Recorder.instances[1].seen] == [i.Rang(2)]
    assert not Recorder.instances[0].seen


def test_actions_are_written_in_the_frame_format() -> None:
    reply = _Reply()
    reply.add(3, i.Send(0x5D3A91C4, 0x03124A07, 80_000))
    reply.add(3, i.SetTimer(500_000, 0x4D))
    reply.add(5, i.Log("two servers unknown"))
    assert reply.frame().hex() == (
        "0000005f00000003"
        "10000000035d3a91c403124a070001388000000000000000"
        "14000000030007a120000000000000004d00000000000000"
        "180000000500000000000000130000000000000000000000"
        "74776f207365727665727320756e6b6e6f776e"
    )


def test_an_exception_of_the_engine_is_reported_as_broken() -> None:
    class Failing(Recorder):
        def handle(self, now: int, events: list[i.Event]) -> list[i.Action]:
            raise IndexError("index out of range")

    head, text = open_relay()
    reply = Link(Failing).answer(batch(head, tail=text))  # type: ignore[arg-type]
    assert reply[8] == 25
    assert reply.endswith(b"IndexError: index out of range")


@pytest.mark.parametrize(
    "frame",
    [
        b"\0\0",
        batch()[:-1] + b"\x02",
        batch(record("BI", 99, 3)),
        batch(record("BIQ", 22, 3, 1)),
        batch(open_relay()[0]),
    ],
)
def test_invalid_frames_are_wire_errors(frame: bytes) -> None:
    with pytest.raises(WireError):
        Link().answer(frame)


def test_truncated_input_is_a_wire_error() -> None:
    with pytest.raises(WireError):
        list(frames(io.BytesIO(b"\0\0\0\x0cabc")))


def test_the_process_ends_with_one_error_line_and_exit_code_2() -> None:
    process = subprocess.run(
        [sys.executable, "-m", "calicohitch.benchlink"],
        input=b"\0\0\0\x09abc",
        capture_output=True,
        timeout=60,
        check=False,
    )
    assert process.returncode == 2
    assert process.stderr.count(b"\n") == 1
    assert not process.stdout

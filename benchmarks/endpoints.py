"""What sixteen times the endpoints cost: `python benchmarks/endpoints.py [ENDPOINTS] [TIMES]`.

Plays the same work with so many endpoints and with TIMES as many, over as many destinations in proportion: the whole
list read and told, one line of it changed, the list asked for again unchanged, and what is known stored. CPU in
milliseconds, the least of several runs. Runs of two versions are to be paired.
"""

from __future__ import annotations

import json
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).parents[1]))
sys.path.insert(0, str(Path(__file__).parents[1] / "tests"))

from loguru import logger  # noqa: E402
from world import SETTINGS  # noqa: E402

from calicohitch.config import parse  # noqa: E402
from calicohitch.net.discovery import Directory  # noqa: E402
from calicohitch.recovery.cached_state import MOST_MEMBERS  # noqa: E402
from calicohitch.recovery.state_cache import StateCache  # noqa: E402
from calicohitch.decisions import DecisionEngine  # noqa: E402

RUNS = 7
A_DESTINATION = 10  # endpoints


def least_ms(act: Callable[[], Any], runs: int = RUNS) -> float:
    """The CPU that an act takes at least."""
    spans = []
    for _ in range(runs):
        before = time.process_time()
        act()
        spans.append(time.process_time() - before)
    return min(spans) * 1e3


class Work:
    """One relay's knowledge of so many endpoints."""

    def __init__(self, endpoints: int, folder: Path) -> None:
        config = parse(
            {
                "name": "n0",
                "listen": "127.0.0.1:1",
                "discovery": "127.0.0.1:2",
                "state": str(folder),
                "settings": SETTINGS,
            }
        )
        self.members = [
            {
                "id": f"s-{n:08x}",
                "host_port": f"127.0.{n // 250}.{n % 250}:8080",
                "locality": "west",
                "flavor": "pubs",
                "cell": n // A_DESTINATION,
                "phase": "Ready",
                "size": 2.0,
                "up_since_ms": 0,
            }
            for n in range(endpoints)
        ]
        self.names, self.settings, self.revision = config.names, config.settings, 1
        self.memory = StateCache(folder, 1, config.names.classes)
        self.anew()
        self.whole()

    def anew(self) -> None:
        self.directory, self.engine = Directory(self.names), DecisionEngine(self.settings, 1)

    def told(self, complete: bool, members: list[dict[str, Any]]) -> None:
        self.revision += 1
        text = json.dumps({"revision": self.revision, "complete": complete, "members": members})
        update = self.directory.read(json.loads(text))
        self.engine.handle(self.revision * 1_000, [update.event()])

    def first(self) -> None:
        self.anew()
        self.whole()

    def whole(self) -> None:
        self.told(True, self.members)

    def one_line(self) -> None:
        changed = self.members[self.revision % len(self.members)]
        changed["size"] = 1.0 + self.revision % 3
        self.told(False, [changed])

    def keep(self) -> None:
        members = self.directory.storable_members if len(self.members) <= MOST_MEMBERS else list
        self.memory.save(1e12 + self.revision, self.engine.known(), lambda _number: "", "d", self.revision, members)

    def measured(self) -> dict[str, float]:
        return {
            "the first whole list": least_ms(self.first),
            "the whole list again": least_ms(self.whole),
            "one line changed": least_ms(self.one_line, 40),
            "what is known stored": least_ms(self.keep),
        }


def main() -> None:
    logger.remove()
    endpoints, times = int((sys.argv[1:] or ["200"])[0]), int((sys.argv[2:] or ["16"])[0])
    with tempfile.TemporaryDirectory() as folder:
        one = Work(endpoints, Path(folder)).measured()
        many = Work(endpoints * times, Path(folder)).measured()
    print(f"{'CPU, ms':<24}{endpoints:>10}{endpoints * times:>10}")
    for name, cost in one.items():
        print(f"{name:<24}{cost:>10.3f}{many[name]:>10.3f}")


if __name__ == "__main__":
    main()

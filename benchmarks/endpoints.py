"""CPU cost by the number of endpoints: `python benchmarks/endpoints.py [ENDPOINTS] [TIMES]`.

Runs the same operations with ENDPOINTS (default 200) and with TIMES (default 16) as many, with 10 endpoints to each
destination in both: the first complete endpoint list, the same list again, an update of one endpoint, storing the
cached state and the whole list, and an update of one endpoint that is stored. Prints CPU milliseconds, the minimum of
several runs. To compare two versions, run them in pairs.
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
from calicohitch.recovery.state_cache import StateCache  # noqa: E402
from calicohitch.decisions import DecisionEngine  # noqa: E402

RUNS = 7
ENDPOINTS_PER_DESTINATION = 10


def least_ms(operation: Callable[[], Any], runs: int = RUNS) -> float:
    """Minimum CPU milliseconds of the operation over the runs."""
    cpu_s = []
    for _ in range(runs):
        before = time.process_time()
        operation()
        cpu_s.append(time.process_time() - before)
    return min(cpu_s) * 1e3


class Workload:
    """The operations on one relay's directory and decision engine with this number of endpoints."""

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
                "cell": n // ENDPOINTS_PER_DESTINATION,
                "phase": "Ready",
                "size": 2.0,
                "up_since_ms": 0,
            }
            for n in range(endpoints)
        ]
        self.names, self.settings, self.revision = config.names, config.settings, 1
        self.state_cache = StateCache(folder, 1, config.names.classes)
        self.reset()
        self.complete_list()

    def reset(self) -> None:
        self.directory, self.engine = Directory(self.names), DecisionEngine(self.settings, 1)

    def update(self, complete: bool, members: list[dict[str, Any]]) -> None:
        self.revision += 1
        text = json.dumps({"revision": self.revision, "complete": complete, "members": members})
        discovery_update = self.directory.read(json.loads(text))
        self.engine.handle(self.revision * 1_000, [discovery_update.event()])

    def first_list(self) -> None:
        self.reset()
        self.complete_list()

    def complete_list(self) -> None:
        self.update(True, self.members)

    def change_one(self) -> None:
        changed = self.members[self.revision % len(self.members)]
        changed["size"] = 1.0 + self.revision % 3
        self.update(False, [changed])

    def store(self) -> None:
        self.state_cache.save(1e12 + self.revision, self.engine.known(), lambda _number: "")

    def change_and_store_one(self) -> None:
        self.change_one()
        self.store_list(False)

    def store_list(self, moved: bool = True) -> None:
        changes = self.directory.take_changes()
        self.state_cache.save_list(
            1e12 + self.revision, "d", self.revision, changes, self.directory.storable_members, moved
        )

    def measure(self) -> dict[str, float]:
        return {
            "first complete list": least_ms(self.first_list),
            "complete list again": least_ms(self.complete_list),
            "one endpoint changed": least_ms(self.change_one, 40),
            "cached state stored": least_ms(self.store),
            "whole list stored": least_ms(self.store_list),
            "one changed and stored": least_ms(self.change_and_store_one, 40),
        }


def main() -> None:
    logger.remove()
    endpoints, times = int((sys.argv[1:] or ["200"])[0]), int((sys.argv[2:] or ["16"])[0])
    with tempfile.TemporaryDirectory() as folder:
        base = Workload(endpoints, Path(folder)).measure()
        many = Workload(endpoints * times, Path(folder)).measure()
    print(f"{'CPU, ms':<24}{endpoints:>10}{endpoints * times:>10}")
    for name, cost in base.items():
        print(f"{name:<24}{cost:>10.3f}{many[name]:>10.3f}")


if __name__ == "__main__":
    main()

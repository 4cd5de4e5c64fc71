"""Play scenarios of the rig by hand: `python tests/fleet/play.py SCENARIO... [--seeds A-B] [--mutant NAME] [--story
FILE]`."""

from __future__ import annotations

import argparse
import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parents[1]))

from fleet.mutants import MUTANTS  # noqa: E402
from fleet.scenarios import SCENARIOS  # noqa: E402


def main() -> int:
    wanted = argparse.ArgumentParser(description=__doc__)
    wanted.add_argument("scenario", nargs="*", choices=[[], *SCENARIOS], default=[])
    wanted.add_argument("--seeds", default="1-1", help="first and last, as in 1-200")
    wanted.add_argument("--mutant", choices=list(MUTANTS))
    wanted.add_argument("--story", type=Path, help="where the last run's events go, a JSON line each")
    told = wanted.parse_args()
    first, _, last = told.seeds.partition("-")
    code = f"from fleet.mutants import plant; plant({told.mutant!r})" if told.mutant else ""
    bad = 0
    for seed in range(int(first), int(last or first) + 1):
        for name in told.scenario or SCENARIOS:
            report = asyncio.run(SCENARIOS[name](seed, code))
            bad += bool(report.findings)
            print(f"{name} {report.text()} on time {report.on_time}, refused above limits {report.above}", flush=True)
            if told.story:
                report.story.save(told.story)
    print(f"{bad} runs with findings")
    return 1 if bad else 0


if __name__ == "__main__":
    sys.exit(main())

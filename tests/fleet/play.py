"""Play scenarios of the rig by hand: `python tests/fleet/play.py SCENARIO... [--seeds A-B] [--workers N] [--in-turn]
[--mutant NAME] [--story FILE]`."""

from __future__ import annotations

import argparse
import itertools
import sys
import time
from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from multiprocessing import get_context
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parents[1]))

from fleet.mutants import MUTANTS  # noqa: E402
from fleet.scenarios import SCENARIOS  # noqa: E402
from fleet.side_by_side import ALL, Play, played  # noqa: E402
from fleet.takeover_scenarios import TAKEOVERS  # noqa: E402


def play(name: str, seed: int, mutant: str, story: Path | None) -> tuple[str, str, bool]:
    """One run: its scenario, what is to be said of it, and whether anything was found."""
    try:
        report = played(Play(name, seed, mutant))
    except Exception as err:  # the rig's own expectations; the other runs go on
        return name, f"{name} seed {seed}: {type(err).__name__}: {err}", True
    if story:
        report.story.save(story)
    peaks = "".join(f", peak {max(event.mb.values())} MB" for event in report.story.of("peaks"))
    return (
        name,
        f"{name} {report.text()} on time {report.on_time}, refused above limits {report.above}{peaks}",
        bool(report.findings),
    )


def main() -> int:
    wanted = argparse.ArgumentParser(description=__doc__)
    wanted.add_argument("scenario", nargs="*", choices=[[], *ALL], default=[])
    wanted.add_argument("--seeds", default="1-1", help="first and last, as in 1-200")
    wanted.add_argument("--workers", type=int, default=1, help="runs side by side; each has up to 24 processes")
    wanted.add_argument("--in-turn", action="store_true", help="one scenario for each seed, all of them in turn")
    wanted.add_argument("--takeovers", action="store_true", help="all scenarios of work taken over, not the others")
    wanted.add_argument("--mutant", choices=list(MUTANTS), default="")
    wanted.add_argument("--story", type=Path, help="where the last run's events go, a JSON line each")
    told = wanted.parse_args()
    first, _, last = told.seeds.partition("-")
    names = told.scenario or list(TAKEOVERS if told.takeovers else SCENARIOS)
    seeds = range(int(first), int(last or first) + 1)
    runs = (
        [(names[n % len(names)], seed) for n, seed in enumerate(seeds)]
        if told.in_turn
        else [(name, seed) for seed in seeds for name in names]
    )
    began, bad, played = time.monotonic(), Counter[str](), Counter[str]()
    with ProcessPoolExecutor(told.workers, get_context("spawn")) as pool:
        for name, text, found in pool.map(
            play, *zip(*runs, strict=True), itertools.repeat(told.mutant), itertools.repeat(told.story)
        ):
            played[name] += 1
            bad[name] += found
            print(text, flush=True)
    for name in played:
        print(f"{name}: {played[name]} runs, {bad[name]} with findings")
    print(f"{bad.total()} of {played.total()} runs with findings, in {time.monotonic() - began:.0f} s")
    return 1 if bad.total() else 0


if __name__ == "__main__":
    sys.exit(main())

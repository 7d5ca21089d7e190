#!/usr/bin/env python3
"""Plays the days of a deployment with each mechanism of the scheduler off.

usage: scripts/ablation.py BENCH SCRATCH SITE [DAY...]

BENCH is the users' bench, SITE a site file, SCRATCH a folder for a clone of
this repository; the clone's journal keeps the plays. Without days, those of
the site file are played. Prints a row for each switch under `scheduling` in
the settings: mean worth of the days, of the best-effort and of the
latency-sensitive class, and seconds that latency-sensitive tasks were over
their target. Processor time is not charged, so that a play repeats.
"""

import pathlib
import re
import statistics
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor

# Plays at a time; each keeps one core busy.
JOBS = 3
ROOT = pathlib.Path(__file__).resolve().parent.parent
TEMPLATE = "deploy/settings.yaml.template"
POLICY = "include/banyan/settings/scheduling_policy.h"


def play(bench, clone, site, day, switch):
    """Returns worth, worth by class and seconds over target of one day."""
    why = f"Ablation: {switch} off" if switch else "Ablation: all on"
    text = subprocess.run(
        [bench, "run", site, day, "--no-cpu", "--jobs", "1", "--why", why],
        cwd=clone, capture_output=True, text=True, check=False).stdout
    total = re.search(rf"^{re.escape(day)}\s+\S+\s+\S+\s+(-?[\d.]+)", text, re.M)
    if total is None:
        sys.exit(f"{day} was not played:\n{text[-1000:]}")
    classes = re.findall(r"^([a-z-]+) +(?:\d+ +){6}([\d.]+) ", text, re.M)
    over = re.search(r"for (\d+) s in all", text)
    return (float(total[1]), [float(worth) for _, worth in classes[:3]],
            int(over[1]) if over else 0)


def main():
    if len(sys.argv) < 4:
        sys.exit(__doc__)
    bench, scratch, site = sys.argv[1:4]
    clone = pathlib.Path(scratch) / "ablation"
    if not clone.exists():
        subprocess.run(["git", "clone", "-q", ROOT, clone], check=True)
    days = sys.argv[4:] or re.findall(
        r'\[\[day\]\]\s*name = "([^"]+)"', pathlib.Path(site).read_text())
    switches = re.findall(r"bool (\w+) = true;", (clone / POLICY).read_text())
    template = (clone / TEMPLATE).read_text()
    print("off | worth | classes | over target, s")
    for switch in ["", *switches]:
        setting = f"scheduling: {{ {switch}: off }}\n" if switch else ""
        (clone / TEMPLATE).write_text(template + setting)
        with ThreadPoolExecutor(JOBS) as pool:
            plays = list(pool.map(
                lambda day: play(bench, clone, site, day, switch), days))
        (clone / TEMPLATE).write_text(template)
        worth = statistics.mean(item[0] for item in plays)
        classes = [statistics.mean(item[1][k] for item in plays)
                   for k in range(3)]
        print(f"{switch or 'none'} | {worth:.3f} | "
              + " ".join(f"{value:.3f}" for value in classes)
              + f" | {sum(item[2] for item in plays)}", flush=True)


if __name__ == "__main__":
    main()

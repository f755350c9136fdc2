#!/usr/bin/env python3
"""Prints what share of the worth was served in each third of a day, beside what the gate wants of it.

usage: thirds.py REPORT.json ...     (reports that the bench wrote with --json)

A report holds the worth by windows of 5 s; a window that lies in two thirds counts in each by its part. The gate wants a fifth of
what the late-seeing policy serves in the same third. A report tells that policy's share of the whole day only, so that
is what stands here: the true floor of a third may be lower or higher. Exit status 1: a third lies below that.
"""

import json
import sys

WINDOW_SECONDS = 5.0
THIRDS = 3
FLOOR_PART = 0.2


def thirds(windows, end):
    """The shares of the worth offered that were served, by thirds of the time up to end."""
    offered = [0.0] * THIRDS
    served = [0.0] * THIRDS
    for window in windows:
        start = window["from_s"]
        stop = min(start + WINDOW_SECONDS, end)
        for third in range(THIRDS):
            low = max(start, end * third / THIRDS)
            high = min(stop, end * (third + 1) / THIRDS)
            part = max(high - low, 0.0) / max(stop - start, 1e-9)
            offered[third] += part * window["worth_offered"]
            served[third] += part * window["worth_served"]
    return [s / o if o > 0 else 1.0 for s, o in zip(served, offered)]


def main(paths):
    if not paths:
        sys.exit(__doc__)
    failed = False
    for path in paths:
        with open(path) as file:
            report = json.load(file)
        row, windows = report["row"], report["windows"]
        last = windows[-1]
        # The last window may be cut short: its length follows from its requests, as if they came as before.
        before = windows[-2]["offered"] if len(windows) > 1 else last["offered"]
        end = last["from_s"] + WINDOW_SECONDS * min(1.0, last["offered"] / max(before, 1))
        floor = FLOOR_PART * row["served_late"]
        shares = thirds(windows, end)
        failed = failed or min(shares) < floor
        parts = [f"{w['worth_served'] / max(w['worth_offered'], 1e-9):.2f}" for w in windows]
        broken = {rule: count for rule, count in row["rules"].items() if count}
        print(f"{row['name']} seed {row['seed']} nodes {row['nodes']}: "
              f"thirds {' '.join(f'{share:.2f}' for share in shares)} (floor {floor:.2f}); "
              f"5 s {' '.join(parts)}; "
              f"served {row['served']:.3f} (gate {row['served_least']:.3f}), G {row['G']:.3f}, score {row['score']:.2f}, "
              f"broken rules {broken or 'none'}")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main(sys.argv[1:])

#!/usr/bin/env python3
"""Prints what a day of the users' bench has lost, as a row of a Markdown table for each report.

Usage: scripts/losses.py REPORT...

A report is the file that a play writes with its option for reports. The rows name the days by the names of the files. A part of
the worth loses its weight times what it lacks to 1; prices below MIN_SHARE of the worth are left out.
"""

import json
import pathlib
import sys

MIN_SHARE = 0.01


def lost_parts(report):
    """Returns the parts of the worth with what each lacks, largest first."""
    lost = [(name, weight * (1 - value)) for name, weight, value in report["parts"]]
    return sorted(lost, key=lambda entry: -entry[1])


def dear_prices(report):
    """Returns the prices that are worth a look, dearest first."""
    prices = [(name, share) for name, _, share in report["prices"] if share >= MIN_SHARE]
    return sorted(prices, key=lambda entry: -entry[1])


def classes(report):
    """Returns the share of each class that was late, refused or failed."""
    rows = []
    for entry in report["classes"]:
        owed = max(1, entry["n"] - entry["not_owed"])
        shares = [f"{entry[field] / owed:.3f}" for field in ("late", "refused", "failed")]
        rows.append(f"{entry['name']} {' / '.join(shares)}")
    return rows


def worst_seconds(report, count=3):
    """Returns the worst windows of the day."""
    worst = sorted(report["windows"], key=lambda window: window["worth"])[:count]
    return [f"{window['name']} s {window['worth']:.2f}" for window in worst]


def row(path):
    """Returns the table's row for one report."""
    report = json.loads(path.read_text())
    cells = [
        path.stem,
        f"{report['G']:.3f}",
        f"{report['served']:.3f}",
        ", ".join(f"{name} {share:.3f}" for name, share in lost_parts(report)),
        ", ".join(f"{name} {share:.3f}" for name, share in dear_prices(report)),
        ", ".join(classes(report)),
        ", ".join(worst_seconds(report)),
    ]
    return "| " + " | ".join(cells) + " |"


def main():
    paths = [pathlib.Path(name) for name in sys.argv[1:]]
    if not paths:
        sys.exit(__doc__)
    print("| day | worth | served | lost by part | prices | late / refused / failed by class | worst seconds |")
    print("| --- | --- | --- | --- | --- | --- | --- |")
    for path in paths:
        print(row(path))


if __name__ == "__main__":
    main()

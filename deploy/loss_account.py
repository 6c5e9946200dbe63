#!/usr/bin/env python3
"""Prints where the worth of a day went, from a report of the bench (`fleetbench run SITE DAY --report FILE`).

    deploy/loss_account.py REPORT...
    deploy/loss_account.py --table REPORT...    the first table alone, as Markdown, with a column for each report

The first table adds up to 1 - worth: what each part of the goal lacks, times its weight, and each price. The others
tell which requests these are: by seconds, kind, zone of the client, and by how the attempts that were not served ended.
"""

import json
import pathlib
import sys

# A line whose part of the loss is smaller than this is left out; the sum of these is told.
LEAST_SHOWN = 0.0005


def loss_rows(report):
    """What each part of the goal and each price takes from a worth of 1."""
    parts = [(f"{name} ({weight:g} of the goal)", weight * (1 - value)) for name, weight, value in report["parts"]]
    prices = [(f"price: {amount:g} {name}", cost) for name, amount, cost in report["prices"]]
    return sorted(parts + prices, key=lambda row: -row[1])


def print_losses(report):
    """The account of the whole."""
    rows = loss_rows(report)
    shown = [row for row in rows if row[1] >= LEAST_SHOWN]
    rest = sum(cost for _, cost in rows) - sum(cost for _, cost in shown)
    print(f"worth {report['G']:.4f}; what is missing:")
    for name, cost in shown:
        print(f"  {cost:7.4f}  {name}")
    print(f"  {rest:7.4f}  smaller prices")
    print(f"  {sum(cost for _, cost in rows):7.4f}  in all; 1 - worth is {1 - report['G']:.4f}")


def print_groups(title, groups):
    """Requests by group: the worst first."""
    print(f"\n{title:<22}{'requests':>9}{'in aim':>8}{'late':>6}{'refused':>9}{'failed':>8}{'worth':>8}{'missing':>9}")
    for group in sorted(groups, key=lambda group: -group["n"] * (1 - group["worth"])):
        missing = group["n"] * (1 - group["worth"])
        counts = f"{group['n']:>9}{group['in_aim']:>8}{group['late']:>6}{group['refused']:>9}{group['failed']:>8}"
        print(f"{group['name']:<22}{counts}{group['worth']:>8.3f}{missing:>9.1f}")


def print_ends(report):
    """How attempts of clients ended that were not served, with the first trace of each."""
    print("\nattempts that were not served, by their end, with one trace of each:")
    for name, count, trace in report["unserved_by"]:
        print(f"  {count:>5}  {name}")
        for line in trace:
            print(f"           {line}")


def print_account(path):
    report = json.loads(path.read_text())
    print(f"== {path.name}")
    print_losses(report)
    print_groups("from second", sorted(report["windows"], key=lambda window: window["worth"])[:4])
    print_groups("kind", report["classes"])
    print_groups("zone of the client", report["zones"])
    print_ends(report)
    print("\ndisruptions:")
    for event in report["events"]:
        print(f"  {event['at_s']:>7.2f} to {event['to_s']:>6.2f} s  {event['kind']} {event['what']}")


def short(name):
    """A row's name without the amount, which differs from day to day."""
    return name if not name.startswith("price: ") else "price: " + name.split(" ", 2)[2]


def print_table(paths):
    """What is missing of the worth, in thousandths: a row for each part and price, a column for each report."""
    reports = [json.loads(path.read_text()) for path in paths]
    columns = [{short(name): cost for name, cost in loss_rows(report)} for report in reports]
    names = dict.fromkeys(name for column in columns for name in column)
    rows = [(name, [column.get(name, 0.0) for column in columns]) for name in names]
    shown = sorted((row for row in rows if max(row[1]) >= LEAST_SHOWN), key=lambda row: -sum(row[1]))
    print("| missing, thousandths | " + " | ".join(path.stem for path in paths) + " |")
    print("| --- |" + " --- |" * len(paths))
    for name, costs in shown:
        print(f"| {name} | " + " | ".join(f"{1000 * cost:.1f}" for cost in costs) + " |")
    rest = [sum(row[1][index] for row in rows) - sum(row[1][index] for row in shown) for index in range(len(paths))]
    print("| smaller prices | " + " | ".join(f"{1000 * cost:.1f}" for cost in rest) + " |")
    print("| in all | " + " | ".join(f"{1000 * (1 - report['G']):.1f}" for report in reports) + " |")


def main():
    arguments = sys.argv[1:]
    if not arguments or arguments[0] in ("-h", "--help") or arguments == ["--table"]:
        sys.exit(__doc__)
    if arguments[0] == "--table":
        print_table([pathlib.Path(path) for path in arguments[1:]])
        return
    for path in arguments:
        print_account(pathlib.Path(path))


if __name__ == "__main__":
    main()

#!/usr/bin/env python3
"""Writes variants of a site file: the core machines elsewhere, or other losses to bear.

    deploy/variants.py SITE OUT [NAME...]

For each variant a folder OUT/NAME is made. It holds the site file with its `class = "core"` machines and its
`[tolerate]` section edited, and a copy of all that lies beside the site file.
"""

import argparse
import pathlib
import re
import shutil
from dataclasses import dataclass

CORE_MACHINE = r'\{ class = "core",[^{}]*(?:\{[^{}]*\}[^{}]*)?\}'
CORE_MACHINES = re.compile(rf"{CORE_MACHINE}(?:,\s*{CORE_MACHINE})*")
ZONE = re.compile(r'\{ name = "([^"]+)", region = "[^"]+" \}')
TOLERATED_MACHINES = re.compile(r"(?m)^(\[tolerate\]\n(?:(?!\[).*\n)*?machines = )\d+$")


ONE_A_ZONE = "one a zone"
SITES_OWN = "as in the site file"

# How many core machines each zone has, in the order of the site file.
LAYOUTS: dict[str, tuple[int, ...] | str] = {
    "": SITES_OWN,
    "two-zones": (3, 2),
    "one-zone": (5,),
    "two-machines": (1, 1),
    "four-machines": (2, 1, 1),
    "seven-machines": (3, 2, 2),
    "nine-machines": (3, 3, 3),
    "one-each": ONE_A_ZONE,
}

# How many machines may be lost at once; none: as many as in the site file.
LOSSES: dict[str, int | None] = {"": None, "one-loss": 1, "two-losses": 2, "three-losses": 3}


@dataclass(frozen=True)
class Variant:
    """Where the core machines stand, and how many of them may be lost."""

    core: tuple[int, ...] | str
    tolerated_machines: int | None


def all_variants() -> dict[str, Variant]:
    """Each layout with each number of losses, by its name: `two-zones`, `two-zones-two-losses`, `two-losses`."""
    variants = {}
    for layout, core in LAYOUTS.items():
        for losses, machines in LOSSES.items():
            name = "-".join(part for part in (layout, losses) if part)
            variants[name] = Variant(core, machines)
    del variants[""]
    return variants


VARIANTS = all_variants()


def with_core(text: str, counts: tuple[int, ...] | str) -> str:
    """Moves the core machines: each zone gets its count, the other fields are those of the first core machine."""
    zones = ZONE.findall(text)
    if counts == ONE_A_ZONE:
        counts = (1,) * len(zones)

    def moved(found: re.Match[str]) -> str:
        first = re.match(CORE_MACHINE, found.group()).group()
        machines = []
        for zone, count in zip(zones, counts):
            machine = re.sub(r'zone = "[^"]*"', f'zone = "{zone}"', first)
            machines.append(re.sub(r"\bcount = \d+", f"count = {count}", machine))
        return ",\n  ".join(machines)

    edited, edits = CORE_MACHINES.subn(moved, text)
    if edits == 0 or len(zones) < len(counts):
        raise SystemExit("the site file has no core machines, or too few zones")
    return edited


def with_tolerated_machines(text: str, machines: int) -> str:
    edited, edits = TOLERATED_MACHINES.subn(rf"\g<1>{machines}", text)
    if edits != 1:
        raise SystemExit("the site file has no [tolerate] section with machines")
    return edited


def write_variant(site: pathlib.Path, folder: pathlib.Path, variant: Variant) -> None:
    shutil.copytree(site.parent, folder, dirs_exist_ok=True)
    text = site.read_text()
    if variant.core != SITES_OWN:
        text = with_core(text, variant.core)
    if variant.tolerated_machines is not None:
        text = with_tolerated_machines(text, variant.tolerated_machines)
    copy = folder / site.name
    copy.chmod(0o644)
    copy.write_text(text)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("site", type=pathlib.Path)
    parser.add_argument("out", type=pathlib.Path)
    parser.add_argument("names", nargs="*", default=list(VARIANTS), help=", ".join(VARIANTS))
    arguments = parser.parse_args()
    for name in arguments.names:
        folder = arguments.out / name
        write_variant(arguments.site, folder, VARIANTS[name])
        print(folder / arguments.site.name)


if __name__ == "__main__":
    main()

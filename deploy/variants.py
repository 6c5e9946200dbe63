#!/usr/bin/env python3
"""Writes variants of a site file: the core machines elsewhere, other losses to bear, another load or other distances.

    deploy/variants.py SITE OUT [NAME...]

For each variant a folder OUT/NAME is made. It holds the site file with its `class = "core"` machines and its
`[tolerate]` section edited, or its engines, distances or homes, and a copy of all that lies beside the site file.
"""

import argparse
import pathlib
import re
import shutil
from dataclasses import dataclass

CORE_MACHINE = r'\{ class = "core",[^{}]*(?:\{[^{}]*\}[^{}]*)?\}'
CORE_MACHINES = re.compile(rf"{CORE_MACHINE}(?:,\s*{CORE_MACHINE})*")
ZONE = re.compile(r'\{ name = "([^"]+)", region = "[^"]+" \}')
ZONE_AND_REGION = re.compile(r'\{ name = "([^"]+)", region = "([^"]+)" \}')
TOLERATED_MACHINES = re.compile(r"(?m)^(\[tolerate\]\n(?:(?!\[).*\n)*?machines = )\d+$")


ONE_A_ZONE = "one a zone"
ONE_REGION = "one region"
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
    "one-region": ONE_REGION,
}

# So much slower, or further apart.
SLOWER_ENGINES = 1.5
FURTHER_REGIONS = 3.0

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
    if counts == ONE_REGION:
        zones, counts = zones_of_first_region(text)
    elif counts == ONE_A_ZONE:
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


def zones_of_first_region(text: str) -> tuple[list[str], tuple[int, ...]]:
    """Its zones, and how many of the site's core machines each of them gets."""
    places = ZONE_AND_REGION.findall(text)
    zones = [zone for zone, region in places if region == places[0][1]]
    machines = re.findall(CORE_MACHINE, CORE_MACHINES.search(text).group())
    total = sum(int(re.search(r"\bcount = (\d+)", machine).group(1)) for machine in machines)
    return zones, tuple(len(range(number, total, len(zones))) for number in range(len(zones)))


def with_tolerated_machines(text: str, machines: int) -> str:
    edited, edits = TOLERATED_MACHINES.subn(rf"\g<1>{machines}", text)
    if edits != 1:
        raise SystemExit("the site file has no [tolerate] section with machines")
    return edited


def scaled(text: str, key: str, factor: float) -> str:
    """The same with each value of a key so many times as large."""
    pattern = re.compile(rf"(\b{key} = )([\d.]+)")
    edited, edits = pattern.subn(lambda found: f"{found[1]}{float(found[2]) * factor:.5g}", text)
    if edits == 0:
        raise SystemExit(f"the site file has no {key}")
    return edited


def with_slow_engines(text: str) -> str:
    return scaled(scaled(text, "step_ms", SLOWER_ENGINES), "prefill_tokens_per_ms", 1 / SLOWER_ENGINES)


def with_far_regions(text: str) -> str:
    return scaled(text, "cross_region_ms", FURTHER_REGIONS)


def with_other_homes(text: str) -> str:
    """Each home is moved to the region that follows it."""
    regions = list(dict.fromkeys(region for _, region in ZONE_AND_REGION.findall(text)))
    following = dict(zip(regions, regions[1:] + regions[:1]))

    def moved(found: re.Match[str]) -> str:
        return found[1] + re.sub(r'"([^"]+)"', lambda name: f'"{following[name[1]]}"', found[2])

    edited, edits = re.subn(r"(\bhomes = )(\[[^\]]+\])", moved, text)
    if edits == 0:
        raise SystemExit("the site file has no homes")
    return edited


EDITS = {"slow-engines": with_slow_engines, "far-regions": with_far_regions, "other-homes": with_other_homes}


def write_variant(site: pathlib.Path, folder: pathlib.Path, variant: Variant) -> None:
    text = site.read_text()
    if variant.core != SITES_OWN:
        text = with_core(text, variant.core)
    if variant.tolerated_machines is not None:
        text = with_tolerated_machines(text, variant.tolerated_machines)
    write_text(site, folder, text)


def write_text(site: pathlib.Path, folder: pathlib.Path, text: str) -> None:
    """The variant's folder: a copy of what lies beside the site file, and the edited site file."""
    shutil.copytree(site.parent, folder, dirs_exist_ok=True)
    copy = folder / site.name
    copy.chmod(0o644)
    copy.write_text(text)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("site", type=pathlib.Path)
    parser.add_argument("out", type=pathlib.Path)
    names = [*VARIANTS, *EDITS]
    parser.add_argument("names", nargs="*", default=names, help=", ".join(names))
    arguments = parser.parse_args()
    for name in arguments.names:
        folder = arguments.out / name
        if name in EDITS:
            write_text(arguments.site, folder, EDITS[name](arguments.site.read_text()))
        else:
            write_variant(arguments.site, folder, VARIANTS[name])
        print(folder / arguments.site.name)


if __name__ == "__main__":
    main()

#!/usr/bin/env python3
"""Plays days of the bench with each mechanism of decision switched off, on scratch copies, and writes the table.

    deploy/ablation.py play --bench FLEETBENCH --sites DIR --work DIR [--mechanisms A,B] [--seeds 1,2,3] [--workers N]
    deploy/ablation.py table --work DIR
    deploy/ablation.py table --journal DIR --heads COMMIT,...

    --play SITE:DAY,DAY,...[:small]   in place of the sites and days below; a DAY may be the file of an own day

`play` clones this repository once for each worker below --work, writes `--without NAME` into the `run` lines of the
clone's deploy file, and plays each day once for each seed. A line of JSON for each play is added to `plays.jsonl`
below --work; plays that stand there already are not repeated. Journal entries stay in the clones (`journal/`).
`table` reads those lines, or the journal's entries of plays on the sources of these commits, and prints, for each mechanism and site, the mean change of worth against the median of all plays of the same day and
seed, and the standard error of that mean; the row `none` is all mechanisms on.
"""

import argparse
import json
import pathlib
import queue
import re
import shutil
import statistics
import subprocess
import threading

REPOSITORY = pathlib.Path(__file__).resolve().parent.parent
# Site files below --sites, the days that are played there, and whether their small twins are.
SITES = [
    ("further/ctau-traslados-grown.toml", ["quiet-1", "trouble-2", "scale-1"], True),
    ("sites/kcma-serve.toml", ["quiet-1", "trouble-2", "scale-1"], False),
    ("sites/derwent-llm.toml", ["quiet-1", "trouble-2", "scale-1"], False),
    ("grown/kcma-serve-grown.toml", ["quiet-1", "trouble-2", "scale-1"], True),
]
ALL_ON = "none"
OF_THE_CONTROLLER = "recall"  # all others are of the proxy


def mechanism_names():
    """The names that the program lists in its help."""
    program = REPOSITORY / "target/release/whinspindle"
    text = subprocess.run([program, "serving-help"], capture_output=True, text=True, check=True).stdout
    listed = text.split("Mechanisms,")[1].split("Exit status")[0]
    return re.findall(r"^  ([a-z-]+)  ", listed, re.MULTILINE)


def parse_plan(texts):
    """What `--play` asks for: site, days, whether the small twins are played."""
    plan = []
    for text in texts:
        site, days, *small = text.split(":")
        plan.append((site, days.split(","), bool(small)))
    return plan


def read_plays(work):
    """All plays so far, by mechanism, site, day and seed."""
    plays = {}
    path = work / "plays.jsonl"
    if path.exists():
        for line in path.read_text().splitlines():
            play = json.loads(line)
            plays[(play["mechanism"], play["site"], play["day"], play["seed"])] = play
    return plays


def read_journal(directory, heads):
    """The same from the journal: plays of clones at one of these commits. The last play of the same counts."""
    plays = {}
    for path in sorted(directory.glob("*.json")):
        entry = json.loads(path.read_text())
        named = re.fullmatch(r"trial: without ([a-z-]+), seed (\d+)", entry.get("why") or "")
        if not named or not entry["head"].startswith(heads) or not entry.get("days"):
            continue
        played = entry["days"][0]
        day = played["name"].split()[0]
        note = {"worth": played["G"], "broken": list(played["rules"])}
        plays[(named[1], entry["site"], day, int(named[2]))] = note
    return plays


def make_clone(work, number):
    """A clone of this repository with a build of its own."""
    clone = work / f"copy-{number}"
    if not clone.exists():
        subprocess.run(["git", "clone", "-q", REPOSITORY, clone], check=True)
        shutil.copytree(REPOSITORY / "target", clone / "target", symlinks=True)
    return clone


def switch_off(clone, mechanism):
    """Writes the deploy file of a clone."""
    text = (REPOSITORY / "deploy/system.toml").read_text()
    if mechanism != ALL_ON:
        role = "controller" if mechanism == OF_THE_CONTROLLER else "proxy"
        text = text.replace(f"release/whinspindle {role}", f"release/whinspindle {role} --without {mechanism}")
    (clone / "deploy/system.toml").write_text(text)


def play(arguments, clone, task):
    """Plays one day; answers what is noted of it."""
    mechanism, site, day, seed, small = task
    switch_off(clone, mechanism)
    report = clone / "target/ablation-report.json"
    report.unlink(missing_ok=True)
    command = [arguments.bench, "run", str(arguments.sites / site), day, "--seed", str(seed), "--jobs", "1"]
    command += ["--no-cpu", "--report", str(report), "--why", f"trial: without {mechanism}, seed {seed}"]
    command += ["--small"] if small else []
    done = subprocess.run(command, cwd=clone, capture_output=True, text=True, timeout=900)
    worth = re.search(r"^worth (-?[\d.]+) = ", done.stdout, re.MULTILINE)
    broken = re.findall(r"BROKEN: (.*?)(?: \(else [\d.]+\))?$", done.stdout, re.MULTILINE)
    note = {"mechanism": mechanism, "site": site, "day": day, "seed": seed}
    return note | {"worth": float(worth.group(1)) if worth else None, "broken": broken}


def work_off(arguments, number, tasks, lock):
    """One worker: plays what is in the queue until it is empty."""
    clone = make_clone(arguments.work, number)
    while True:
        try:
            task = tasks.get_nowait()
        except queue.Empty:
            return
        try:
            note = play(arguments, clone, task)
        except subprocess.TimeoutExpired:
            print(f"no end in time: {task}", flush=True)
            continue
        with lock, open(arguments.work / "plays.jsonl", "a", encoding="utf-8") as out:
            out.write(json.dumps(note) + "\n")


def play_all(arguments):
    """Plays what is missing. Seeds go first, so that a run that is ended early has whole seeds of all mechanisms."""
    arguments.work.mkdir(parents=True, exist_ok=True)
    names = arguments.mechanisms.split(",") if arguments.mechanisms else mechanism_names()
    held = read_plays(arguments.work)
    tasks = queue.Queue()
    for seed in (int(seed) for seed in arguments.seeds.split(",")):
        for site, days, small in parse_plan(arguments.play) or SITES:
            for mechanism in [ALL_ON, *names]:
                for day in days:
                    if (mechanism, site, day, seed) not in held:
                        tasks.put((mechanism, site, day, seed, small))
    print(f"{tasks.qsize()} plays", flush=True)
    lock = threading.Lock()
    workers = [
        threading.Thread(target=work_off, args=(arguments, number, tasks, lock))
        for number in range(arguments.workers)
    ]
    for worker in workers:
        worker.start()
    for worker in workers:
        worker.join()


def usual(plays):
    """The median worth of all plays of the same site, day and seed. Most mechanisms do nothing on most days, but a play
    with one line more in its log takes another course by chance; the median over all is the better base."""
    groups = {}
    for (_, site, day, seed), play in plays.items():
        if play["worth"] is not None:
            groups.setdefault((site, day, seed), []).append(play["worth"])
    return {key: statistics.median(worths) for key, worths in groups.items()}


def compared(plays, base, mechanism, column):
    """Changes of worth against the usual worth of the same day and seed. A column is a site and a day, or all days."""
    site, only = column
    return [
        play["worth"] - base[(where, day, seed)]
        for (name, where, day, seed), play in plays.items()
        if name == mechanism and where == site and only in (None, day) and play["worth"] is not None
    ]


def cell(changes):
    """Mean change and its standard error, in thousandths."""
    if not changes:
        return "not played"
    error = statistics.stdev(changes) / len(changes) ** 0.5 if len(changes) > 1 else float("nan")
    return f"{1000 * statistics.mean(changes):+.0f} ± {1000 * error:.0f} ({len(changes)})"


def print_table(arguments):
    """The table as Markdown."""
    if arguments.journal:
        plays = read_journal(arguments.journal, tuple(arguments.heads.split(",")))
    else:
        plays = read_plays(arguments.work)
    days = arguments.days.split(",") if arguments.days else None
    plays = {key: play for key, play in plays.items() if days is None or key[2] in days}
    columns = list(dict.fromkeys((key[1], key[2] if arguments.by_day else None) for key in plays))
    base = usual(plays)
    titles = [" ".join(pathlib.Path(part).stem for part in column if part) for column in columns]
    print("| without | " + " | ".join(titles) + " | rules broken |")
    print("| --- |" + " --- |" * (len(columns) + 1))
    names = {key[0] for key in plays}
    for mechanism in sorted(names, key=lambda name: (name != ALL_ON, name)):
        cells = [cell(compared(plays, base, mechanism, column)) for column in columns]
        broken = sum(1 for key, note in plays.items() if key[0] == mechanism and note["broken"])
        print(f"| {mechanism} | " + " | ".join(cells) + f" | {broken} |")


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("verb", choices=["play", "table"])
    parser.add_argument("--bench", type=pathlib.Path)
    parser.add_argument("--sites", type=pathlib.Path)
    parser.add_argument("--work", type=pathlib.Path)
    parser.add_argument("--journal", type=pathlib.Path)
    parser.add_argument("--heads", default="", help="the first digits of commits, with commas between them")
    parser.add_argument("--mechanisms")
    parser.add_argument("--seeds", default="1,2,3")
    parser.add_argument("--days", help="the days in the table, with commas between them; all without it")
    parser.add_argument("--by-day", action="store_true", help="a column of its own for each day")
    parser.add_argument("--play", action="append", default=[])
    parser.add_argument("--workers", type=int, default=4)
    arguments = parser.parse_args()
    if arguments.work is None and (arguments.verb == "play" or arguments.journal is None):
        parser.error("--work is missing")
    if arguments.verb == "play":
        play_all(arguments)
    else:
        print_table(arguments)


if __name__ == "__main__":
    main()

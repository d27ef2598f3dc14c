#!/usr/bin/env python3
"""Lists what the recorded plays found: broken rules, faults and missed floors.

    tools/findings.py [--since TIME] [journal/*.json]

A day that keeps all rules is a finding too if a class, a zone of clients or the
whole day earned less than its floor. Exit code 1 if there is a finding. --since
takes the start of a file name, such as 20261205T09.
"""
import argparse
import json
import pathlib
import sys

JOURNAL = pathlib.Path(__file__).resolve().parent.parent / "journal"


def findings(entry):
    """Yields (name of the day, what was found) of a recorded play."""
    for day in entry.get("days") or []:
        found = [f"{rule} {count}" for rule, count in (day.get("rules") or {}).items()]
        found += day.get("short") or []
        if day.get("fault"):
            found.append(f"fault {day['fault']}")
        if found:
            yield f"{day['name']} (seed {day.get('seed')})", "; ".join(found)


def main():
    parser = argparse.ArgumentParser(description=__doc__.split("\n", maxsplit=1)[0])
    parser.add_argument("--since", default="", help="start of the first file name")
    parser.add_argument("files", nargs="*", type=pathlib.Path)
    options = parser.parse_args()
    count = 0
    for path in options.files or sorted(JOURNAL.glob("*.json")):
        if path.name < options.since:
            continue
        entry = json.loads(path.read_text(encoding="utf-8"))
        for name, found in findings(entry):
            count += 1
            print(f"{path.stem} {entry['cmd']} {entry['head'][:7]} {entry['site']} {name}: {found}")
    print(f"{count} findings")
    return 1 if count else 0


if __name__ == "__main__":
    sys.exit(main())

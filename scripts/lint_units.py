#!/usr/bin/env python3
"""Runs clang-tidy on translation units: scripts/lint_units.py BUILD_DIR FILE...

Parsing library headers takes most of the time, so sources of one directory are checked together, in a
generated unit that includes them all. If that unit doesn't compile, because two sources define the same name, each source is
checked on its own.
"""
import concurrent.futures
import json
import os
import pathlib
import re
import subprocess
import sys

SOURCES_PER_UNIT = 6
HEADER_FILTER = r"(^|/)(libs|apps|platform|tests)/.*\.(h|cpp)$"
USING = re.compile(r"^\s*using\s+(?:\w+::)+(\w+);", re.MULTILINE)
INCLUDE_FLAG = re.compile(r"(?:-I|-isystem\s+)(\S+)")


def unused_using_declarations(path):
    """Reports using-declarations without a use in the same file. In a combined unit, clang-tidy counts uses in other sources, too."""
    text = path.read_text(encoding="utf-8")
    return [f"{path}: error: using-declaration of '{name}' is not used" for name in USING.findall(text) if len(re.findall(rf"\b{name}\b", text)) < 2]


def run_clang_tidy(database, path):
    run = subprocess.run(["clang-tidy", "-p", str(database), "--quiet", f"--header-filter={HEADER_FILTER}", str(path)], capture_output=True, text=True)
    return run.returncode, run.stdout


def write_units(build, files):
    """Writes the combined units and their compile commands to BUILD_DIR/lint. Returns a list of (unit, sources)."""
    commands = {entry["file"]: entry for entry in json.loads((build / "compile_commands.json").read_text())}
    directory = build / "lint"
    directory.mkdir(exist_ok=True)
    groups = {}
    for path in files:
        groups.setdefault(path.parent, []).append(path)
    units, database = [], []
    for parent, members in sorted(groups.items()):
        for start in range(0, len(members), SOURCES_PER_UNIT):
            sources = members[start:start + SOURCES_PER_UNIT]
            unit = directory / (str(parent.relative_to(pathlib.Path.cwd())).replace("/", "_") + f"_{start}.cpp")
            unit.write_text("".join(f'#include "{path}" // NOLINT(bugprone-suspicious-include)\n' for path in sources))
            entry = dict(commands[str(sources[0])])
            own_include_paths = set(INCLUDE_FLAG.findall(entry["command"]))
            other_include_paths = {flag for path in sources for flag in INCLUDE_FLAG.findall(commands[str(path)]["command"])} - own_include_paths
            entry["command"] = entry["command"].replace(str(sources[0]), str(unit)) + "".join(f" -isystem {flag}" for flag in sorted(other_include_paths))
            entry["file"] = str(unit)
            database.append(entry)
            units.append((unit, sources))
    (directory / "compile_commands.json").write_text(json.dumps(database))
    return units


def check(build, unit, sources):
    """Returns the list of problems found in the sources of a combined unit."""
    problems = [problem for path in sources for problem in unused_using_declarations(path)]
    code, output = run_clang_tidy(build / "lint", unit)
    if code == 0:
        return problems
    if "clang-diagnostic-error" not in output:
        return problems + [output]
    for path in sources:
        code, output = run_clang_tidy(build, path)
        if code != 0:
            problems.append(output or f"{path}: clang-tidy ended with code {code}")
    return problems


def main():
    build = pathlib.Path(sys.argv[1]).resolve()
    files = [pathlib.Path(name).resolve() for name in sys.argv[2:]]
    units = write_units(build, files)
    failed = False
    with concurrent.futures.ThreadPoolExecutor(os.cpu_count()) as pool:
        for problems in pool.map(lambda unit: check(build, *unit), units):
            for problem in problems:
                failed = True
                print(problem)
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()

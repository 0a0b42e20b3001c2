"""Checks rules beyond the formatter and the linter: imports, module comments, files of tests."""

import pathlib
import re
import subprocess
import sys

STD = ("std", "core", "alloc")
OWN = ("crate", "self", "super")
KNOWN_RED = pathlib.Path("KNOWN-RED.txt").read_text()
USE = re.compile(r"^(?:pub(?:\([a-z]+\))? )?use ([a-z_A-Z0-9]+)")


def group(line):
    """Returns the group of an import: 0 standard library, 1 other crates, 2 this crate."""
    root = USE.match(line).group(1)
    return 0 if root in STD else 2 if root in OWN else 1


def check(path, text):
    """Yields the line number and message of each violation in one source file."""
    lines = text.splitlines()
    if not text.startswith(("//!", "#![")):
        yield 1, "a file starts with its module comment"
    if len(lines) > 600:
        yield len(lines), "a file has at most 600 lines"
    last = None
    for number, line in enumerate(lines, 1):
        if line.startswith("use ") and ("{" in line or "*" in line):
            yield number, "one import a line, without braces or globs"
        if line.startswith("use "):
            here = group(line)
            blank = number > 1 and lines[number - 2] == ""
            if last is not None and here < last:
                yield number, "imports come in three groups: std, other crates, this crate"
            if last is not None and here != last and not blank:
                yield number, "a blank line parts the groups of imports"
            last = here
        if line.strip().startswith("#[ignore"):
            name = re.search(r"fn (\w+)", "\n".join(lines[number : number + 3]))
            if name is None or name.group(1) not in KNOWN_RED:
                yield number, "an ignored test is listed in KNOWN-RED.txt"
        is_test_file = "/tests/" in path or path.endswith("_tests.rs")
        if not is_test_file and re.search(r"#\[(cfg\()?test\b", line):
            declares = lines[number] if number < len(lines) else ""
            if not re.match(r"\s*(#\[path.*|mod \w*tests;)$", declares):
                yield number, "tests live in test files"


def main():
    """Checks every source file that git tracks."""
    files = subprocess.run(
        ["git", "ls-files", "-co", "--exclude-standard", "*.rs"], capture_output=True, text=True, check=True
    ).stdout.split()
    faults = 0
    for path in files:
        file = pathlib.Path(path)
        if not file.exists():
            continue
        for number, fault in check("/" + path, file.read_text()):
            print(f"{path}:{number}: {fault}")
            faults += 1
    sys.exit(1 if faults else 0)


main()

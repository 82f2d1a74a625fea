#!/usr/bin/env python3
"""Lists the names that leave the process, or checks that each is still there.

    external-names.py list          prints the list, made from the sources
    external-names.py check [FILE]  fails where a name of FILE (default:
                                    external-names.txt beside this script) is
                                    no longer found in the sources

A name is a field, value, path or header on the wire, a stored field or file
name, a key of the settings and of the deploy file, a flag, an environment
variable, a metric or a label. They are the words among the string literals of
the programs, the words of the schema, and the keys of settings and deploy
files. Each line is "SECTION<TAB>NAME".
"""
import collections
import json
import pathlib
import re
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
TOKEN = re.compile(
    r'//[^\n]*|/\*.*?\*/|R"(\w*)\(.*?\)\1"|"(?:\\.|[^"\\\n])*"|'
    r"'(?:\\.|[^'\\\n])+'|[A-Za-z_]\w*|\S", re.S)
WORD = re.compile(r'"[^\s"]+"')


def tracked(*patterns):
    rows = subprocess.run(["git", "ls-files", "-co", "--exclude-standard", *patterns],
                          cwd=ROOT, capture_output=True, text=True, check=True)
    return [ROOT / row for row in rows.stdout.split()]


def tokens_of(path):
    text = re.sub(r"#include[^\n]*", "", path.read_text())
    found = [m.group(0) for m in TOKEN.finditer(text)]
    joined = []
    for token in found:
        if token.startswith(("//", "/*")):
            continue
        if joined and token[0] == '"' and joined[-1][0] == '"':
            joined[-1] = joined[-1][:-1] + token[1:]
        else:
            joined.append(token)
    return joined


def section_of(tokens, at, call):
    """Returns the section of the literal at an index of an argument list."""
    is_first = tokens[at - 1] == "("
    if call in ("log", "logCall", "logEvent"):
        if is_first:
            return "log event"
        return "log field" if tokens[at - 1] == "{" else "log value"
    if call in ("count", "observe", "Count") and is_first:
        return "metric"
    return "text"


def from_sources():
    names = collections.defaultdict(set)
    for path in tracked("*.h", "*.cpp"):
        relative = path.relative_to(ROOT).as_posix()
        if "/tests/" in relative or relative.startswith("tests/") or "/generated/" in relative:
            continue
        tokens = tokens_of(path)
        # Names before the parentheses that are open at the current token.
        calls = []
        for at, token in enumerate(tokens):
            if token == "(":
                calls.append(tokens[at - 1] if at else "")
            elif token == ")" and calls:
                calls.pop()
            elif token[0] == '"':
                section = section_of(tokens, at, calls[-1] if calls else "")
                if section == "text" and not WORD.fullmatch(token):
                    # Other texts are for operators and may be reworded.
                    if "decision/src" not in relative and "gateway/src" not in relative:
                        continue
                    section = "answer text"
                names[section].add(token[1:-1])
    return names


def keys_of(value):
    if isinstance(value, dict):
        for key, inner in value.items():
            yield key
            yield from keys_of(inner)
    elif isinstance(value, list):
        for inner in value:
            yield from keys_of(inner)


def from_files():
    names = collections.defaultdict(set)
    for path in tracked("*.fbs"):
        text = re.sub(r"//[^\n]*", "", path.read_text())
        names["schema"].update(re.findall(r"[A-Za-z_]\w*", text))
    for path in tracked("settings/*.json", "workloads/*.json"):
        document = json.loads(re.sub(r"^\s*//.*$", "", path.read_text(), flags=re.M))
        names["settings"].update(keys_of(document))
    for path in tracked("deploy/system.toml"):
        text = path.read_text()
        names["deploy"].update(re.findall(r"^(\w+) *=", text, flags=re.M))
        names["deploy"].update(re.findall(r"^\[([\w.]+)\]", text, flags=re.M))
    return names


def collect():
    found = from_sources()
    for section, names in from_files().items():
        found[section] |= names
    return {(section, name) for section, names in found.items() for name in names}


def main():
    if sys.argv[1:] == ["list"]:
        for section, name in sorted(collect()):
            print(f"{section}\t{name}")
        return
    if not 2 <= len(sys.argv) <= 3 or sys.argv[1] != "check":
        sys.exit(__doc__)
    path = pathlib.Path(sys.argv[2]) if len(sys.argv) == 3 else ROOT / "tools/external-names.txt"
    expected = {tuple(row.split("\t", 1)) for row in path.read_text().splitlines() if row}
    present = {name for _, name in collect()}
    missing = sorted(row for row in expected if row[1] not in present)
    for section, name in missing:
        print(f"missing: {section}\t{name}")
    if missing:
        sys.exit(f"{len(missing)} of {len(expected)} names are no longer found")
    print(f"all {len(expected)} names found")


main()

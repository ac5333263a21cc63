#!/usr/bin/env bash
# Checks the stand-ins of the scripts. They are written in Python with its standard library alone, so that
# nothing has to be compiled; the program itself is built by the deploy file.
set -eu
cd "$(dirname "$0")"
python3 - <<'P'
import ast
import pathlib
import sys

if sys.version_info < (3, 9):
    sys.exit("Python 3.9 or later is needed")
files = sorted(pathlib.Path(".").glob("lib/*.py")) + sorted(pathlib.Path(".").glob("[1-5]/*.py"))
for path in files:
    ast.parse(path.read_text(encoding="utf-8"), str(path))
print(f"{len(files)} files of the stand-ins are sound")
P

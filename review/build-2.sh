#!/bin/sh
# Builds what the scripts of this review start beside the project's program: stand-ins in Python, without dependencies.
cd "$(dirname "$0")" || exit 1
python3 - <<'P'
import ast, pathlib
for path in [pathlib.Path("standin-2/standin.py"), *sorted(pathlib.Path(".").glob("[4-8]/*.py"))]:
    ast.parse(path.read_text(), str(path))
    print("checked", path)
P

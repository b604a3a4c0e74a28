#!/bin/sh
# Builds the stand-ins that the scripts start. They are Python and need no other packages, so this only checks that they compile.
cd "$(dirname "$0")" || exit 2
exec python3 -c '
import ast, pathlib, sys
assert sys.version_info >= (3, 11), "python 3.11 is needed"
for path in [*pathlib.Path("standin").glob("*.py"), *pathlib.Path(".").glob("[0-9]/*.py")]:
    ast.parse(path.read_text(), str(path))
'

#!/bin/sh
# Checks the stand-ins that the scripts of this review start. They are Python
# and need nothing but the interpreter; nodes need the build of deploy file.
cd "$(dirname "$0")" || exit 2
PYTHONDONTWRITEBYTECODE=1 exec python3 -c '
import ast, pathlib
for path in sorted(pathlib.Path(".").glob("common-2/*.py")) + sorted(
    pathlib.Path(".").glob("[6-9]/*.py")
) + sorted(pathlib.Path(".").glob("10/*.py")):
    ast.parse(path.read_text(), str(path))
'

#!/bin/sh
# Checks what the scripts of review/11 to review/15 need. Their stand-ins use
# the standard library only, so there is nothing to compile or to install; the
# nodes run from target/deps, which the build of deploy/system.toml makes.
set -e
cd "$(dirname "$0")/.."
[ -d target/deps ] || { echo "run the build of deploy/system.toml first"; exit 1; }
python3 - <<'END'
import ast, pathlib, sys
assert sys.version_info >= (3, 11), 'Python 3.11 or later is needed'
for folder in ('common-3', '11', '12', '13', '14', '15'):
    for path in pathlib.Path('review', folder).glob('*.py'):
        ast.parse(path.read_text(), str(path))
END

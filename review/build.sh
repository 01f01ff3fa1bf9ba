#!/bin/bash
# The stand-ins of the review are Python programs of the standard library; nothing has to be compiled.
set -e
cd "$(dirname "$0")"
python3 -c 'import sys; assert sys.version_info >= (3, 8), sys.version'
python3 - <<'END'
import ast, pathlib
for file in [*pathlib.Path("lib").glob("*.py"), *pathlib.Path(".").glob("[1-5]/*.py")]:
    ast.parse(file.read_text(), str(file))
END
test -x ../target/release/quetzalworksd || echo "run the build of the deploy file first" >&2

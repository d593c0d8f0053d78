#!/bin/sh
# Builds the stand-ins of the cases 6 to 10: Python of the standard library, which needs no more
# than a check that it compiles. No stand-in of the project itself is started.
set -e
cd "$(dirname "$0")/.."
python3 - <<'PYTHON'
import sys
from pathlib import Path

if sys.version_info < (3, 11):
    sys.exit('Python 3.11 or later is needed')
for path in [*Path('review/kit2').glob('*.py'), *Path('review').glob('[0-9]*/case.py')]:
    compile(path.read_text(), str(path), 'exec')
PYTHON

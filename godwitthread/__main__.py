"""Entry point of `python -m godwitthread`, the command line interface."""

from __future__ import annotations

import sys

from godwitthread.cmd.main import main

sys.exit(main())

"""Entry point of `python -m godwitthread.platform`, the gateway process on the platform."""

from __future__ import annotations

import signal
import sys

if __name__ == '__main__':
    # Until its handler is installed, SIGHUP would end the process.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from godwitthread.platform.gateway_process import main

    sys.exit(main())

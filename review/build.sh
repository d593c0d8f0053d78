#!/bin/sh
# Builds what the scripts of the cases start. The stand-ins, the project's own too, are Python
# modules that run from the sources with the libraries of the deploy file's build.
cd "$(dirname "$0")/.." || exit 2
PYTHONPATH="$PWD/target/deps:$PWD" EVENTLET_NO_GREENDNS=yes python3 -c '
import godwitthread.platform.gateway_process
import godwitthread.standin.line_member
import godwitthread.standin.rows
import review.standins.deployment
'

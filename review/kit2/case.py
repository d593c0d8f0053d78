"""Run of one case: record, exit status and end of all processes."""

from __future__ import annotations

import asyncio
import os
import sys
import traceback
from pathlib import Path
from typing import TYPE_CHECKING

from review.kit2.deployment import NOT_RUN, Deployment, Record

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

#: Longest run of a case, in s.
LIMIT_S = 110


def run(
    path: str, instances: int, groups: int, play: Callable[[Deployment], Awaitable[int]]
) -> None:
    """Play a case, write its record beside the given file, and exit with its status."""
    record = Record(Path(path).with_name('record.txt'))
    status = asyncio.run(_run(record, instances, groups, play))
    record.note(f'exit status {status}')
    sys.stdout.flush()
    # Threads and tasks of the stand-ins need no further end.
    os._exit(status)


async def _run(
    record: Record, instances: int, groups: int, play: Callable[[Deployment], Awaitable[int]]
) -> int:
    # Errors of connections that end with the run are of no interest.
    asyncio.get_running_loop().set_exception_handler(lambda *_: None)
    deployment = Deployment(record, instances, groups)
    record.note(f'TROUBLE={int(deployment.trouble)}')
    try:
        async with asyncio.timeout(LIMIT_S):
            return await play(deployment)
    except Exception:
        record.note(traceback.format_exc())
        return NOT_RUN
    finally:
        deployment.close()

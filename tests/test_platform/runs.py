"""Runs of a deployment under faults, splits or planned work, and their results."""

from __future__ import annotations

import argparse
import signal
import sys
import tempfile
from collections import Counter
from functools import partial
from pathlib import Path
from typing import TYPE_CHECKING, NamedTuple

from godwitthread.loop import eventlet
from tests.test_platform import route_callers
from tests.test_platform.changed_routes import FAULTS as ROUTE_FAULTS
from tests.test_platform.changed_routes import ChangedRoutes, Operator
from tests.test_platform.configuration_judge import judge
from tests.test_platform.faults import (
    FAULTS,
    TRACED_FAULTS,
    inject_faults,
    inject_splits,
    repeat_answers,
)
from tests.test_platform.malformed_rows import MalformedRows
from tests.test_platform.planned_callers import Caller, Ledger, check_answers
from tests.test_platform.planned_work import PlannedWork
from tests.test_platform.restored_store import RestoredStore
from tests.test_platform.silent_store import SilentStore
from tests.test_platform.statement_ledger import StatementLedger
from tests.test_platform.tracing_callers import TracingCaller
from tests.test_platform.world import Deployment

if TYPE_CHECKING:
    from collections.abc import Callable

#: Number of slots of a backend server during planned work. It exceeds the connection limit, so that
#: no statement waits at the backend server, even while a group changes its owner.
PLANNED_SLOTS = 20
#: Time limit for the answers that are missing at the end of a run, in s.
FINISH_TIMEOUT_S = 20
#: Maximum number of rows of a read whose answer is traced.
TRACED_ROWS = 3
#: Maximum number of violations that are printed, and of characters of each.
MAX_PRINTED = 20
MAX_PRINTED_LENGTH = 2_000


class Sizes(NamedTuple):
    """Size and duration of a run."""

    seconds: int
    instances: int
    groups: int
    callers: int


def main() -> int:
    """Run the seeds given on the command line."""
    parser = argparse.ArgumentParser(prog='python -m tests.test_platform.world')
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--seeds', type=int, default=1, help='number of consecutive seeds')
    parser.add_argument('--seconds', type=int, default=15)
    parser.add_argument('--instances', type=int, default=5)
    parser.add_argument('--groups', type=int, default=2)
    parser.add_argument(
        '--callers', type=int, help='16 by default, 72 with --planned, 4 with --changed-routes'
    )
    modes = parser.add_mutually_exclusive_group()
    modes.add_argument('--splits', action='store_true', help='split primaries, no other faults')
    modes.add_argument(
        '--silent-store',
        action='store_true',
        help='calls to the store without an answer, and changes of the configuration',
    )
    modes.add_argument(
        '--malformed-rows',
        action='store_true',
        help='malformed rows in the store, members that drain, and changes of the configuration',
    )
    modes.add_argument(
        '--restored-store',
        action='store_true',
        help='a store that comes back from older copies, beside other faults and changes',
    )
    modes.add_argument('--planned', action='store_true', help='planned work only, no faults')
    modes.add_argument(
        '--foreign-answers',
        nargs='?',
        const='both',
        choices=['plain', 'bytes', 'repeats', 'both'],
        help='trace statements and answers, with odd bytes, repeated answers of members or both',
    )
    modes.add_argument(
        '--changed-routes',
        action='store_true',
        help='routes and keys that come and go, and callers that ask all instances for them',
    )
    parser.add_argument(
        '--faults',
        nargs='*',
        choices=sorted(ROUTE_FAULTS),
        default=sorted(ROUTE_FAULTS),
        help='faults beside --changed-routes, all by default',
    )
    parser.add_argument(
        '--versions-again',
        action='store_true',
        help='with --changed-routes, go on from the configuration of a restored store',
    )
    parser.add_argument(
        '--interval', type=float, default=2.0, help='longest time between changed routes, in s'
    )
    parser.add_argument('--keep-logs', action='store_true', help='keep the logs of every run')
    args = parser.parse_args()
    # Exit through `finally`, so that the started processes are killed as well.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    callers = args.callers or (72 if args.planned else 4 if args.changed_routes else 16)
    sizes = Sizes(args.seconds, args.instances, args.groups, callers)
    plays = {
        play_splits: args.splits,
        play_planned_work: args.planned,
        play_silent_store: args.silent_store,
        play_malformed_rows: args.malformed_rows,
        play_restored_store: args.restored_store,
    }
    if args.changed_routes:
        operator = Operator(args.interval, args.versions_again)
        plays[partial(play_changed_routes, operator=operator, faults=args.faults)] = True
    if args.foreign_answers:
        plays[partial(play_foreign_answers, kind=args.foreign_answers)] = True
    play = next((each for each, chosen in plays.items() if chosen), play_faults)
    slots = PLANNED_SLOTS if args.planned else 2
    seeds = range(args.seed, args.seed + args.seeds)
    return max(run(seed, sizes, slots, play, args.keep_logs) for seed in seeds)


def run(
    seed: int,
    sizes: Sizes,
    slots: int,
    play: Callable[[Deployment, int, Sizes], str],
    keep_logs: bool = False,
) -> int:
    """Run one seed and print its result; return 1 after a violation."""
    with tempfile.TemporaryDirectory(prefix='gateway-') as folder:
        deployment = Deployment(seed, sizes.instances, sizes.groups, folder, slots)
        try:
            summary = play(deployment, seed, sizes)
            deployment.check()
        finally:
            deployment.close()
        if deployment.violations or deployment.remarks or keep_logs:
            log_folder = Path(f'soak-{seed}')
            log_folder.mkdir(exist_ok=True)
            for log in Path(folder).glob('*.log'):
                (log_folder / log.name).write_bytes(log.read_bytes())
            (log_folder / 'violations.txt').write_text('\n'.join(deployment.violations))
            (log_folder / 'remarks.txt').write_text('\n'.join(deployment.remarks))
    result = 'FAILED' if deployment.violations else 'ok'
    print(  # noqa: T201
        f'seed {seed}: {result}, {deployment.served} of {deployment.requested} served; {summary}',
        flush=True,
    )
    for violation in deployment.violations[:MAX_PRINTED]:
        print(f'  {violation[:MAX_PRINTED_LENGTH]}', flush=True)  # noqa: T201
    if len(deployment.violations) > MAX_PRINTED:
        print(f'  and {len(deployment.violations) - MAX_PRINTED} more')  # noqa: T201
    for remark in deployment.remarks[:MAX_PRINTED]:
        print(f'  remark: {remark[:MAX_PRINTED_LENGTH]}', flush=True)  # noqa: T201
    return 1 if deployment.violations else 0


def play_faults(deployment: Deployment, _: int, sizes: Sizes) -> str:
    """Inject faults while callers check the guarantees."""
    _start_callers(deployment, sizes)
    names = inject_faults(deployment, sizes.seconds, FAULTS)
    _check_recovery(deployment)
    _stop_callers(deployment)
    return f'faults: {names}'


def play_splits(deployment: Deployment, _: int, sizes: Sizes) -> str:
    """Split primaries while callers check the guarantees."""
    _start_callers(deployment, sizes)
    inject_splits(deployment, sizes.seconds)
    _check_recovery(deployment)
    _stop_callers(deployment)
    return 'faults: splits'


def play_silent_store(deployment: Deployment, seed: int, sizes: Sizes) -> str:
    """Leave calls to the store without an answer while configurations change."""
    _start_callers(deployment, sizes)
    work = SilentStore(deployment, seed)
    names = work.run(sizes.seconds, work.mutings())
    _check_recovery(deployment)
    _stop_callers(deployment)
    return f'{work.checks} checks of {deployment.version} versions; faults: {names}'


def play_restored_store(deployment: Deployment, seed: int, sizes: Sizes) -> str:
    """Restore the store while configurations, keys, primaries and instances change."""
    _start_callers(deployment, sizes)
    checks = SilentStore(deployment, seed)
    drill = RestoredStore(deployment, seed)
    names = checks.run(sizes.seconds, drill.faults())
    _check_recovery(deployment)
    drill.check()
    _stop_callers(deployment)
    return (
        f'{checks.checks} checks of {deployment.version} versions, '
        f'{deployment.store.era} restores; faults: {names}'
    )


def play_changed_routes(
    deployment: Deployment, seed: int, sizes: Sizes, operator: Operator, faults: list[str]
) -> str:
    """Add and drop routes and keys while callers ask all instances for them."""
    changes = ChangedRoutes(deployment, seed, operator)
    _start_callers(deployment, sizes)
    route_callers.start(deployment, changes, seed)
    names = changes.run(sizes.seconds, faults)
    _check_recovery(deployment)
    _stop_callers(deployment)
    changes.write_record()
    verdict = judge(changes.record)
    deployment.violations += verdict.violations
    deployment.remarks += [f'in unsettled time: {each}' for each in verdict.unsettled]
    outcomes = ', '.join(f'{name} {number}' for name, number in verdict.outcomes.most_common())
    return (
        f'{sum(verdict.settled.values())} of {sum(verdict.outcomes.values())} questions in settled '
        f'time; {len(changes.record.contents)} configurations, {deployment.store.era} restores; '
        f'{outcomes}; faults: {names}'
    )


def play_malformed_rows(deployment: Deployment, seed: int, sizes: Sizes) -> str:
    """Write malformed rows while members drain and configurations change."""
    _start_callers(deployment, sizes)
    checks = SilentStore(deployment, seed)
    rows = MalformedRows(deployment, seed, checks)
    rows.start()
    names = checks.run(sizes.seconds, ())
    rows.stop()
    _check_recovery(deployment)
    rows.check_metrics()
    _stop_callers(deployment)
    return (
        f'{checks.checks} checks of {deployment.version} versions, {rows.drains} drains; '
        f'faults: {names}'
    )


def play_planned_work(deployment: Deployment, seed: int, sizes: Sizes) -> str:
    """Do planned work while callers keep using their connections."""
    ledger, work = Ledger(), PlannedWork(deployment, seed)
    work.wait_until_started()
    eventlet.sleep(2)
    eventlet.spawn(ledger.watch_loop)
    callers = [
        eventlet.spawn(Caller(number, seed, ledger, work).run) for number in range(sizes.callers)
    ]
    names = work.run(sizes.seconds)
    _check_recovery(deployment)
    ledger.closing = True
    work.end()
    with eventlet.Timeout(FINISH_TIMEOUT_S, False):
        for caller in callers:
            caller.wait()
    losses = check_answers(ledger, work)
    deployment.violations += losses.violations
    unknown = ledger.unknown_outcomes()
    return (
        f'{len(ledger.unanswered())} unanswered: {len(losses.violations)} violations, '
        f'{losses.read} read but not executed, {losses.unread} unread, of these '
        f'{losses.unread_in_new_session} in new sessions; '
        f'writes answered INDOUBT: {unknown["INDOUBT"]}, TIMEOUT: {unknown["TIMEOUT"]}; '
        f'{work.killed} processes killed, exit statuses {work.bad_exits}; work: {names}'
    )


def play_foreign_answers(deployment: Deployment, seed: int, sizes: Sizes, kind: str) -> str:
    """Inject faults while callers trace their statements and answers."""
    ledger, odd = StatementLedger(), kind in ('bytes', 'both')
    for group in deployment.groups:
        group.rows_per_read = TRACED_ROWS
    eventlet.sleep(2)
    for number in range(sizes.callers):
        eventlet.spawn(TracingCaller(number, seed, ledger, deployment, odd).run)
    if kind in ('repeats', 'both'):
        eventlet.spawn(repeat_answers, deployment, seed)
    names = inject_faults(deployment, sizes.seconds, TRACED_FAULTS)
    _check_recovery(deployment)
    _stop_callers(deployment)
    found = ledger.violations(deployment.groups)
    deployment.violations += [f'{each.rule}: {each.details}' for each in found]
    counts = ', '.join(f'{rule} {n}' for rule, n in Counter(each.rule for each in found).items())
    repeated = sum(group.repeated for group in deployment.groups)
    return f'{counts or "no rule broken"}; {repeated} answers repeated; faults: {names}'


def _start_callers(deployment: Deployment, sizes: Sizes) -> None:
    eventlet.sleep(2)
    for caller in range(sizes.callers):
        eventlet.spawn(deployment.run_caller, caller)


def _check_recovery(deployment: Deployment) -> None:
    requested, served = deployment.requested, deployment.served
    eventlet.sleep(4)
    requested, served = deployment.requested - requested, deployment.served - served
    if served < requested * 0.25:
        deployment.violations.append(f'not recovered: {served} of {requested} requests served')


def _stop_callers(deployment: Deployment) -> None:
    deployment.stopping = True
    eventlet.sleep(1)

"""Commands that validate, change and show the manifest."""

from __future__ import annotations

import datetime
import sys
from pathlib import Path
from typing import TYPE_CHECKING, Any, ClassVar

from cleo.helpers import argument, option

from godwitthread.cmd import change
from godwitthread.cmd.change_command import WAIT_OPTIONS, ChangeCommand
from godwitthread.cmd.output import (
    JSON_OPTION,
    OPERATOR_OPTIONS,
    BaseCommand,
    CommandError,
    ExitStatus,
    format_table,
)
from godwitthread.manifest import diff, document, schema
from godwitthread.manifest.check import check

if TYPE_CHECKING:
    from cleo.commands.command import Command
    from cleo.io.inputs.argument import Argument
    from cleo.io.inputs.option import Option

FILE_ARGUMENT = argument('file', 'Manifest file, - for the standard input.')
EXPECTED_VERSION_OPTION = option(
    'expected-version',
    flag=False,
    description='Version the change is based on; the newest one if not given.',
)


class ManifestCheck(BaseCommand):
    """Validate a manifest file locally, without an instance."""

    name = 'manifest check'
    description = 'Check a manifest file and report every mistake.'
    arguments: ClassVar[list[Argument]] = [FILE_ARGUMENT]
    options: ClassVar[list[Option]] = [JSON_OPTION]

    def perform(self) -> ExitStatus:
        """Print the validation errors of the file."""
        mistakes = check(read_document(self.argument('file')))
        text = '\n'.join(map(document.describe, mistakes)) or 'no mistakes'
        self.show({'mistakes': [mistake._asdict() for mistake in mistakes]}, text)
        return ExitStatus.REFUSED if mistakes else ExitStatus.DONE


class ManifestDiff(BaseCommand):
    """Compare a file with the manifest in force or with another file."""

    name = 'manifest diff'
    description = 'Show what a manifest file changes.'
    arguments: ClassVar[list[Argument]] = [
        FILE_ARGUMENT,
        argument('old', 'Older file; the manifest in force if not given.', optional=True),
    ]
    options: ClassVar[list[Option]] = OPERATOR_OPTIONS

    def perform(self) -> ExitStatus:
        """Print the differences."""
        new = load_manifest(read_document(self.argument('file')))
        old_file = self.argument('old')
        old = read_document(old_file) if old_file else self.api().get('/v1/manifest')['document']
        differences = diff.diff(load_manifest(old), new)
        self.show({'differences': diff.as_json(differences)}, diff.as_text(differences))
        return ExitStatus.DONE


class ManifestApply(ChangeCommand):
    """Apply a manifest file."""

    name = 'manifest apply'
    description = 'Put a manifest file in force everywhere.'
    arguments: ClassVar[list[Argument]] = [FILE_ARGUMENT]
    options: ClassVar[list[Option]] = [*OPERATOR_OPTIONS, *WAIT_OPTIONS, EXPECTED_VERSION_OPTION]

    def perform(self) -> ExitStatus:
        """Send the manifest and report its version."""
        new_document = read_document(self.argument('file'))
        load_manifest(new_document)
        api = self.api()
        expected = self.option('expected-version')
        number = (
            self.parse_number(expected, 'expected-version') if expected else newest_version(api)
        )
        body = {'document': new_document, 'expected_version': number, 'author': self.author()}
        return self.report(api, api.post('/v1/manifest', body))


class ManifestShow(BaseCommand):
    """Show the current manifest or that of an earlier version."""

    name = 'manifest show'
    description = 'Print the manifest in force or of one version.'
    arguments: ClassVar[list[Argument]] = [argument('version', 'Version.', optional=True)]
    options: ClassVar[list[Option]] = OPERATOR_OPTIONS

    def perform(self) -> ExitStatus:
        """Print the manifest."""
        version = self.argument('version')
        path = (
            f'/v1/manifest/{self.parse_number(version, "version")}' if version else '/v1/manifest'
        )
        answer = self.api().get(path)
        manifest = load_manifest(answer['document'])
        lines = (f'{path} = {value}' for path, value in diff.flatten(manifest).items())
        title = f'version {answer["version"]} by {answer["author"]}'
        self.show(answer, '\n'.join([title, *lines]))
        return ExitStatus.DONE


class ManifestHistory(BaseCommand):
    """List the newest configuration versions."""

    name = 'manifest history'
    description = 'List the newest configuration versions.'
    options: ClassVar[list[Option]] = [
        *OPERATOR_OPTIONS,
        option('limit', flag=False, default='20', description='Versions to list.'),
    ]

    def perform(self) -> ExitStatus:
        """Print one line per version."""
        limit = self.parse_number(self.option('limit'), 'limit')
        answer = self.api().get(f'/v1/manifest/history?limit={limit}')
        rows = [
            (each['version'], each['author'], each['note'], _format_utc(each['accepted_wall_ms']))
            for each in answer['versions']
        ]
        self.show(answer, format_table(('VERSION', 'AUTHOR', 'CHANGE', 'ACCEPTED (UTC)'), rows))
        return ExitStatus.DONE


class ManifestRollback(ChangeCommand):
    """Apply an earlier manifest again as a new version."""

    name = 'manifest rollback'
    description = (
        'Put an earlier manifest in force again; keys stay withdrawn, failure domains '
        'stay out and backend servers stay leaving.'
    )
    arguments: ClassVar[list[Argument]] = [argument('version', 'Version to return to.')]
    options: ClassVar[list[Option]] = [*OPERATOR_OPTIONS, *WAIT_OPTIONS, EXPECTED_VERSION_OPTION]

    def perform(self) -> ExitStatus:
        """Send the rollback and report the new version."""
        api = self.api()
        expected = self.option('expected-version')
        number = (
            self.parse_number(expected, 'expected-version') if expected else newest_version(api)
        )
        arguments = {
            'version': self.parse_number(self.argument('version'), 'version'),
            'expected_version': number,
        }
        body = {'action': 'rollback', 'arguments': arguments, 'author': self.author()}
        return self.report(api, api.post('/v1/change', body))


class ManifestSchema(BaseCommand):
    """Print the JSON Schema of the manifest."""

    name = 'manifest schema'
    description = 'Print the JSON Schema of a manifest.'
    options: ClassVar[list[Option]] = [JSON_OPTION]

    def perform(self) -> ExitStatus:
        """Print the schema, which is JSON with and without --json."""
        self.show(schema.schema(), schema.schema_text().rstrip())
        return ExitStatus.DONE


def read_document(name: str) -> Any:
    """Return the decoded JSON of a file; raise CommandError."""
    try:
        body = sys.stdin.buffer.read() if name == '-' else Path(name).read_bytes()
    except OSError as exc:
        raise CommandError(ExitStatus.BAD_USAGE, f'{name}: {exc.strerror}') from exc
    try:
        return document.decode(body)
    except ExceptionGroup as group:
        raise CommandError(ExitStatus.REFUSED, *map(str, group.exceptions)) from group


def load_manifest(body: Any) -> Any:
    """Return the manifest of a document; raise CommandError with its validation errors."""
    try:
        return document.load(body)
    except ExceptionGroup as group:
        raise CommandError(ExitStatus.REFUSED, *map(str, group.exceptions)) from group


def newest_version(api: Any) -> int:
    """Return the newest version in the store, 0 if there is none."""
    versions = api.get('/v1/manifest/history?limit=1')['versions']
    return int(versions[0]['version']) if versions else 0


def _format_utc(wall_ms: int) -> str:
    moment = datetime.datetime.fromtimestamp(wall_ms / 1000, datetime.UTC)
    return moment.strftime('%Y-%m-%d %H:%M:%S')


COMMANDS: list[type[Command]] = [
    ManifestCheck,
    ManifestDiff,
    ManifestApply,
    ManifestShow,
    ManifestHistory,
    ManifestRollback,
    ManifestSchema,
    *change.COMMANDS,
]

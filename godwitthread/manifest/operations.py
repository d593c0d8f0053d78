"""Operations of the operator port, independent of the HTTP server."""

from __future__ import annotations

import hmac
from collections.abc import Callable, Iterable, Mapping
from typing import Any, NamedTuple

import msgspec

from godwitthread.errors import ErrorKind, ProxyError
from godwitthread.manifest import changes, document
from godwitthread.manifest.head import Head
from godwitthread.manifest.repository import Repository

#: Maximum number of versions in one history response.
MAX_HISTORY_ANSWER = 500
#: Maximum length of an author name.
MAX_AUTHOR_CHARACTERS = 100


class Operations(NamedTuple):
    """Dependencies of the operator port on its instance."""

    repository: Repository
    #: Returns whether a version is settled.
    settled: Callable[[int], bool]
    #: Returns the status as JSON. `apply --wait` reads `settled_version` and `instances`,
    #: a list of {name, failure_domain, version, ready} in which unknown values of other
    #: instances are null; without the list, `apply --wait` names no instance.
    status: Callable[[], Mapping[str, Any]]
    #: Returns the events after a sequence number, of this instance or of all instances.
    events: Callable[[int], Iterable[dict[str, Any]]]
    #: Called with each accepted version, so that the instance fetches it immediately.
    accepted: Callable[[Head], None]


class Request(NamedTuple):
    """Request to the operator port."""

    method: str
    path: str
    query: Mapping[str, str]
    body: bytes


def authorise(header: str | None, credential: str) -> None:
    """Raise OPERATOR_UNAUTHORIZED unless the header carries the operator credential."""
    given = (header or '').encode('utf-8', 'replace')
    expected = f'Bearer {credential}'.encode()
    if not credential or not hmac.compare_digest(given, expected):
        raise ProxyError(ErrorKind.OPERATOR_UNAUTHORIZED, 'operator credential missing or wrong')


def dispatch(operations: Operations, request: Request) -> tuple[int, dict[str, Any]]:
    """Run the operation of a request and return the HTTP status and JSON response."""
    try:
        response = run_operation(operations, request)
        if response is None:
            raise ProxyError(ErrorKind.NOT_FOUND, 'no such operation')
        return 200, response
    except ProxyError as exc:
        return exc.response.status, error_answer(exc)
    except ExceptionGroup as group:
        error = combine_errors(group)
        return error.response.status, error_answer(error)


def run_operation(operations: Operations, request: Request) -> dict[str, Any] | None:
    """Return the JSON response, None for an unknown path; raise ProxyError or a group of them."""
    if request.method == 'GET':
        return _dispatch_read(operations, request)
    if request.method == 'POST' and request.path in _WRITES:
        return _WRITES[request.path](operations, _decode_object(request.body))
    return None


def combine_errors(group: ExceptionGroup) -> ProxyError:
    """Combine a group of errors into one that lists their messages as details."""
    errors = [exc for exc in group.exceptions if isinstance(exc, ProxyError)]
    if len(errors) != len(group.exceptions):
        raise group
    messages = [exc.message for exc in errors]
    return ProxyError(errors[0].kind, f'{len(messages)} mistakes', details=messages)


def error_answer(exc: ProxyError) -> dict[str, Any]:
    """Return the JSON response of an error."""
    error = {
        'kind': exc.kind.value,
        'message': exc.message,
        'outcome': exc.outcome.value,
        'retry_after_ms': exc.retry_after_ms,
        'details': exc.details,
    }
    return {'error': error}


def show(operations: Operations) -> dict[str, Any]:
    """Return the current manifest in the store."""
    return _summary_with_document(operations, operations.repository.head())


def show_version(operations: Operations, version: int) -> dict[str, Any]:
    """Return the manifest of one version; raise NOT_FOUND."""
    return _summary_with_document(operations, operations.repository.version(version))


def history(operations: Operations, limit: int) -> dict[str, Any]:
    """Return the newest versions, newest first."""
    limit = max(1, min(limit, MAX_HISTORY_ANSWER))
    heads = operations.repository.history(limit)
    return {'versions': [_summary(operations, head) for head in heads]}


def apply(operations: Operations, body: Mapping[str, Any]) -> dict[str, Any]:
    """Replace the manifest; errors as in Repository.propose_manifest()."""
    manifest = document.load(body.get('document'))
    expected = _require_number(body, 'expected_version')
    head = operations.repository.propose_manifest(manifest, expected, _author(body))
    return _accept(operations, head)


def change(operations: Operations, body: Mapping[str, Any]) -> dict[str, Any]:
    """Apply an incremental change; errors as in Repository.change_manifest()."""
    action, arguments, author = body.get('action'), body.get('arguments'), _author(body)
    if not isinstance(arguments, dict):
        raise _malformed('arguments must be an object')
    if action == 'rollback':
        to, expected = (
            _require_number(arguments, 'version'),
            _require_number(arguments, 'expected_version'),
        )
        return _accept(operations, operations.repository.rollback(to, expected, author))
    if not isinstance(action, str) or action not in _ACTIONS:
        raise _malformed(f'action must be one of rollback, {", ".join(_ACTIONS)}')
    function, names = _ACTIONS[action]
    values = [_require_text(arguments, name) for name in names]
    note = ' '.join([action, *values[:2]])
    head = operations.repository.change_manifest(function(*values), author, note)
    return _accept(operations, head)


def events(operations: Operations, since: int) -> dict[str, Any]:
    """Return the events after a sequence number."""
    return {'events': list(operations.events(since))}


_ACTIONS: dict[str, tuple[Callable[..., changes.Change], tuple[str, ...]]] = {
    'withdraw_key': (changes.withdraw_key, ('key_id',)),
    'add_key': (changes.add_key, ('organisation', 'key_id', 'sha256')),
    'set_failure_domain': (changes.set_failure_domain, ('name', 'state')),
    'set_backend_server': (changes.set_backend_server, ('database', 'member', 'state')),
}


def _dispatch_read(operations: Operations, request: Request) -> dict[str, Any] | None:
    prefix, _, last = request.path.rpartition('/')
    if prefix == '/v1/manifest' and last.isascii() and last.isdecimal():
        return show_version(operations, int(last))
    reads: dict[str, Callable[[], dict[str, Any]]] = {
        '/v1/manifest': lambda: show(operations),
        '/v1/manifest/history': lambda: history(operations, _query_number(request, 'limit', 50)),
        '/v1/status': lambda: dict(operations.status()),
        '/v1/events': lambda: events(operations, _query_number(request, 'since', 0)),
    }
    return reads[request.path]() if request.path in reads else None


_WRITES: dict[str, Callable[[Operations, Mapping[str, Any]], dict[str, Any]]] = {
    '/v1/manifest': apply,
    '/v1/change': change,
}


def _accept(operations: Operations, head: Head) -> dict[str, Any]:
    operations.accepted(head)
    return {'version': head.version, 'settled': operations.settled(head.version)}


def _summary_with_document(operations: Operations, head: Head) -> dict[str, Any]:
    manifest = operations.repository.manifest(head)
    return {**_summary(operations, head), 'document': document.plain(manifest)}


def _summary(operations: Operations, head: Head) -> dict[str, Any]:
    names = ('version', 'author', 'note', 'accepted_wall_ms', 'manifest_version')
    settled = operations.settled(head.version)
    return {**{name: getattr(head, name) for name in names}, 'settled': settled}


def _decode_object(body: bytes) -> dict[str, Any]:
    try:
        value = msgspec.json.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        raise _malformed(f'the body is not JSON: {exc}') from exc
    if not isinstance(value, dict):
        raise _malformed('the body must be an object')
    return value


def _author(body: Mapping[str, Any]) -> str:
    author = _require_text(body, 'author')
    if len(author) > MAX_AUTHOR_CHARACTERS:
        raise _malformed(f'author must have at most {MAX_AUTHOR_CHARACTERS} characters')
    return author


def _require_text(body: Mapping[str, Any], name: str) -> str:
    value = body.get(name)
    if not isinstance(value, str) or not value:
        raise _malformed(f'{name} must be text')
    return value


def _require_number(body: Mapping[str, Any], name: str) -> int:
    value = body.get(name)
    if not isinstance(value, int) or isinstance(value, bool) or value < 0:
        raise _malformed(f'{name} must be a whole number of 0 or more')
    return value


def _query_number(request: Request, name: str, default: int) -> int:
    text = request.query.get(name, str(default))
    if not text.isascii() or not text.isdecimal():
        raise _malformed(f'{name} must be a whole number of 0 or more')
    return int(text)


def _malformed(message: str) -> ProxyError:
    return ProxyError(ErrorKind.MALFORMED_REQUEST, message)

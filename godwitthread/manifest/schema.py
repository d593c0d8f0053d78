"""JSON Schema of the manifest, derived from its types."""

from __future__ import annotations

import json
import typing
from pathlib import Path
from typing import Any

import msgspec

from godwitthread.manifest.convert import fields_of
from godwitthread.manifest.types import Manifest

#: Committed copy of the schema, shipped with the package.
SCHEMA_FILE = Path(__file__).with_name('manifest.schema.json')


def schema() -> dict[str, Any]:
    """Return the JSON Schema of a manifest document."""
    json_schema = msgspec.json.schema(_document_type(Manifest))
    return {'$schema': 'https://json-schema.org/draft/2020-12/schema', **json_schema}


def schema_text() -> str:
    """Return the text of the committed schema file."""
    return json.dumps(schema(), indent=2) + '\n'


def _document_type(hint: Any) -> Any:
    # msgspec encodes a NamedTuple as an array, but the document uses objects. The schema
    # is therefore derived from an equivalent struct that forbids unknown fields.
    if typing.get_origin(hint) is tuple:
        item = _document_type(typing.get_args(hint)[0])
        return tuple.__class_getitem__((item, ...))
    if not hasattr(hint, '_fields'):
        return hint
    fields: list[Any] = []
    for name, kind in fields_of(hint).items():
        entry = (name, _document_type(kind))
        default = hint._field_defaults
        fields.append((*entry, default[name]) if name in default else entry)
    struct = msgspec.defstruct(hint.__name__, fields, forbid_unknown_fields=True, kw_only=True)
    struct.__doc__ = hint.__doc__
    return struct

"""API keys of callers, in the form `gw_<id>_<secret>`."""

from __future__ import annotations

import hashlib
import secrets
from typing import NamedTuple

from godwitthread.manifest.types import Key

#: Number of random bytes in a secret.
SECRET_BYTES = 24


class NewKey(NamedTuple):
    """Manifest entry of a key and its clear text, which only the caller stores."""

    key: Key
    text: str


def new_key(key_id: str, secret: str | None = None) -> NewKey:
    """Create a key; the secret is random unless one is given."""
    secret = secret or secrets.token_urlsafe(SECRET_BYTES)
    return NewKey(Key(key_id, secret_sha256(secret)), f'gw_{key_id}_{secret}')


def secret_sha256(secret: str) -> str:
    """Return the hash of a secret as stored in the manifest."""
    return hashlib.sha256(secret.encode()).hexdigest()

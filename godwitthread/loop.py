"""Import of eventlet without the deprecation warning that it issues when imported."""

from __future__ import annotations

import warnings

with warnings.catch_warnings(record=True) as _caught:
    warnings.simplefilter('always')
    import eventlet
    import eventlet.wsgi

for _warning in _caught:
    # Suppress only eventlet's own deprecation warning. A warning filter can't select it,
    # because its category is defined by the module being imported.
    if not issubclass(_warning.category, eventlet.EventletDeprecationWarning):
        warnings.warn_explicit(
            _warning.message, _warning.category, _warning.filename, _warning.lineno
        )

__all__ = ['eventlet', 'patch']


def patch() -> None:
    """Monkey-patch the standard library so that blocking calls are cooperative."""
    eventlet.monkey_patch()

"""Caller library: an HTTP client and a PEP 249 module on top of it."""

from __future__ import annotations

from godwitthread.client.client import Client, Result
from godwitthread.client.transport import RequestError

__all__ = ['Client', 'RequestError', 'Result']

"""Proxy for sessions that last as long as their connection."""

"""Adapters between the users' platform and the gateway; they contain no decision logic."""

"""Decisions on which statement runs next, where it runs, and which one is refused."""

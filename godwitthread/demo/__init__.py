"""Demonstration deployment: stand-in services and nine instances in one process."""

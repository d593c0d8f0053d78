"""Merging and rendering of the event logs of several processes."""

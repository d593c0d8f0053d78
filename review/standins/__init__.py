"""Harness of the review: a small deployment of real processes with stand-ins."""

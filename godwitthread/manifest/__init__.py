"""Manifest types, validation, versioning and run-time lookup tables."""

"""Simulated external systems (stand-ins) with fault injection."""

"""Proxy instance: network adapters and timers that drive the core."""

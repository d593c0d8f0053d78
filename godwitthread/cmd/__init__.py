"""Command line interface; the commands only wrap the library."""

"""Stand-ins of the second review, written after the users' pages with the standard library only."""

"""Review of the project: cases and their stand-ins."""

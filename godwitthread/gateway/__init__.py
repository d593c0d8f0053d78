"""Gateway for callers whose session lasts as long as their connection."""

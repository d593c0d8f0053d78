"""PostgreSQL client connections to backend servers."""

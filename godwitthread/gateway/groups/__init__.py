"""Members of a group at its owner: connections, statements, transactions and failover."""

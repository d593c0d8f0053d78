"""Translation between the users' platform and the gateway; no decisions are taken here."""

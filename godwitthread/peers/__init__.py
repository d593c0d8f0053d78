"""Messaging between instances: encoding, authentication and delivery."""

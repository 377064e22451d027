"""Connections of clients: what a process holds for them, and its limits."""

"""Clients of what the platform gives: tables, objects and the host list."""

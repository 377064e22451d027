"""Connections of clients that do not behave."""

"""Interfaces to tables, rows and the host list, and their clients."""

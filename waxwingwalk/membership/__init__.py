"""Membership of entry processes, and ownership of backend servers."""

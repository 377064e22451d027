"""Policies: which task goes first, where it runs, and with whose slot."""

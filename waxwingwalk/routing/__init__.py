"""Routing policies: job order, placement, slot sharing and admission."""

"""Slot sharing: how entry processes divide the slots of backend servers."""

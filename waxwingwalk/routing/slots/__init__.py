"""Slot sharing: divides backend server slots among entry processes."""

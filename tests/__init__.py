"""The tests, one package per area."""

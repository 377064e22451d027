"""The commands, one module per topic."""

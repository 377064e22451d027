"""The settings tree: defaults, inheritance, validation and revisions."""

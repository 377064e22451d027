"""The interfaces to tables, objects and the host list, and their clients."""

"""Stand-ins of outside systems, with faults injected at their edges."""

"""Stand-ins for external systems, which can inject faults."""

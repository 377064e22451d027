"""The entry daemon: translates I/O to events, and effects to I/O."""

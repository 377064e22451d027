"""The entry daemon: turns I/O into events, and effects into I/O."""

"""Commands, one topic a file."""

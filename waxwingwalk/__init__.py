"""A dispatcher for sub-second tasks on heterogeneous hardware."""

VERSION = "0.3.0"

"""Benchmarks: policies side by side on real entry processes."""

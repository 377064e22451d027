"""Benchmarks that compare policies on real entry processes."""

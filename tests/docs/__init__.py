"""Tests of the reference pages and of the log catalogue."""

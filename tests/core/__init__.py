"""Tests of waxwingwalk.core."""

"""Tests of waxwingwalk.jobs."""

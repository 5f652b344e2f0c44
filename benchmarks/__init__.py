"""Benchmarks, a planner simulation and mutation tests."""

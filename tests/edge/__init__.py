"""Tests of the parts of a node."""

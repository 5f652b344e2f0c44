"""Tests of the protocol between nodes."""

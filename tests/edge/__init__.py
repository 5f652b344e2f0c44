"""Tests of plantainway.edge."""

"""Tests of plantainway.cluster."""

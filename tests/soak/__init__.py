"""Seeded soak test: node processes under externally injected faults."""

"""A seeded soak: real node processes under faults from outside them."""

"""A fault soak: real relays under overlapping faults, with their promises checked."""

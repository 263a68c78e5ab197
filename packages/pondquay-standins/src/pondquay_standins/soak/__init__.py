"""Randomized fault soak: real relay processes, injected faults, checked invariants."""

"""Replicas that misbehave on the wire, and checks of what relays make of it."""

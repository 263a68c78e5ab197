"""Experiments that compare variants of the relay's policy over simulated days."""

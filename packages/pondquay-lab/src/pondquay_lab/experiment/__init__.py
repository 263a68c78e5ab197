"""Experiments that compare variants of the system over simulated days."""

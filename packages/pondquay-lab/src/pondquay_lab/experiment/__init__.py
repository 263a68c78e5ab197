"""Experiments on played days: variants of the relay's policy, compared in pairs."""

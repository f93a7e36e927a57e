"""Capacity model (§9.12): measurements of a growing fleet, fits of the figures, and the tables of docs/CAPACITY.md."""

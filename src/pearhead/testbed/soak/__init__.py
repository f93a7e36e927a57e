"""Soak test: the product's real processes on loopback sockets, under overlapping faults that are drawn from a seed."""

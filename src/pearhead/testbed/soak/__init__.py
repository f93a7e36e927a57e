"""Soak tests: the product's real processes on loopback sockets, under overlapping faults drawn from a seed."""

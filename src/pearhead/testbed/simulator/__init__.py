"""Deterministic simulation of a whole deployment: virtual time, machines, clients, injected faults and recording."""

"""Emulator of the users' platform: its workers, store, cloud API and clients, as processes on loopback addresses."""

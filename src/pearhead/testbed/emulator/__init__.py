"""Emulator of the users' platform: workers, store and cloud API as processes on loopback, and clients and operators."""

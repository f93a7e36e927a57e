"""Membership records that processes exchange with one another."""

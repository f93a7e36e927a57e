"""Raft: the replicated log of the control plane."""

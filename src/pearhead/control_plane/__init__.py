"""The control plane: core processes that agree by Raft on description, workers, weights, leases and part revisions."""

"""The control plane: core processes that agree by Raft on the fleet's description, workers, weights and holds."""

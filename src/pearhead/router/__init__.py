"""Router process: client-facing HTTP, admission, worker selection and the node's replica of the cluster state."""

"""Clock, network, disk and process lifecycle, behind interfaces that the simulator replaces."""

"""Runs fleets on one machine: stand-ins for workers, a simulator, an emulated platform, soak and scale runs."""

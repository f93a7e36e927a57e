"""Startup configuration, the description of a deployment, and the view of the fleet's state that routers have."""

"""Startup configuration, the description of a deployment, and the view of it that routers hold."""
